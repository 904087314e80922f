package labpromoter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

var (
	errDown         = errors.New("down")
	errTooManySteps = errors.New("too many steps")
)

// fakeMember is the state of one simulated member.
type fakeMember struct {
	up       bool
	recovery bool
	position lab.WALPosition
	replayed lab.WALPosition // switch point of the term that the member started
}

// fakeProber is the lab.Prober for the simulated members of one database.
type fakeProber struct {
	lock     sync.Mutex
	members  map[string]*fakeMember
	promoted []string // names of the members that were promoted
}

func (c *fakeProber) Status(_ context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := c.members[m.Member]
	if !n.up {
		return lab.MemberStatus{}, errDown
	}

	return lab.MemberStatus{InRecovery: n.recovery, Received: n.position, Replayed: n.position}, nil
}

func (c *fakeProber) Promote(ctx context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	if _, err := c.Status(ctx, m); err != nil {
		return lab.MemberStatus{}, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	n := c.members[m.Member]
	if n.recovery {
		n.recovery = false
		for _, o := range c.members { // replicas fetch the timeline history from the primary they stream from
			n.position.Term = max(n.position.Term, o.position.Term)
		}
		n.position.Term++
		n.replayed = n.position
		c.promoted = append(c.promoted, m.Member)
	}

	return lab.MemberStatus{Received: n.position, Replayed: n.replayed}, nil
}

type random struct{}

func (random) Uint64() uint64 { return 7 }

// harness runs a promoter for one database with a gateway in the primary's region. The leader can be replaced at any
// commit.
type harness struct {
	t                *testing.T
	now              time.Duration
	catalog          *labcatalog.Catalog
	index            uint64
	prober           *fakeProber
	promoter         *labpromoter.Promoter
	writesEnded      bool
	commits          int
	barrierErr       error // error that Barrier returns
	failBeforeCommit int   // number of the commit before which the leader fails, 0 for never
	failAfterCommit  int   // number of the commit after which the leader fails, 0 for never
}

const database = "rota-core-1"

func newHarness(t *testing.T) *harness {
	w := &harness{t: t, now: time.Minute, catalog: labcatalog.New(), writesEnded: true, prober: &fakeProber{members: map[string]*fakeMember{
		"m1": {up: true, position: lab.WALPosition{Term: 1, Offset: 100}},
		"m2": {up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 90}},
		"m3": {up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 100}},
	}}}
	for _, m := range []string{"m1", "m2", "m3"} {
		w.announce(lab.Announcement{Database: database, Member: m, Address: m, Region: "gulf-coast", Incarnation: 1})
	}
	w.apply(&labcatalog.Command{JoinedProxies: []lab.Instance{{ID: "gateway", Incarnation: 1, Region: "gulf-coast", Address: "g"}}})
	w.apply(&labcatalog.Command{Placements: []labcatalog.PlacementChange{
		{GatewayRole: lab.GatewayRole{Database: database, Region: "gulf-coast"}, Instance: "gateway"},
	}})
	w.startLeader()

	return w
}

func (w *harness) announce(a lab.Announcement) {
	w.apply(&labcatalog.Command{Announcements: []lab.Announcement{a}})
}

func (w *harness) apply(c *labcatalog.Command) labcatalog.Result {
	data, err := c.Encode()
	assert.NilError(w.t, err)
	w.index++
	r, ok := w.catalog.Apply(w.index, data).(labcatalog.Result)
	assert.Assert(w.t, ok)

	return r
}

// startLeader replaces the leader by a new one that knows only the catalog.
func (w *harness) startLeader() {
	w.promoter = &labpromoter.Promoter{
		Catalog: w.catalog, Prober: w.prober, Clock: w, Random: random{}, Logger: zerolog.Nop(),
		WritesEnded: func(string) bool { return w.writesEnded },
		Barrier:     func(context.Context) error { return w.barrierErr },
		Propose: func(_ context.Context, c *labcatalog.Command) (labcatalog.Result, error) {
			w.commits++
			if w.commits == w.failBeforeCommit {
				return labcatalog.Result{}, lab.ErrNotLeader
			}
			r := w.apply(c)
			if w.commits == w.failAfterCommit {
				return labcatalog.Result{}, lab.ErrOutcomeUnknown
			}

			return r, nil
		},
	}
}

func (w *harness) Now() time.Duration { return w.now }

func (w *harness) Wall() time.Time { return time.UnixMilli(0) }

func (w *harness) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// runSteps runs steps until one makes no progress, and returns the error of that step.
func (w *harness) runSteps() error {
	for range 20 {
		progress, err := w.promoter.Step(context.Background(), w.now, database)
		if errors.Is(err, lab.ErrNotLeader) || errors.Is(err, lab.ErrOutcomeUnknown) {
			w.startLeader()
			w.reportLoss("m1", time.Second) // gateways repeat their reports to a new leader

			continue
		}
		if !progress {
			return err
		}
	}

	return errTooManySteps
}

func (w *harness) reportLoss(member string, since time.Duration) {
	w.promoter.Observe(w.now, "gateway", lab.MemberStatus{Database: database, Member: member, UnreachableFor: since})
}

// stopMember stops a member and lets the gateway report it as unreachable.
func (w *harness) stopMember(member string) {
	w.prober.members[member].up = false
	w.reportLoss(member, time.Second)
}

func (w *harness) database() *lab.Database {
	d, _ := w.catalog.Database(database)

	return d
}

func (w *harness) assertPrimary(name string, term lab.PrimaryTerm) {
	w.t.Helper()
	assert.Equal(w.t, w.database().Primary, name)
	assert.Equal(w.t, w.database().CurrentTerm(), term)
}
