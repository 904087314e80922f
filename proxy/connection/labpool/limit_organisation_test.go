package labpool

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/lablimit"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

// statementDialer returns connections of an organisation that run statements.
type statementDialer struct {
	organisationDialer

	dialTime  time.Duration
	statement time.Duration // time of each read
}

type statementConnection struct {
	*organisationConnection

	dialer *statementDialer
	status lab.TransactionStatus
}

func (d *statementDialer) Dial(ctx context.Context, m lab.Announcement, organisation string) (lab.MemberConnection, error) {
	time.Sleep(d.dialTime)

	c, err := d.organisationDialer.Dial(ctx, m, organisation)
	if err != nil {
		return nil, err
	}

	o, _ := c.(*organisationConnection)

	return &statementConnection{o, d, lab.StatusIdle}, nil
}

func (c *statementConnection) Run(_ time.Time, operations ...lab.Operation) ([]lab.OperationResult, error) {
	out := make([]lab.OperationResult, len(operations))

	for i, o := range operations {
		switch o.Kind {
		case lab.OperationBegin:
			c.status = lab.StatusInTransaction
		case lab.OperationCommit, lab.OperationRollback:
			c.status = lab.StatusIdle
		case lab.OperationRead:
			time.Sleep(c.dialer.statement)
		default:
		}

		out[i].Status = c.status
	}

	return out, nil
}

func (c *statementConnection) Drain(time.Time) (lab.TransactionStatus, error) { return c.status, nil }

// learnLimit sets the learned limit of a pool to 1, with a baseline of a millisecond.
func learnLimit(p *Pool, maximum int) {
	p.Limit = &lablimit.Limit{}
	now := time.Since(startTime)

	for i := range 40 {
		s := labsample.Sample{Served: true, Latency: time.Millisecond}
		if i > 10 {
			s.Latency = time.Second
		}

		p.Limit.Add(now+time.Duration(i)*20*time.Millisecond-time.Second, s, 3, maximum)
	}
}

// use runs what a request of the given kind runs on its connection, and ends the use.
func use(c lab.PooledConnection, kind int, hold time.Duration) error {
	deadline := time.Now().Add(time.Second)
	run := func(k ...lab.OperationKind) error {
		for _, o := range k {
			if _, err := c.Run(deadline, nil, lab.Operation{Kind: o}); err != nil {
				return err
			}
		}

		return nil
	}

	var err error

	switch kind {
	case 0: // statement
		err = run(lab.OperationRead)

		c.Release()
	case 1: // transaction that is idle for a time
		err = run(lab.OperationBegin, lab.OperationRead)

		time.Sleep(hold)

		if err == nil {
			err = run(lab.OperationRead, lab.OperationCommit)
		}

		c.Release()
	case 2: // transaction without a statement
		err = run(lab.OperationBegin, lab.OperationCommit)

		c.Release()
	case 3: // transaction that is given up
		err = run(lab.OperationBegin, lab.OperationRead)

		time.Sleep(hold)
		c.ReleaseAfterDrain()
	case 4: // lost connection
		err = run(lab.OperationBegin, lab.OperationRead)

		c.Discard()
	default: // not used
		c.Release()
	}

	return err
}

// TestRandomLoadAtLimit checks under a random load of several organisations, with a learned limit, that each request with
// enough time is served on a connection of its organisation, and that the counters return to zero. It guards against
// requests that wait although their organisation has an idle connection and the limit allows them.
func TestRandomLoadAtLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(2, 5).Draw(t, "connections")
		retained := rapid.IntRange(1, maximum).Draw(t, "retained")
		d := &statementDialer{
			dialTime:  time.Duration(rapid.IntRange(0, 2).Draw(t, "milliseconds for a dial")) * time.Millisecond,
			statement: time.Duration(rapid.IntRange(0, 3).Draw(t, "milliseconds for a statement")) * time.Millisecond,
		}
		p := newOrganisationPool(&d.organisationDialer, &maximum)
		p.Dialer, p.RetainedConnections = d, func() int { return retained }
		learnLimit(p, maximum)

		removal := time.Now().Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "milliseconds until f is removed")) * time.Millisecond)
		p.Exists = func(o string) bool { return o != "f" || time.Now().Before(removal) }

		names := []string{"a", "b", "c", "d", "e", "f"}
		if rapid.Bool().Draw(t, "public routes") {
			names = append(names, "")
		}

		organisations := rapid.SliceOfN(rapid.SampledFrom(names), 1, 30).Draw(t, "organisations")
		draw := func(from, to int, label string) []int {
			return rapid.SliceOfN(rapid.IntRange(from, to), len(organisations), len(organisations)).Draw(t, label)
		}
		kinds, holds, starts := draw(0, 5, "kinds"), draw(0, 3, "milliseconds held"), draw(0, 10, "milliseconds until the start")
		waits, priorities := draw(0, 20, "milliseconds waited, long if above 10"), draw(0, 2, "priorities")

		var (
			all    sync.WaitGroup
			mutex  sync.Mutex
			faults []string
		)

		for i, o := range organisations {
			all.Go(func() {
				time.Sleep(time.Duration(starts[i]) * time.Millisecond)

				wait := 3 * time.Second
				if waits[i] <= 10 {
					wait = time.Duration(waits[i]) * time.Millisecond
				}

				ctx, cancel := context.WithTimeout(context.Background(), wait)
				defer cancel()

				c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: o, Priority: priorities[i]})
				if err != nil && waits[i] <= 10 {
					return
				}

				if err == nil {
					if m, ok := c.(*Conn).connection.(*statementConnection); !ok || m.organisation != o {
						err = fmt.Errorf("connection of another organisation: %w", errDown)
					}
				}

				if err == nil {
					err = use(c, kinds[i], time.Duration(holds[i])*time.Millisecond)
				}

				if err != nil {
					mutex.Lock()
					faults = append(faults, fmt.Sprintf("request %d of %q: %v", i, o, err))
					mutex.Unlock()
				}
			})
		}

		all.Wait()
		assert.DeepEqual(t, faults, []string(nil))

		for end := time.Now().Add(time.Second); inProgress(p) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}

		assertCounters(t, p)
		assert.Equal(t, p.active, 0)

		d.mutex.Lock()
		defer d.mutex.Unlock()

		assert.Assert(t, d.most <= maximum, "%d connections, limit %d", d.most, maximum)
		assert.Equal(t, len(d.open), p.open)
	})
}

// inProgress returns the number of dials and of connections in use.
func inProgress(p *Pool) int {
	n := dialsInProgress(p)
	used, _, _ := p.Load()

	return n + used
}

// TestAdmissionAtLimit guards against requests that wait for longer than the learned limit demands, and against new
// connections, which cost the member 12 ms, for organisations that have an idle one.
func TestAdmissionAtLimit(t *testing.T) {
	// start returns a pool with idle connections of the organisations.
	start := func(t *testing.T, d *statementDialer, maximum *int, organisations ...string) *Pool {
		t.Helper()

		p := newOrganisationPool(&d.organisationDialer, maximum)
		p.Dialer = d

		var open []lab.PooledConnection
		for _, o := range organisations {
			open = append(open, acquireStatement(t, p, o))
		}

		for _, c := range open {
			c.Release()
		}

		learnLimit(p, *maximum)

		return p
	}

	t.Run("connection of a removed organisation is closed on release", func(t *testing.T) {
		maximum, d, removed := 4, &statementDialer{}, ""
		p := start(t, d, &maximum, "a", "b")
		p.Exists = func(o string) bool { return o != removed }
		held := acquireStatement(t, p, "a")
		next := startWaiting(t, p, "b")
		removed = "a"

		held.Release()
		releaseServed(t, next)
		assert.DeepEqual(t, d.dials(), []string{"a", "b"})
		assert.DeepEqual(t, d.organisations(), []string{"b"})
		assertCounters(t, p)
		assert.Equal(t, p.active, 0)
	})

	t.Run("connection beyond the maximum is closed on release", func(t *testing.T) {
		maximum, d := 4, &statementDialer{}
		p := start(t, d, &maximum, "a", "b", "b")
		held := acquireStatement(t, p, "a")
		next := startWaiting(t, p, "b")
		maximum = 2

		held.Release()
		releaseServed(t, next)
		assert.DeepEqual(t, d.dials(), []string{"a", "b", "b"})
		assertCounters(t, p)
		assert.Equal(t, p.active, 0)
	})

	// The overdue request can't get a connection meanwhile.
	t.Run("requests with an idle connection are served while dials back off", func(t *testing.T) {
		maximum, d := 4, &statementDialer{}
		p := start(t, d, &maximum, "a", "b")
		held := acquireStatement(t, p, "a")
		startWaiting(t, p, "c")
		next := startWaiting(t, p, "b")

		setWaits(p, map[string]time.Duration{"c": time.Second, "b": 0})
		p.mutex.Lock()
		p.nextDial = time.Now().Add(time.Hour)
		p.mutex.Unlock()

		held.Release()
		releaseServed(t, next)
	})

	// Two busy organisations always have statements that wait and, at a limit of 1, idle connections.
	t.Run("no starvation while a connection is dialled", func(t *testing.T) {
		maximum, d := 3, &statementDialer{dialTime: exchangeCost, statement: 2 * time.Millisecond}
		p := start(t, d, &maximum, "a", "a", "b")
		stop := make(chan struct{})

		var busy sync.WaitGroup

		for i := range 16 {
			busy.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}

					c, err := p.Acquire(context.Background(), lab.AcquireRequest{Organisation: []string{"a", "b"}[i%2]})
					if err == nil {
						_ = use(c, 0, 0)
					}
				}
			})
		}

		time.Sleep(10 * time.Millisecond) // until the limit is in use

		for _, o := range []string{"c", "d", "c", "d"} {
			assert.NilError(t, use(acquireStatement(t, p, o), 0, 0))
		}

		close(stop)
		busy.Wait()
		eventually(t, "unused", func() bool { return inProgress(p) == 0 })
		assertCounters(t, p)
		assert.Equal(t, p.active, 0)
	})
}

// releaseServed releases the connection that a waiting request gets.
func releaseServed(t *testing.T, done chan lab.PooledConnection) {
	t.Helper()

	c := <-done
	assert.Assert(t, c != nil, "the request got no connection")
	c.Release()
}

// acquireStatement returns a connection of an organisation within 2 s.
func acquireStatement(t *testing.T, p *Pool, organisation string) lab.PooledConnection {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()

	c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: organisation})
	assert.NilError(t, err)

	return c
}
