package labcontrol_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// environment consists of two control instances, proxies in two regions and one database with three members. Its clock
// is simulated.
type environment struct {
	t                    *testing.T
	clock                *fakeClock
	log                  *replicatedLog
	prober               *fakeProber
	servers              map[lab.InstanceID]*labcontrol.Server
	proxies              []*lab.Heartbeat
	disconnected         []*lab.Heartbeat                 // proxies whose heartbeats don't reach control
	leaseExpiry          map[lab.InstanceID]time.Duration // expiry of each proxy's lease on the simulated clock
	calls                int                              // number of messages between control instances
	transitionHeartbeats bool                             // proxies send additional heartbeats during transitions
}

const database = "rota-core-1"

func newEnvironment(t *testing.T) *environment {
	e := &environment{
		t: t, clock: &fakeClock{now: time.Second}, log: &replicatedLog{},
		prober: &fakeProber{members: map[string]lab.MemberStatus{}}, servers: map[lab.InstanceID]*labcontrol.Server{},
		leaseExpiry: map[lab.InstanceID]time.Duration{},
	}
	for _, id := range []lab.InstanceID{"control-1", "control-2"} {
		catalog := labcatalog.New()
		e.log.replicas = append(e.log.replicas, catalog)
		e.servers[id] = &labcontrol.Server{
			Log: &logReplica{replicatedLog: e.log, id: id, catalog: catalog}, Catalog: catalog, Clock: e.clock,
			Random: &fakeRandom{}, Prober: e.prober, Peers: e, Self: lab.Instance{ID: id}, Logger: zerolog.Nop(),
			Addresses:    map[lab.InstanceID]string{"control-1": "control-1", "control-2": "control-2"},
			OperatorURLs: map[lab.InstanceID]string{"control-1": "http://control-1", "control-2": "http://control-2"},
		}
	}
	e.log.elect("control-1", e.clock.Now())
	for i, z := range []string{"hanko", "kotka", "oulu"} {
		region := "gulf-coast"
		if z == "oulu" {
			region = "bothnia"
		}
		e.proxies = append(e.proxies, &lab.Heartbeat{
			Instance: lab.Instance{
				ID: lab.InstanceID("proxy-" + z), Incarnation: 1, Region: region, AvailabilityZone: z, Address: z + ":1",
			},
			Announcements: []lab.Announcement{{
				Database: database, Member: "m-" + z, Address: z + ":5432", Region: region, AvailabilityZone: z,
				Incarnation: 1, Slots: 3, Connections: 25,
			}},
		})
		at := lab.WALPosition{Term: 1, Offset: 100}
		e.prober.set(database+"/m-"+z, lab.MemberStatus{InRecovery: i > 0, Received: at, Replayed: at})
	}

	return e
}

// Call delivers a batch of heartbeats to the addressed control instance.
func (e *environment) Call(ctx context.Context, address string, _ lab.Method, request, response any) error {
	e.calls++
	batch, isBatch := request.(labcontrol.HeartbeatBatch)
	target, isResponse := response.(*labcontrol.HeartbeatBatchResponse)
	if !isBatch || !isResponse {
		return errors.New("unexpected message")
	}
	var err error
	*target, err = e.servers[lab.InstanceID(address)].HandleHeartbeatBatch(ctx, "control-2", batch)

	return err
}

func (e *environment) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errors.New("no streams")
}

func (e *environment) leader() *labcontrol.Server { return e.servers[e.log.leader] }

func (e *environment) database() *lab.Database {
	d, _ := e.leader().Catalog.Database(database)

	return d
}

// sendHeartbeat sends a proxy's heartbeat to the leader and gives the proxy the grants of the response.
func (e *environment) sendHeartbeat(h *lab.Heartbeat) (lab.HeartbeatResponse, error) {
	h.RequestID++
	a, err := e.leader().HandleHeartbeat(context.Background(), h.Instance.ID, *h)
	if err != nil {
		return a, err
	}
	h.Grants, h.Announcements, h.Statuses = a.Grants, nil, nil
	h.AppliedIndex = max(h.AppliedIndex, a.Delta.Index)
	e.leaseExpiry[h.Instance.ID] = e.clock.Now() + a.TTL
	e.assertExclusive()

	return a, nil
}

// run advances the clock. Every proxy sends a heartbeat each second and every control instance ticks each 100 ms.
func (e *environment) run(d time.Duration) {
	e.t.Helper()
	e.runUntil(d, func() bool { return false })
}

// runUntil advances the clock as run does until the condition holds or the limit is reached. It returns the time taken.
func (e *environment) runUntil(limit time.Duration, done func() bool) time.Duration {
	e.t.Helper()
	begin := e.clock.Now()
	for e.clock.Now() < begin+limit && !done() {
		if e.clock.Now()%time.Second == 0 {
			for _, h := range e.proxies {
				_, _ = e.sendHeartbeat(h) // it fails while no leader has a quorum
			}
		}
		e.sendTransitionHeartbeats()
		for _, s := range e.servers {
			s.Tick(context.Background())
		}
		time.Sleep(2 * time.Millisecond) // lets the goroutines of promotion steps run
		e.clock.advance(100 * time.Millisecond)
		e.assertExclusive()
	}

	return e.clock.Now() - begin
}

// sendTransitionHeartbeats sends the additional heartbeats of proxies if they are enabled. A proxy sends one at each
// step while there is no primary, while no proxy may write, and while its grants don't match its gateway roles.
func (e *environment) sendTransitionHeartbeats() {
	for _, h := range e.proxies {
		if e.transitionHeartbeats && (e.database().Primary == "" ||
			len(h.Grants) != len(e.leader().Catalog.GatewayRoles(h.Instance.ID)) || !e.writable()) {
			_, _ = e.sendHeartbeat(h)
		}
	}
}

// assertExclusive checks that no two proxies hold the same gateway role, or may write, at the same time.
func (e *environment) assertExclusive() {
	e.t.Helper()
	holders, writers := map[lab.GatewayRole]lab.InstanceID{}, 0
	for _, h := range slices.Concat(e.proxies, e.disconnected) {
		for _, g := range h.Grants {
			if e.leaseExpiry[h.Instance.ID] <= e.clock.Now() {
				continue
			}
			assert.Equal(e.t, holders[g.Role], lab.InstanceID(""))
			holders[g.Role] = h.Instance.ID
			if g.Writable {
				writers++
			}
		}
	}
	assert.Assert(e.t, writers <= 1)
}

// writer returns the proxy that may write and its grant, or nil if there is none.
func (e *environment) writer() (*lab.Heartbeat, lab.Grant) {
	for _, h := range e.proxies {
		for _, g := range h.Grants {
			if g.Writable && e.leaseExpiry[h.Instance.ID] > e.clock.Now() {
				return h, g
			}
		}
	}

	return nil, lab.Grant{}
}

func (e *environment) writable() bool { h, _ := e.writer(); return h != nil }

// disconnect stops the heartbeats of a proxy. The proxy may use its grants until its lease expires.
func (e *environment) disconnect(h *lab.Heartbeat) {
	e.disconnected = append(e.disconnected, h)
	for i, p := range e.proxies {
		if p == h {
			e.proxies = append(e.proxies[:i:i], e.proxies[i+1:]...)
		}
	}
}

// Guards against a new deployment that never starts its first primary term, or that grants writes outside the primary's
// region.
func TestFirstTerm(t *testing.T) {
	e := newEnvironment(t)
	t.Logf("first write possible after %v", e.runUntil(10*time.Second, e.writable))
	h, g := e.writer()
	assert.Equal(t, h.Instance.Region, "gulf-coast")
	assert.Equal(t, g.Term, lab.PrimaryTerm(1))
	d := e.database()
	assert.Equal(t, d.Primary, "m-hanko")
	assert.DeepEqual(t, d.History, lab.TermHistory{{Term: 1}})
	assert.Equal(t, len(d.Registry.Replicas), 3)
}

// Guards against writes that stay interrupted after the loss of a primary, its gateway or the leader.
func TestFailover(t *testing.T) {
	recovers := func(term lab.PrimaryTerm, fail func(*environment)) func(*testing.T) {
		return func(t *testing.T) {
			e := newEnvironment(t)
			e.run(7 * time.Second)
			assert.Assert(t, e.writable())
			fail(e)
			took := e.runUntil(20*time.Second, func() bool {
				_, g := e.writer()

				return g.Term == term && e.database().CurrentTerm() == term
			})
			t.Logf("writes possible again after %v", took)
			_, g := e.writer()
			assert.Equal(t, g.Term, term)
		}
	}
	losePrimary := func(e *environment) {
		e.prober.stop(database + "/m-hanko")
		h, _ := e.writer()
		h.Statuses = []lab.MemberStatus{{Database: database, Member: "m-hanko", UnreachableFor: time.Second}}
	}
	t.Run("primary", recovers(2, losePrimary))
	t.Run("primary, eager proxies", recovers(2, func(e *environment) { e.transitionHeartbeats = true; losePrimary(e) }))
	t.Run("primary and leader", recovers(2, func(e *environment) {
		losePrimary(e)
		e.run(time.Second)
		e.log.elect("control-2", e.clock.Now())
	}))
	t.Run("primary and gateway", recovers(2, func(e *environment) {
		h, _ := e.writer()
		e.disconnect(h)
		e.prober.stop(database + "/m-hanko")
	}))
	t.Run("primary, report lost with the leader", recovers(2, func(e *environment) {
		e.prober.stop(database + "/m-hanko")
		e.log.elect("control-2", e.clock.Now())
	}))
	t.Run("gateway", func(t *testing.T) {
		e := newEnvironment(t)
		e.run(7 * time.Second)
		h, _ := e.writer()
		e.disconnect(h)
		took := e.runUntil(20*time.Second, func() bool { n, _ := e.writer(); return n != nil && n != h })
		t.Logf("writes possible again after %v", took)
		assert.Assert(t, e.writable())
		h.Instance.Incarnation--
		a, err := e.sendHeartbeat(h)
		assert.NilError(t, err)
		assert.Equal(t, a.TTL, time.Duration(0), "late heartbeat of a terminated process")
	})
	t.Run("restarted gateway", func(t *testing.T) {
		e := newEnvironment(t)
		e.run(7 * time.Second)
		h, _ := e.writer()
		late := *h
		h.Instance.Incarnation, h.RequestID, h.Grants, h.AppliedIndex = 2, 0, nil, 0
		assert.Equal(t, e.runUntil(20*time.Second, e.writable) <= time.Second, true)
		e.log.elect("control-2", e.clock.Now())
		a, err := e.sendHeartbeat(&late)
		assert.NilError(t, err)
		assert.Equal(t, a.TTL, time.Duration(0), "late heartbeat of a terminated process at a new leader")
	})
	t.Run("leader", func(t *testing.T) {
		e := newEnvironment(t)
		e.run(7 * time.Second)
		e.log.elect("control-2", e.clock.Now())
		for range 50 {
			e.run(100 * time.Millisecond)
			assert.Assert(t, e.writable(), "the new leader renews unchanged grants at once")
		}
	})
}

// Guards against a replaced member that is never forgotten because control doesn't learn which log index the gateway
// has applied.
func TestReplacedMember(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	e.prober.stop(database + "/m-kotka")
	at := lab.WALPosition{Term: 1, Offset: 100}
	e.prober.set(database+"/m-new", lab.MemberStatus{InRecovery: true, Received: at, Replayed: at})
	h, _ := e.writer()
	h.Statuses = []lab.MemberStatus{{Database: database, Member: "m-kotka", UnreachableFor: time.Second}}
	h.Announcements = []lab.Announcement{{Database: database, Member: "m-new", Address: "new:5432", Region: "gulf-coast", Incarnation: 1}}
	took := e.runUntil(20*time.Second, func() bool {
		_, known := e.database().Member("m-kotka")

		return !known && len(e.leader().Catalog.Departing(database)) == 0
	})
	t.Logf("replaced member forgotten after %v", took)
	assert.Assert(t, took < 15*time.Second)
	assert.Equal(t, len(e.database().Members), 3)
}

// Guards against a drained proxy that keeps or gets gateway roles.
func TestDrain(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	h, _ := e.writer()
	h.Draining = true
	t.Logf("gateway role moved after %v", e.runUntil(10*time.Second, func() bool {
		n, _ := e.writer()

		return n != nil && n != h
	}))
	n, _ := e.writer()
	assert.Assert(t, n != nil && n != h)
	assert.Equal(t, len(e.leader().Catalog.GatewayRoles(h.Instance.ID)), 0)
}

// Guards against responses from an instance that has lost its quorum without noticing.
func TestIsolated(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	e.log.isolate()
	_, err := e.sendHeartbeat(e.proxies[0])
	assert.ErrorIs(t, err, lab.ErrNotLeader)
	e.run(4 * time.Second)
	assert.Assert(t, !e.writable())
}

// Guards against a re-elected leader that relies on the leases of its earlier leadership, although another leader may
// have granted leases in between.
func TestReelected(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	h, _ := e.writer()
	e.disconnect(h) // another leader may have renewed this proxy's lease
	e.log.elect("control-1", e.clock.Now())
	took := e.runUntil(20*time.Second, e.writable)
	assert.Assert(t, took > 3*time.Second)
	a, err := e.sendHeartbeat(e.proxies[0])
	assert.NilError(t, err)
	assert.Equal(t, a.LeaderTerm, uint64(2))
}

// Guards against a relay that sends heartbeats one by one, or receives the catalog more than once, over the link
// between regions.
func TestRelay(t *testing.T) {
	e := newEnvironment(t)
	e.run(7 * time.Second)
	for _, h := range e.proxies {
		h.AppliedIndex, h.Grants = 0, nil
		h.RequestID++
	}
	relay := e.servers["control-2"]
	responses := make(chan lab.HeartbeatResponse, len(e.proxies))
	e.clock.unblock = make(chan struct{})
	for _, h := range e.proxies {
		go func() {
			a, err := relay.HandleHeartbeat(context.Background(), h.Instance.ID, *h)
			assert.Check(t, err)
			responses <- a
		}()
	}
	time.Sleep(20 * time.Millisecond)
	close(e.clock.unblock)
	for range e.proxies {
		a := <-responses
		assert.Equal(t, a.TTL, 3*time.Second)
		assert.Equal(t, len(a.Delta.Databases), 1)
	}
	assert.Equal(t, e.calls, 1)
	batch := labcontrol.HeartbeatBatch{Heartbeats: []lab.Heartbeat{*e.proxies[0], *e.proxies[1]}}
	response, err := e.leader().HandleHeartbeatBatch(context.Background(), "control-2", batch)
	assert.NilError(t, err)
	assert.Equal(t, len(response.Deltas), 1)
	_, err = e.leader().HandleHeartbeatBatch(context.Background(), "proxy-hanko", batch)
	assert.ErrorContains(t, err, "no control instance")
	_, err = e.leader().HandleHeartbeat(context.Background(), "proxy-hanko", *e.proxies[1])
	assert.ErrorContains(t, err, "sent by")
}
