package labpool

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

var errDown = errors.New("member is down")

// dialer returns connections on which every operation succeeds, or the error err if it is set.
type dialer struct {
	mutex        sync.Mutex
	dialed       int
	err          error
	closedByPeer bool // whether new connections report that the member closed them
}

type idleConnection struct {
	closedByPeer bool
	closed       *bool
}

func (d *dialer) Dial(context.Context, lab.Announcement, string) (lab.MemberConnection, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.dialed++

	return &idleConnection{closedByPeer: d.closedByPeer, closed: new(bool)}, d.err
}

func (*dialer) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errDown
}

func (*idleConnection) Run(_ time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	out := make([]lab.OperationResult, len(o))
	for i := range out {
		out[i].Status = lab.StatusIdle
	}

	return out, nil
}

func (*idleConnection) Drain(time.Time) (lab.TransactionStatus, error) { return lab.StatusIdle, nil }
func (*idleConnection) InStep(time.Time) error                         { return nil }
func (l *idleConnection) Alive() bool                                  { return !l.closedByPeer }
func (l *idleConnection) Close()                                       { *l.closed = true }

func newPool(d *dialer, limit *int) *Pool {
	return &Pool{
		Dialer: d, MaxConnections: func() int { return *limit }, RetainedConnections: func() int { return 1 },
		OnDial: func(lab.Announcement, error) {},
	}
}

func acquire(t *testing.T, p *Pool, priority int) lab.PooledConnection {
	t.Helper()

	c, err := p.Acquire(t.Context(), lab.AcquireRequest{Priority: priority})
	assert.NilError(t, err)

	return c
}

func TestPool(t *testing.T) {
	t.Run("no more connections than the limit", func(t *testing.T) {
		limit, d := 2, &dialer{}
		p := newPool(d, &limit)
		a, b := acquire(t, p, 0), acquire(t, p, 0)

		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()

		_, err := p.Acquire(ctx, lab.AcquireRequest{})
		assert.ErrorIs(t, err, ErrNoConnection)
		a.Release()
		b.Release()
		acquire(t, p, 0).Release()
		assert.Equal(t, d.dialed, 2)

		n, free, up := p.Load()
		assert.Assert(t, n == 0 && free && up)
	})

	t.Run("limit that shrinks", func(t *testing.T) {
		limit, d := 2, &dialer{}
		p := newPool(d, &limit)
		a, b := acquire(t, p, 0), acquire(t, p, 0)
		limit = 1
		a.Release()
		b.Release()
		p.Maintain()
		assert.Equal(t, p.open, 1)
	})

	// After a power loss of all machines, members counted the lost connections for 3 s and refused new ones. A pool must
	// therefore close connections that the load doesn't need.
	t.Run("connections needed only briefly", func(t *testing.T) {
		limit, d := 2, &dialer{}
		p := newPool(d, &limit)
		a, b := acquire(t, p, 0), acquire(t, p, 0)
		a.Release()
		b.Release()
		p.Maintain()
		assert.Equal(t, p.open, 2, "the load may still need them")

		p.lastAboveRetained = time.Now().Add(-2 * shrinkAfter)
		p.Maintain()
		assert.Equal(t, p.open, 1)
	})

	t.Run("gateways serve instead", func(t *testing.T) {
		limit, d := 0, &dialer{}
		p := newPool(d, &limit)
		p.Maintain()

		_, _, up := p.Load()
		assert.Assert(t, !up)
		assert.Equal(t, d.dialed, 0)
	})

	t.Run("priority before arrival", func(t *testing.T) {
		limit, d := 1, &dialer{}
		p := newPool(d, &limit)
		held := acquire(t, p, 0)
		order := make(chan int, 3)

		for i, priority := range []int{2, 2, 1} {
			go func() {
				c, err := p.Acquire(t.Context(), lab.AcquireRequest{Priority: priority})
				if err == nil {
					order <- i
					c.Release()
				}
			}()

			time.Sleep(10 * time.Millisecond)
		}

		held.Release()
		assert.Equal(t, <-order, 2)
		assert.Equal(t, <-order, 0)
		assert.Equal(t, <-order, 1)
	})

	t.Run("member that is down", func(t *testing.T) {
		limit, d := 2, &dialer{err: errDown}
		p := newPool(d, &limit)

		for range 20 {
			_, err := p.Acquire(t.Context(), lab.AcquireRequest{})
			assert.ErrorIs(t, err, ErrNoConnection)
		}

		assert.Equal(t, d.dialed, 1, "requests to a member that is down must not each dial it")
	})

	t.Run("connection closed while idle", func(t *testing.T) {
		limit, d := 1, &dialer{closedByPeer: true}
		p := newPool(d, &limit)
		acquire(t, p, 0).Release()
		time.Sleep(2 * livenessCheckAfter)
		acquire(t, p, 0).Release()
		assert.Equal(t, d.dialed, 2)
	})

	t.Run("closed with waiters", func(t *testing.T) {
		limit, d := 1, &dialer{}
		p := newPool(d, &limit)
		held := acquire(t, p, 0)
		done := make(chan error, 1)

		go func() {
			_, err := p.Acquire(t.Context(), lab.AcquireRequest{})
			done <- err
		}()

		time.Sleep(10 * time.Millisecond)
		p.Close()
		assert.ErrorIs(t, <-done, ErrNoConnection)
		held.Release()
		assert.Equal(t, p.open, 0)
	})
}

// TestRefusals guards against proxies that keep dialling a full member, and against a longer wait after a power loss: a
// member counts lost connections for 3 s and then accepts new ones.
func TestRefusals(t *testing.T) {
	limit := 1

	// delayAfter returns the longest pause of a pool between dials when the first one failed the given time ago.
	delayAfter := func(err error, since time.Duration) time.Duration {
		p := newPool(&dialer{}, &limit)
		p.refusedSince = time.Now().Add(-since)

		for range 12 {
			p.recordDialFailureLocked(err)
		}

		return p.retryDelay
	}

	refused := lab.NotRunError(lab.ReasonOverload, errDown)

	assert.Equal(t, delayAfter(refused, refusalGrace-time.Second), maxRetryDelay, "lost connections are still counted")
	assert.Equal(t, delayAfter(refused, refusalGrace), maxRefusedDelay)
	assert.Equal(t, delayAfter(errDown, refusalGrace), maxRetryDelay, "a member that is down may be back at any time")
}

// TestCloseIdle guards against connections that stay open to members that no client uses.
func TestCloseIdle(t *testing.T) {
	limit, d := 2, &dialer{}
	p := newPool(d, &limit)
	held := acquire(t, p, 0)
	acquire(t, p, 0).Release()

	assert.Assert(t, !p.CloseIdle(), "a connection is in use")
	assert.Equal(t, p.open, 1)

	held.Release()
	assert.Assert(t, p.CloseIdle())
	assert.Equal(t, p.open, 0)

	acquire(t, p, 0).Release()
	assert.Equal(t, d.dialed, 3, "a later request opens a connection at once")
}
