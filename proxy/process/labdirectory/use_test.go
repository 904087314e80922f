package labdirectory

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/process/labreachability"
)

// countingDialer counts the open connections of each member.
type countingDialer struct {
	fakeDialer

	mutex  sync.Mutex
	dialed int
	open   map[string]int // by member
	most   map[string]int // largest value of open
}

type countedConnection struct {
	fakeConnection

	dialer *countingDialer
	member string
	once   sync.Once
}

func newCountingDialer() *countingDialer {
	return &countingDialer{open: map[string]int{}, most: map[string]int{}}
}

func (d *countingDialer) Dial(_ context.Context, m lab.Announcement, _ string) (lab.MemberConnection, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.dialed++
	d.open[m.Member]++
	d.most[m.Member] = max(d.most[m.Member], d.open[m.Member])

	return &countedConnection{dialer: d, member: m.Member}, nil
}

func (c *countedConnection) Close() {
	c.once.Do(func() {
		c.dialer.mutex.Lock()
		defer c.dialer.mutex.Unlock()

		c.dialer.open[c.member]--
	})
}

func (d *countingDialer) openConnections() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	n := 0
	for _, open := range d.open {
		n += open
	}

	return n
}

// steppedClock is a manual clock for tests in which dials read it.
type steppedClock struct {
	lab.Clock

	now atomic.Int64
}

func (c *steppedClock) Now() time.Duration      { return time.Duration(c.now.Load()) }
func (c *steppedClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// newLargeDirectory returns the directory of one of many proxies before services with three members each, the first of
// which is the primary.
func newLargeDirectory(t testing.TB, self string, proxyCount, services int) (*Directory, *countingDialer, *steppedClock) {
	t.Helper()

	clock, dialer := &steppedClock{}, newCountingDialer()
	clock.advance(time.Minute)

	d := &Directory{
		Self: lab.InstanceID(self), AvailabilityZone: "z", Region: "west", Peers: noPeers{},
		Reachability: &labreachability.Tracker{Clock: clock}, Dialer: dialer, Random: labrandom.NewSeeded(1), Clock: clock,
		Log: zerolog.Nop(), OnPrimaryUnreachable: func() {},
	}
	c := &lab.Configuration{Version: 1}
	primaries := map[string]string{}

	for n := range services {
		name := serviceName(n)
		c.Services = append(c.Services, lab.Service{Name: name, MaxConnections: 93})
		c.Routes = append(c.Routes, lab.Route{Database: "db-" + name, Service: name})
		primaries[name] = name + "-0"
	}

	d.Install(c)
	d.UpdateMembers(largeList(services), primaries, true)
	d.SetProxies(proxies(proxyCount))

	return d, dialer, clock
}

func serviceName(n int) string { return fmt.Sprintf("s%03d", n) }

func largeList(services int) []lab.Announcement {
	var out []lab.Announcement

	for n := range services {
		for k := range 3 {
			out = append(out, lab.Announcement{
				Database: serviceName(n), Member: fmt.Sprintf("%s-%d", serviceName(n), k), Address: fmt.Sprintf("127.0.0.1:%d", 1+3*n+k),
				Region: "west", AvailabilityZone: "z", Incarnation: 1,
			})
		}
	}

	return out
}

// maintain does what labtypedproxy does each 100 ms. It returns the number of pools visited.
func maintain(d *Directory) int {
	visited := 0

	d.CloseUnused()
	d.WarmRelays()

	for _, pools := range d.LocalPools() {
		for _, p := range pools {
			p.Maintain()

			visited++
		}
	}

	return visited
}

// assertSettles maintains the directory until it visits a number of pools and as many connections are open.
func assertSettles(t *testing.T, d *Directory, dialer *countingDialer, want int) {
	t.Helper()

	visited, open := 0, 0

	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if visited, open = maintain(d), dialer.openConnections(); visited == want && open == want {
			return
		}
	}

	t.Fatalf("%d pools visited, %d connections open, want %d", visited, open, want)
}

// direct returns a service whose primary this proxy may connect to without observing it, and that isn't among the first.
func direct(t *testing.T, d *Directory) string {
	t.Helper()

	for n := 20; n < 1000; n++ {
		p, _ := d.LocalPrimaryPool(serviceName(n))
		if p.MaxConnections() > 0 && !d.Observes(serviceName(n)) {
			return serviceName(n)
		}
	}

	t.Fatal("this proxy is a direct one of no primary")

	return ""
}

// TestConnectionsOnDemand guards against the start of 99 proxies before 900 members, each of which connected to each
// member: 258,000 connections were opened in 41 s, and 0.79 of the statements were served.
func TestConnectionsOnDemand(t *testing.T) {
	const services, used = 1000, 20

	d, dialer, clock := newLargeDirectory(t, "p07", 300, services)
	observed := maintain(d)

	t.Run("services that aren't used", func(t *testing.T) {
		assert.Assert(t, observed > 0 && observed < 50, "%d primaries observed", observed)
		assertSettles(t, d, dialer, observed)
		assert.Equal(t, len(d.ObservedPositions()), 0, "no position is known yet")
	})

	t.Run("first use", func(t *testing.T) {
		name := direct(t, d)
		before := dialer.dialed

		source, ok := d.PrimarySource(name)
		assert.Assert(t, ok)

		c, err := source.Acquire(t.Context(), lab.AcquireRequest{})
		assert.NilError(t, err)
		assert.Assert(t, c.Direct())
		c.Release()
		assert.Equal(t, dialer.dialed, before+1)
	})

	t.Run("services in use", func(t *testing.T) {
		for n := range used {
			_, _, ok := d.Route("db-" + serviceName(n))
			assert.Assert(t, ok)
		}

		visited := maintain(d)
		assert.Assert(t, visited <= 3*(used+1)+observed, "%d pools visited for %d services", visited, used)

		for n := range used {
			assert.Equal(t, len(d.LocalPools()[serviceName(n)]), 3)
		}
	})

	t.Run("no longer in use", func(t *testing.T) {
		clock.advance(useDuration - 1)
		maintain(d)
		assert.Assert(t, dialer.openConnections() > observed)

		clock.advance(1)
		assertSettles(t, d, dialer, observed)
		assert.Equal(t, len(d.needed), observed)
	})

	t.Run("relayed statements", func(t *testing.T) {
		name := direct(t, d)

		_, ok := d.LocalPool(name, name+"-0", 1)
		assert.Assert(t, ok)
		assertSettles(t, d, dialer, observed+1)

		clock.advance(useDuration)
		assertSettles(t, d, dialer, observed)
	})
}

// TestConnectsAhead guards against a first statement that waits for a connection in a deployment of a size at which the
// proxy can connect to all members.
func TestConnectsAhead(t *testing.T) {
	d, dialer, clock := newLargeDirectory(t, "p07", 80, 8)
	assertSettles(t, d, dialer, 24)

	clock.advance(time.Hour)
	assertSettles(t, d, dialer, 24)
}

// TestUnusedMemberForgotten guards against a member that counts as unreachable long after this proxy last tried it: its
// statements would be relayed, and the control group would be told of a lost primary.
func TestUnusedMemberForgotten(t *testing.T) {
	d, _, clock := newLargeDirectory(t, "p07", 300, 1000)
	name := direct(t, d)

	p, _ := d.PrimarySource(name)
	d.RecordUnreachable(p.Member())
	assert.Assert(t, reported(d, name))

	clock.advance(useDuration)
	d.CloseUnused()
	assert.Assert(t, !reported(d, name))
	assert.Assert(t, !d.Unreachable(p.Member()))
}

func reported(d *Directory, service string) bool {
	for _, r := range d.PrimaryReports() {
		if r.Service == service {
			return true
		}
	}

	return false
}

// TestAcknowledgedOfUnused guards against an acknowledged commit that the control group doesn't learn of, since the service
// is no longer used when the next leader asks for it.
func TestAcknowledgedOfUnused(t *testing.T) {
	d, _, clock := newLargeDirectory(t, "p07", 300, 1000)
	d.settings["s001"] = lab.Service{Name: "s001", MaxConnections: 93, SyncReplicas: 1}
	d.Route("db-s001")

	want := []lab.AcknowledgedPosition{{Service: "s001", Position: lab.CommitPosition{Term: 1, Number: 7}}}
	d.services["s001"].acknowledged = want[0].Position
	assert.Assert(t, slices.Equal(d.AcknowledgedPositions(), want))

	clock.advance(useDuration)
	d.CloseUnused()
	assert.Assert(t, d.needed["s001"] == nil)
	assert.Assert(t, slices.Equal(d.AcknowledgedPositions(), want))

	d.Route("db-s001")
	assert.Assert(t, slices.Equal(d.AcknowledgedPositions(), want))
}

// TestSumOfConnections guards against members that refuse connections because proxies together open more than a member
// accepts: those that use a service only after a change of the list of proxies must place it by the new list.
func TestSumOfConnections(t *testing.T) {
	const proxyCount, services = 24, 70

	dialer := newCountingDialer()

	var all []*Directory

	for n := range proxyCount {
		d, _, _ := newLargeDirectory(t, fmt.Sprintf("p%02d", n), 3, services)
		d.Dialer = dialer
		d.UpdateMembers(nil, nil, true)
		d.UpdateMembers(largeList(services), nil, true)

		if n%2 == 0 {
			useAll(t, d, 1) // placed by a list of 3 proxies
			maintain(d)
		}

		all = append(all, d)
	}

	for _, d := range all {
		d.SetProxies(proxies(proxyCount))
	}

	for _, d := range all {
		maintain(d) // closes what the new list no longer allows
	}

	dialer.mutex.Lock()
	clear(dialer.most)
	dialer.mutex.Unlock()

	for _, d := range all {
		useAll(t, d, 93)
		maintain(d)
	}

	dialer.mutex.Lock()
	defer dialer.mutex.Unlock()

	assert.Assert(t, dialer.most["s000-0"] > proxyCount, "the connections are used")

	for m, n := range dialer.most {
		assert.Assert(t, n <= 93, "%s has %d connections", m, n)
	}
}

// useAll acquires as many connections to the first primary as the directory gives at once, at most n.
func useAll(t *testing.T, d *Directory, n int) {
	t.Helper()

	p, ok := d.PrimarySource("s000")
	assert.Assert(t, ok)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()

	var held []lab.PooledConnection

	for range n {
		c, err := p.Acquire(ctx, lab.AcquireRequest{})
		if err != nil {
			break
		}

		held = append(held, c)
	}

	for _, c := range held {
		c.Release()
	}
}

// BenchmarkMaintain measures what a proxy with 3,000 members and 20 services in use does ten times a second.
func BenchmarkMaintain(b *testing.B) {
	d, _, _ := newLargeDirectory(b, "p07", 300, 1000)

	for n := range 20 {
		d.Route("db-" + serviceName(n))
	}

	for b.Loop() {
		d.CloseUnused()
		d.WarmRelays()

		for _, pools := range d.LocalPools() {
			for _, p := range pools {
				p.Maintain()
			}
		}
	}
}

// BenchmarkReports measures what a proxy with 3,000 members collects for each of its watches, twice a second.
func BenchmarkReports(b *testing.B) {
	d, _, _ := newLargeDirectory(b, "p07", 300, 1000)

	for b.Loop() {
		d.PrimaryReports()
		d.ObservedPositions()
		d.AcknowledgedPositions()
	}
}

// BenchmarkUpdateMembers measures a list of 3,000 members, of which all have a new sequence and one is leaving.
func BenchmarkUpdateMembers(b *testing.B) {
	d, _, _ := newLargeDirectory(b, "p07", 300, 1000)
	list := largeList(1000)
	primaries := map[string]string{}

	for _, a := range list {
		if strings.HasSuffix(a.Member, "-0") {
			primaries[a.Database] = a.Member
		}
	}

	for b.Loop() {
		for i := range list {
			list[i].Sequence++
		}

		list[1].Draining = !list[1].Draining
		d.UpdateMembers(list, primaries, true)
	}
}

// BenchmarkSetProxies measures a change of the list of proxies before 3,000 members.
func BenchmarkSetProxies(b *testing.B) {
	d, _, _ := newLargeDirectory(b, "p07", 300, 1000)

	for n := range 20 {
		d.Route("db-" + serviceName(n))
	}

	for b.Loop() {
		d.SetProxies(proxies(300))
	}
}
