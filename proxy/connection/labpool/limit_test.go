package labpool

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/lablimit"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

// limitedPool returns a pool of four connections whose learned limit is 1.
func limitedPool(t *testing.T) *Pool {
	t.Helper()

	maximum := 4
	p := newPool(&dialer{}, &maximum)
	p.Limit = &lablimit.Limit{}
	now := time.Since(startTime)

	for i := range 40 {
		s := labsample.Sample{Served: true, Latency: time.Millisecond}
		if i > 10 {
			s.Latency = time.Second
		}

		p.Limit.Add(now+time.Duration(i)*20*time.Millisecond-time.Second, s, 3, maximum)
	}

	limit, connections := p.LearnedLimit()
	assert.Assert(t, limit == 1 && connections == maximum)

	return p
}

func run(t *testing.T, c lab.PooledConnection, kind lab.OperationKind) {
	t.Helper()

	_, err := c.Run(time.Now().Add(time.Second), nil, lab.Operation{Kind: kind})
	assert.NilError(t, err)
}

// testDialer returns connections on which each operation takes a time and leaves the given transaction status.
type testDialer struct {
	dialer

	status   lab.TransactionStatus
	duration time.Duration
}

type testConnection struct {
	lab.MemberConnection

	dialer *testDialer
}

func (d *testDialer) Dial(ctx context.Context, m lab.Announcement, o string) (lab.MemberConnection, error) {
	c, err := d.dialer.Dial(ctx, m, o)

	return testConnection{c, d}, err
}

func (c testConnection) Run(d time.Time, o ...lab.Operation) ([]lab.OperationResult, error) {
	time.Sleep(c.dialer.duration)

	r, err := c.MemberConnection.Run(d, o...)
	for i := range r {
		r[i].Status = c.dialer.status
	}

	return r, err
}

// acquireLater requests a connection in the background.
func acquireLater(t *testing.T, p *Pool) chan lab.PooledConnection {
	t.Helper()

	out := make(chan lab.PooledConnection, 1)

	go func() {
		if c, err := p.Acquire(t.Context(), lab.AcquireRequest{}); err == nil {
			out <- c
		}
	}()

	return out
}

func assertWaits(t *testing.T, c chan lab.PooledConnection) {
	t.Helper()

	select {
	case <-c:
		t.Fatal("admitted over the learned limit")
	case <-time.After(30 * time.Millisecond):
	}
}

// Load: a member that is 4 to 8 times slower, to which all connections would be in use.
func TestLearnedLimit(t *testing.T) {
	t.Run("a statement waits until the one before has ended", func(t *testing.T) {
		p := limitedPool(t)
		first := acquire(t, p, 0)
		second := acquireLater(t, p)
		assertWaits(t, second)

		_, free, up := p.Load()
		assert.Assert(t, !free && up)

		run(t, first, lab.OperationRead)
		first.Release()
		(<-second).Release()
		assert.Equal(t, p.active, 0)
	})

	t.Run("a transaction keeps its connection", func(t *testing.T) {
		p := limitedPool(t)
		p.Dialer = &testDialer{status: lab.StatusInTransaction}
		first := acquire(t, p, 0)
		second := acquireLater(t, p)
		assertWaits(t, second)
		run(t, first, lab.OperationRead)
		(<-second).Release()
		first.Release()
		assert.Equal(t, p.active, 0)
	})

	t.Run("a begin admits no other statement", func(t *testing.T) {
		p := limitedPool(t)
		first := acquire(t, p, 0)
		second := acquireLater(t, p)
		run(t, first, lab.OperationBegin)
		assertWaits(t, second)
		first.Discard()
		(<-second).Release()
	})

	// Guards against idle transactions that use up the limit.
	t.Run("idle transaction", func(t *testing.T) {
		p := limitedPool(t)
		idle := acquire(t, p, 0)
		run(t, idle, lab.OperationRead)

		for range 3 {
			acquire(t, p, 0).Release()
		}

		run(t, idle, lab.OperationRead)
		idle.Release()
		assert.Equal(t, p.active, 0)
	})

	// Guards against a limit that is lost while a statement gives up.
	t.Run("cancelled wait", func(t *testing.T) {
		p := limitedPool(t)
		first := acquire(t, p, 0)

		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()

		_, err := p.Acquire(ctx, lab.AcquireRequest{})
		assert.ErrorIs(t, err, ErrNoConnection)
		first.Release()
		acquire(t, p, 0).Release()
		assert.Assert(t, p.active == 0 && p.inUse == 0)
	})

	// Guards against a new connection, which costs the member 12 ms, for each request that waits for the limit.
	t.Run("connections are reused", func(t *testing.T) {
		p := limitedPool(t)
		first := acquire(t, p, 0)

		for range 5 {
			next := acquireLater(t, p)
			assertWaits(t, next)
			run(t, first, lab.OperationRead)
			first.Release()

			first = <-next
		}

		first.Release()
		assert.Equal(t, p.open, 1)
	})

	// Guards against an organisation without an open connection that waits as long as others have one.
	t.Run("organisation without a connection", func(t *testing.T) {
		p := limitedPool(t)
		p.Dialer = &testDialer{status: lab.StatusIdle, duration: 2 * time.Millisecond}
		request := func(organisation string) lab.AcquireRequest { return lab.AcquireRequest{Organisation: organisation} }

		limit := p.Limit
		p.Limit = nil

		var open []lab.PooledConnection

		for range 3 {
			c, err := p.Acquire(t.Context(), request("b"))
			assert.NilError(t, err)

			open = append(open, c)
		}

		p.Limit = limit
		stop := make(chan struct{})

		for range 6 {
			go func() {
				for {
					n, err := p.Acquire(t.Context(), request("b"))
					if err != nil {
						return
					}

					_, _ = n.Run(time.Now().Add(time.Second), nil, lab.Operation{Kind: lab.OperationRead})
					n.Release()

					select {
					case <-stop:
						return
					default:
					}
				}
			}()
		}

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		for _, c := range open {
			c.Release()
		}

		time.Sleep(10 * time.Millisecond) // until the limit is in use

		c, err := p.Acquire(ctx, request("a"))
		close(stop)
		assert.NilError(t, err)
		c.Release()
	})

	t.Run("no limit", func(t *testing.T) {
		p := limitedPool(t)
		p.Limit = nil

		for range 4 {
			acquire(t, p, 0)
		}
	})
}
