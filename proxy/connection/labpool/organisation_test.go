package labpool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// organisationDialer returns connections that remember their organisation. Each dial waits for the test if gate is set.
type organisationDialer struct {
	gate chan struct{} // receives one element for each dial that may end

	mutex   sync.Mutex
	dialled []string // organisations in the order of the dials
	open    map[*organisationConnection]bool
	most    int   // largest number of connections that were open at once
	err     error // result of each dial, if set
	accepts int   // number of connections that the member accepts, 0 for no limit
}

type organisationConnection struct {
	idleConnection

	dialer       *organisationDialer
	organisation string
}

func (d *organisationDialer) Dial(_ context.Context, _ lab.Announcement, organisation string) (lab.MemberConnection, error) {
	d.mutex.Lock()
	d.dialled = append(d.dialled, organisation)
	d.mutex.Unlock()

	if d.gate != nil {
		<-d.gate
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.err != nil {
		return nil, d.err
	}

	if d.accepts > 0 && len(d.open) >= d.accepts {
		return nil, lab.NotRunError(lab.ReasonOverload, errDown)
	}

	c := &organisationConnection{dialer: d, organisation: organisation}

	if d.open == nil {
		d.open = map[*organisationConnection]bool{}
	}

	d.open[c] = true
	d.most = max(d.most, len(d.open))

	return c, nil
}

func (*organisationDialer) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errDown
}

func (c *organisationConnection) Close() {
	c.dialer.mutex.Lock()
	defer c.dialer.mutex.Unlock()

	delete(c.dialer.open, c)
}

// organisations returns the sorted organisations of the open connections.
func (d *organisationDialer) organisations() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	out := []string{}
	for c := range d.open {
		out = append(out, c.organisation)
	}

	slices.Sort(out)

	return out
}

func (d *organisationDialer) dials() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return slices.Clone(d.dialled)
}

func newOrganisationPool(d *organisationDialer, limit *int) *Pool {
	return &Pool{
		Dialer: d, MaxConnections: func() int { return *limit }, RetainedConnections: func() int { return *limit },
		OnDial: func(lab.Announcement, error) {},
	}
}

// assertOwn checks that a connection is one of the organisation.
func assertOwn(t assert.TestingT, c lab.PooledConnection, organisation string) {
	m, ok := c.(*Conn).connection.(*organisationConnection)
	assert.Assert(t, ok)
	assert.Equal(t, m.organisation, organisation)
}

func acquireFor(t *testing.T, p *Pool, organisation string) lab.PooledConnection {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()

	c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: organisation})
	assert.NilError(t, err)
	assertOwn(t, c, organisation)

	return c
}

// startWaiting starts a request and returns once it waits. The channel receives its connection, or nil if it gets none.
func startWaiting(t *testing.T, p *Pool, organisation string) chan lab.PooledConnection {
	t.Helper()

	done := make(chan lab.PooledConnection, 1)
	before := waiting(p)

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()

		c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: organisation})
		if err != nil {
			c = nil
		}

		done <- c
	}()

	eventually(t, "the request waits", func() bool { return waiting(p) > before })

	return done
}

func waiting(p *Pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return len(p.waiters)
}

// setWaits sets for how long the requests of each organisation have waited.
func setWaits(p *Pool, waits map[string]time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := time.Now()
	for i := range p.waiters {
		p.waiters[i].since = now.Add(-waits[p.waiters[i].organisation])
	}
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()

	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if check() {
			return
		}
	}

	t.Fatalf("condition not reached: %s", condition)
}

// assertServed checks that a waiting request gets a connection of its organisation, and returns it.
func assertServed(t *testing.T, done chan lab.PooledConnection, organisation string) lab.PooledConnection {
	t.Helper()

	select {
	case c := <-done:
		assert.Assert(t, c != nil, "no connection for %s", organisation)
		assertOwn(t, c, organisation)

		return c
	case <-time.After(time.Second):
		t.Fatalf("%s still waits", organisation)

		return nil
	}
}

// assertCounters checks the counters of a pool that nothing uses.
func assertCounters(t assert.TestingT, p *Pool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	assert.Equal(t, p.inUse, 0)
	assert.Equal(t, p.open, len(p.idle))
	assert.Equal(t, len(p.waiters), 0)
	assert.Equal(t, len(p.dials), 0)
}

// TestOrganisations guards against statements on connections of another organisation, and against organisations that get
// no connection since others hold all of them.
func TestOrganisations(t *testing.T) {
	t.Run("own connection", func(t *testing.T) {
		limit, d := 2, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		acquireFor(t, p, "a").Release()
		acquireFor(t, p, "b").Release()
		acquireFor(t, p, "a").Release()
		assert.DeepEqual(t, d.dials(), []string{"a", "b"})
		assertCounters(t, p)
	})

	t.Run("the one idle longest is replaced", func(t *testing.T) {
		limit, d := 3, &organisationDialer{}
		p := newOrganisationPool(d, &limit)

		for _, o := range []string{"a", "b", "c", "a"} {
			acquireFor(t, p, o).Release()
		}

		acquireFor(t, p, "d").Release()
		assert.DeepEqual(t, d.organisations(), []string{"a", "c", "d"})
		assertCounters(t, p)
	})

	t.Run("the first waiter of the organisation is served", func(t *testing.T) {
		limit, d := 1, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		held := acquireFor(t, p, "a")
		other := startWaiting(t, p, "b")
		own := startWaiting(t, p, "a")

		setWaits(p, map[string]time.Duration{"b": exchangeCost, "a": 0})
		held.Release()
		assertServed(t, own, "a").Release()
		assertServed(t, other, "b").Release()
		assert.DeepEqual(t, d.dials(), []string{"a", "b"})
		assertCounters(t, p)
	})

	t.Run("another organisation isn't passed by for longer than exchangeCost", func(t *testing.T) {
		limit, d := 1, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		held := acquireFor(t, p, "a")
		other := startWaiting(t, p, "b")
		own := startWaiting(t, p, "a")

		setWaits(p, map[string]time.Duration{"b": exchangeCost + 1, "a": 0})
		held.Release()
		assertServed(t, other, "b").Release()
		assertServed(t, own, "a").Release()
		assertCounters(t, p)
	})

	// The connections of a busy organisation are always awaited by its own statements.
	t.Run("no starvation by a busy organisation", func(t *testing.T) {
		limit, d := 2, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		stop := make(chan struct{})

		var busy sync.WaitGroup

		for range 8 {
			busy.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}

					c, err := p.Acquire(context.Background(), lab.AcquireRequest{Organisation: "a"})
					if err == nil {
						time.Sleep(2 * time.Millisecond)
						c.Release()
					}
				}
			})
		}

		time.Sleep(10 * time.Millisecond)

		for range 5 {
			acquireFor(t, p, "b").Release()
		}

		close(stop)
		busy.Wait()
		assertCounters(t, p)
	})

	t.Run("no more dials than waiting statements", func(t *testing.T) {
		for _, o := range []string{"b", ""} {
			t.Run(fmt.Sprintf("organisation %q", o), func(t *testing.T) {
				limit, d := 3, &organisationDialer{}
				p := newOrganisationPool(d, &limit)
				held := []lab.PooledConnection{acquireFor(t, p, "a"), acquireFor(t, p, "a"), acquireFor(t, p, "a")}
				d.gate = make(chan struct{})
				done := startWaiting(t, p, o)

				for _, c := range held {
					c.Release()
				}

				eventually(t, "dialled", func() bool { return len(d.dials()) > 3 })
				assert.DeepEqual(t, d.dials(), []string{"a", "a", "a", o})
				close(d.gate)
				assertServed(t, done, o).Release()

				want := []string{"a", "a", o}
				slices.Sort(want)
				assert.DeepEqual(t, d.organisations(), want)
				assertCounters(t, p)
			})
		}
	})

	// A connection that becomes free while the first request is already being served must help the next one.
	t.Run("free connections serve each waiting organisation", func(t *testing.T) {
		limit, d := 2, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		x, y := acquireFor(t, p, "a"), acquireFor(t, p, "a")
		d.gate = make(chan struct{})
		b, c := startWaiting(t, p, "b"), startWaiting(t, p, "c")

		x.Release()
		y.Release()
		close(d.gate)
		assertServed(t, b, "b")
		assertServed(t, c, "c")
	})

	// With the dial for the first request under way, a released connection stayed idle although its own organisation waited.
	t.Run("own waiter is served while another organisation's connection is dialled", func(t *testing.T) {
		limit, d := 2, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		x, y := acquireFor(t, p, "a"), acquireFor(t, p, "a")
		d.gate = make(chan struct{})
		other := startWaiting(t, p, "b")

		x.Release() // is replaced by one of b, whose dial waits

		own := startWaiting(t, p, "a")

		setWaits(p, map[string]time.Duration{"b": time.Second, "a": 0})
		y.Release()
		assertServed(t, own, "a").Release()
		close(d.gate)
		assertServed(t, other, "b").Release()
		assertCounters(t, p)
	})

	t.Run("own waiter is served while dials back off", func(t *testing.T) {
		limit, d := 1, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		held := acquireFor(t, p, "a")
		startWaiting(t, p, "b")
		own := startWaiting(t, p, "a")

		setWaits(p, map[string]time.Duration{"b": time.Second, "a": 0})
		p.mutex.Lock()
		p.nextDial = time.Now().Add(time.Hour)
		p.mutex.Unlock()

		held.Release()
		assertServed(t, own, "a").Release()
	})
}

// TestFullMember guards against an organisation without a connection that gets none while a member counts too many, for
// example since two lists of proxies are in force, although the pool has idle ones.
func TestFullMember(t *testing.T) {
	limit, d := 3, &organisationDialer{accepts: 2}
	p := newOrganisationPool(d, &limit)
	acquireFor(t, p, "a").Release()
	acquireFor(t, p, "b").Release()

	done := startWaiting(t, p, "c")

	eventually(t, "refused", func() bool { return len(d.dials()) == 3 })
	assert.DeepEqual(t, d.organisations(), []string{"a", "b"})
	eventually(t, "served after the backoff", func() bool { p.Maintain(); return waiting(p) == 0 })
	assertServed(t, done, "c").Release()
	assert.DeepEqual(t, d.organisations(), []string{"b", "c"})
	assertCounters(t, p)
}

// TestRemovedOrganisation guards against connections of a removed organisation, which take the place of others'.
func TestRemovedOrganisation(t *testing.T) {
	var (
		mutex  sync.Mutex
		exists = true
	)

	start := func(t *testing.T) (*Pool, *organisationDialer) {
		t.Helper()

		limit, d := 3, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		exists = true
		p.Exists = func(o string) bool {
			mutex.Lock()
			defer mutex.Unlock()

			return o == "kept" || exists
		}

		return p, d
	}

	remove := func() {
		mutex.Lock()
		defer mutex.Unlock()

		exists = false
	}

	t.Run("idle", func(t *testing.T) {
		p, d := start(t)
		acquireFor(t, p, "a").Release()
		acquireFor(t, p, "kept").Release()
		acquireFor(t, p, "").Release()
		remove()
		p.Maintain()
		assert.DeepEqual(t, d.organisations(), []string{"", "kept"})
		assertCounters(t, p)
	})

	t.Run("in a transaction", func(t *testing.T) {
		p, d := start(t)
		c := acquireFor(t, p, "a")
		remove()
		p.Maintain()
		assert.DeepEqual(t, d.organisations(), []string{"a"})
		c.Release()
		assert.DeepEqual(t, d.organisations(), []string{})
		assertCounters(t, p)
	})
}

// TestCounters guards against requests that are counted twice or never: a pool that seems in use attracts no statements.
func TestCounters(t *testing.T) {
	t.Run("request that ends when the member goes down", func(t *testing.T) {
		for range 50 {
			limit, d := 1, &organisationDialer{gate: make(chan struct{}), err: errDown}
			p := newOrganisationPool(d, &limit)
			_, w, err := p.tryAcquire(lab.AcquireRequest{Organisation: "a"})
			assert.NilError(t, err)
			close(d.gate)
			eventually(t, "woken", func() bool { return waiting(p) == 0 })
			p.cancelWait(w) // its time ends before it has seen that it was woken
			assertCounters(t, p)
		}
	})

	t.Run("request that ends when it gets a connection", func(t *testing.T) {
		limit, d := 1, &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		_, w, err := p.tryAcquire(lab.AcquireRequest{Organisation: "a"})
		assert.NilError(t, err)
		eventually(t, "served", func() bool { return waiting(p) == 0 })
		p.cancelWait(w)
		assertCounters(t, p)
	})
}

// TestRandomLoad checks under a random load that no request gets a connection of another organisation, that the limit is
// respected, that each request with enough time is served, and that the counters return to zero.
func TestRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, d := rapid.IntRange(1, 5).Draw(t, "limit"), &organisationDialer{}
		p := newOrganisationPool(d, &limit)
		organisations := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e", "f"}), 1, 30).Draw(t, "organisations")
		holds := rapid.SliceOfN(rapid.IntRange(0, 3), len(organisations), len(organisations)).Draw(t, "milliseconds held")
		discards := rapid.SliceOfN(rapid.IntRange(0, 9), len(organisations), len(organisations)).Draw(t, "discarded if 0")
		waits := rapid.SliceOfN(rapid.IntRange(0, 20), len(organisations), len(organisations)).Draw(t, "milliseconds waited, long if above 10")
		priorities := rapid.SliceOfN(rapid.IntRange(0, 2), len(organisations), len(organisations)).Draw(t, "priorities")

		var (
			all    sync.WaitGroup
			mutex  sync.Mutex
			faults []string
		)

		for i, o := range organisations {
			all.Go(func() {
				wait := 2 * time.Second
				if waits[i] <= 10 {
					wait = time.Duration(waits[i]) * time.Millisecond
				}

				ctx, cancel := context.WithTimeout(context.Background(), wait)
				defer cancel()

				c, err := p.Acquire(ctx, lab.AcquireRequest{Organisation: o, Priority: priorities[i]})
				if err != nil && waits[i] <= 10 {
					return
				}

				if err != nil {
					mutex.Lock()
					faults = append(faults, fmt.Sprintf("request %d of %q: %v", i, o, err))
					mutex.Unlock()

					return
				}

				if m, ok := c.(*Conn).connection.(*organisationConnection); !ok || m.organisation != o {
					mutex.Lock()
					faults = append(faults, fmt.Sprintf("request %d of %q has a connection of %q", i, o, m.organisation))
					mutex.Unlock()
				}

				time.Sleep(time.Duration(holds[i]) * time.Millisecond)

				if discards[i] == 0 {
					c.Discard()
				} else {
					c.Release()
				}
			})
		}

		all.Wait()
		assert.DeepEqual(t, faults, []string(nil))

		for end := time.Now().Add(time.Second); dialsInProgress(p) > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}

		assertCounters(t, p)

		d.mutex.Lock()
		defer d.mutex.Unlock()

		assert.Assert(t, d.most <= limit, "%d connections, limit %d", d.most, limit)
	})
}

func dialsInProgress(p *Pool) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return len(p.dials)
}
