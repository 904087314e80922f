package labsuccession

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

var errSilent = errors.New("no answer")

// world is a service whose members and platform the tests control.
type world struct {
	mutex    sync.Mutex
	received map[string]uint64
	paused   map[string]bool
	dead     map[string]bool
	grows    bool // the primary goes on, and replicas that are not paused receive
	primary  string
	calls    []uint64 // tokens
	lost     int      // calls that get no answer
	refuse   bool
	orders   uint64
	done     uint64
	known    []Standing
}

type worldLink struct {
	world  *world
	member string
}

func (l *worldLink) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	l.world.mutex.Lock()
	defer l.world.mutex.Unlock()

	if o[0].Kind == lab.OperationResumeReplication {
		l.world.paused[l.member] = false
	}

	return []lab.OperationResult{{}}, nil
}

func (*worldLink) Drain(time.Time) (lab.TransactionStatus, error) { return lab.StatusIdle, nil }
func (*worldLink) Alive() bool                                    { return true }
func (*worldLink) Close()                                         {}

func (w *world) Dial(_ context.Context, m lab.Announcement) (lab.MemberConnection, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.dead[m.Member] {
		return nil, errSilent
	}

	return &worldLink{w, m.Member}, nil
}

func (w *world) State(_ time.Time, l lab.MemberConnection, o lab.Operation) (lab.MemberState, error) {
	m := l.(*worldLink).member

	w.mutex.Lock()
	defer w.mutex.Unlock()

	if o.Kind == lab.OperationPauseReplication {
		w.paused[m] = true
	}

	if w.grows && !w.paused[m] {
		w.received[m] += 3
	}

	return lab.MemberState{
		Primary: w.primary == m, Term: 1, Received: lab.CommitPosition{Term: 1, Number: w.received[m]},
	}, nil
}

func (w *world) Promote(_ context.Context, _, member string, token uint64) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.calls = append(w.calls, token)

	switch {
	case w.refuse:
		return lab.NotRunError(lab.ReasonRejected, errors.New("not running"))
	case w.lost > 0:
		w.lost--

		return errSilent
	}

	w.primary = member

	return nil
}

func (w *world) Order(context.Context, string, string, string) (uint64, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.orders += 10

	return w.orders, nil
}

func (w *world) Done(_ context.Context, _ string, token uint64) error {
	w.done = token

	return nil
}

func newWorld(received map[string]uint64) *world {
	return &world{received: received, paused: map[string]bool{}, dead: map[string]bool{}}
}

func (w *world) succession(serves bool) *Succession {
	s := &Succession{
		Service: "s", Region: "west", Serves: serves, Dialer: w, Caller: w, Orders: w, Log: zerolog.Nop(),
	}
	for _, m := range []string{"a", "b"} {
		s.Replicas = append(s.Replicas, Standing{Member: lab.Announcement{Member: m, Region: "west"}})
	}

	s.Known = func() []Standing { return w.known }

	return s
}

func TestRun(t *testing.T) {
	t.Run("primary lost", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7})

		m, err := w.succession(false).Run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, m.Member, "b")
		assert.Equal(t, w.done, uint64(10))
		assert.Assert(t, !w.paused["a"], "replicas receive again")
	})

	t.Run("primary leaves while commits go on", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7})
		w.grows = true

		m, err := w.succession(true).Run(context.Background())
		assert.NilError(t, err)

		other := map[string]string{"a": "b", "b": "a"}[m.Member]
		assert.Assert(t, w.received[m.Member] >= w.received[other], "%v", w.received)
	})

	t.Run("unreadable replica", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7})
		w.dead["b"] = true

		_, err := w.succession(false).Run(context.Background())
		assert.ErrorIs(t, err, errNoCandidate)
		assert.Equal(t, len(w.calls), 0)
	})

	// An order that gets no answer may be carried out later, so the next one needs a higher token.
	t.Run("order without answer", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7})
		w.lost = 2

		_, err := w.succession(false).Run(context.Background())
		assert.NilError(t, err)
		assert.DeepEqual(t, w.calls, []uint64{10, 20, 30})
		assert.Equal(t, w.done, uint64(30))
	})

	// On saptak-hire trouble-1 a replica that had just started became known while the others were stopped. It went on
	// receiving, alone held an acknowledged commit, and that was lost with the promotion.
	t.Run("replica that appears meanwhile", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7, "new": 9})
		w.known = []Standing{{Member: lab.Announcement{Member: "new", Region: "west"}}}

		m, err := w.succession(false).Run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, m.Member, "new")
	})

	t.Run("order refused", func(t *testing.T) {
		w := newWorld(map[string]uint64{"a": 4, "b": 7})
		w.refuse = true

		_, err := w.succession(false).Run(context.Background())
		assert.ErrorContains(t, err, "not running")
		assert.Equal(t, w.done, uint64(0))
	})
}
