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

// world is two control instances with proxies in two regions and one database of three members.
type world struct {
	t       *testing.T
	clock   *clock
	log     *log
	prober  *prober
	servers map[lab.InstanceID]*labcontrol.Server
	proxies []*lab.Heartbeat
	silent  []*lab.Heartbeat                 // proxies that are cut off from control
	leases  map[lab.InstanceID]time.Duration // when a proxy's grants end
	calls   int                              // messages between control instances
	eager   bool                             // proxies send additional heartbeats while something is in transition
}

const database = "rota-core-1"

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, clock: &clock{now: time.Second}, log: &log{}, prober: &prober{members: map[string]lab.MemberStatus{}},
		servers: map[lab.InstanceID]*labcontrol.Server{}, leases: map[lab.InstanceID]time.Duration{},
	}
	for _, id := range []lab.InstanceID{"control-1", "control-2"} {
		catalog := labcatalog.New()
		w.log.replicas = append(w.log.replicas, catalog)
		w.servers[id] = &labcontrol.Server{
			Log: &member{log: w.log, id: id, catalog: catalog}, Catalog: catalog, Clock: w.clock, Random: &random{},
			Prober: w.prober, Peers: w, Self: lab.Instance{ID: id}, Logger: zerolog.Nop(),
			Addresses: map[lab.InstanceID]string{"control-1": "control-1", "control-2": "control-2"},
			Operators: map[lab.InstanceID]string{"control-1": "http://control-1", "control-2": "http://control-2"},
		}
	}
	w.log.elect("control-1", w.clock.Now())
	for i, z := range []string{"hanko", "kotka", "oulu"} {
		region := "gulf-coast"
		if z == "oulu" {
			region = "bothnia"
		}
		w.proxies = append(w.proxies, &lab.Heartbeat{
			Instance: lab.Instance{
				ID: lab.InstanceID("proxy-" + z), Incarnation: 1, Region: region, AvailabilityZone: z, Address: z + ":1",
			},
			Announcements: []lab.Announcement{{
				Database: database, Member: "m-" + z, Address: z + ":5432", Region: region, AvailabilityZone: z,
				Incarnation: 1, Slots: 3, Connections: 25,
			}},
		})
		at := lab.WALPosition{Term: 1, Offset: 100}
		w.prober.set(database+"/m-"+z, lab.MemberStatus{InRecovery: i > 0, Received: at, Replayed: at})
	}

	return w
}

// Call carries a batch to the addressed control instance.
func (w *world) Call(ctx context.Context, address string, _ lab.Method, request, answer any) error {
	w.calls++
	batch, isBatch := request.(labcontrol.HeartbeatBatch)
	target, isAnswer := answer.(*labcontrol.HeartbeatBatchAnswer)
	if !isBatch || !isAnswer {
		return errors.New("unexpected message")
	}
	var err error
	*target, err = w.servers[lab.InstanceID(address)].HandleHeartbeatBatch(ctx, "control-2", batch)

	return err
}

func (w *world) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errors.New("no streams")
}

func (w *world) leader() *labcontrol.Server { return w.servers[w.log.leader] }

func (w *world) database() *lab.Database {
	d, _ := w.leader().Catalog.Database(database)

	return d
}

// beat sends a heartbeat of a proxy and lets it hold what the answer grants.
func (w *world) beat(h *lab.Heartbeat) (lab.HeartbeatResponse, error) {
	h.RequestID++
	a, err := w.leader().HandleHeartbeat(context.Background(), h.Instance.ID, *h)
	if err != nil {
		return a, err
	}
	h.Grants, h.Announcements, h.Statuses = a.Grants, nil, nil
	h.AppliedIndex = max(h.AppliedIndex, a.Delta.Index)
	w.leases[h.Instance.ID] = w.clock.Now() + a.TTL
	w.exclusive()

	return a, nil
}

// run lets time pass with a heartbeat of every proxy each second and a tick each 100 ms.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	w.until(d, func() bool { return false })
}

// until runs until the condition holds and returns how long it took.
func (w *world) until(limit time.Duration, done func() bool) time.Duration {
	w.t.Helper()
	begin := w.clock.Now()
	for w.clock.Now() < begin+limit && !done() {
		if w.clock.Now()%time.Second == 0 {
			for _, h := range w.proxies {
				_, _ = w.beat(h) // fails while no leader has a quorum
			}
		}
		w.hurry()
		for _, s := range w.servers {
			s.Tick(context.Background())
		}
		time.Sleep(2 * time.Millisecond) // steps of promotions run in goroutines
		w.clock.advance(100 * time.Millisecond)
		w.exclusive()
	}

	return w.clock.Now() - begin
}

// hurry sends the additional heartbeats of eager proxies: at once when a grant was taken away, and with every step
// while a promotion or a transfer keeps a duty from its holder.
func (w *world) hurry() {
	for _, h := range w.proxies {
		if w.eager && (w.database().Primary == "" || len(h.Grants) != len(w.leader().Catalog.GatewayRoles(h.Instance.ID)) || !w.writes()) {
			_, _ = w.beat(h)
		}
	}
}

// exclusive checks that no two proxies can use one duty, or write, at the same time.
func (w *world) exclusive() {
	w.t.Helper()
	duties, writers := map[lab.GatewayRole]lab.InstanceID{}, 0
	for _, h := range slices.Concat(w.proxies, w.silent) {
		for _, g := range h.Grants {
			if w.leases[h.Instance.ID] <= w.clock.Now() {
				continue
			}
			assert.Equal(w.t, duties[g.Role], lab.InstanceID(""))
			duties[g.Role] = h.Instance.ID
			if g.Writable {
				writers++
			}
		}
	}
	assert.Assert(w.t, writers <= 1)
}

// writer returns the proxy that may write and its grant.
func (w *world) writer() (*lab.Heartbeat, lab.Grant) {
	for _, h := range w.proxies {
		for _, g := range h.Grants {
			if g.Writable && w.leases[h.Instance.ID] > w.clock.Now() {
				return h, g
			}
		}
	}

	return nil, lab.Grant{}
}

func (w *world) writes() bool { h, _ := w.writer(); return h != nil }

// stop cuts a proxy off; it may go on using its grants until its lease ends.
func (w *world) stop(h *lab.Heartbeat) {
	w.silent = append(w.silent, h)
	for i, p := range w.proxies {
		if p == h {
			w.proxies = append(w.proxies[:i:i], w.proxies[i+1:]...)
		}
	}
}

// Guards against a fresh system that never reaches a first term, or grants writes outside the primary's region.
func TestFirstTerm(t *testing.T) {
	w := newWorld(t)
	t.Logf("first write possible after %v", w.until(10*time.Second, w.writes))
	h, g := w.writer()
	assert.Equal(t, h.Instance.Region, "gulf-coast")
	assert.Equal(t, g.Term, lab.PrimaryTerm(1))
	d := w.database()
	assert.Equal(t, d.Primary, "m-hanko")
	assert.DeepEqual(t, d.History, lab.TermHistory{{Term: 1}})
	assert.Equal(t, len(d.Registry.Replicas), 3)
}

// Guards against writes that stay interrupted after the loss of a primary, its gateway or the leader.
func TestFailover(t *testing.T) {
	recovers := func(term lab.PrimaryTerm, fail func(*world)) func(*testing.T) {
		return func(t *testing.T) {
			w := newWorld(t)
			w.run(7 * time.Second)
			assert.Assert(t, w.writes())
			fail(w)
			took := w.until(20*time.Second, func() bool { _, g := w.writer(); return g.Term == term && w.database().CurrentTerm() == term })
			t.Logf("writes possible again after %v", took)
			_, g := w.writer()
			assert.Equal(t, g.Term, term)
		}
	}
	losePrimary := func(w *world) {
		w.prober.lose(database + "/m-hanko")
		h, _ := w.writer()
		h.Statuses = []lab.MemberStatus{{Database: database, Member: "m-hanko", UnreachableFor: time.Second}}
	}
	t.Run("primary", recovers(2, losePrimary))
	t.Run("primary, eager proxies", recovers(2, func(w *world) { w.eager = true; losePrimary(w) }))
	t.Run("primary and leader", recovers(2, func(w *world) {
		losePrimary(w)
		w.run(time.Second)
		w.log.elect("control-2", w.clock.Now())
	}))
	t.Run("primary and gateway", recovers(2, func(w *world) {
		h, _ := w.writer()
		w.stop(h)
		w.prober.lose(database + "/m-hanko")
	}))
	t.Run("primary, report lost with the leader", recovers(2, func(w *world) {
		w.prober.lose(database + "/m-hanko")
		w.log.elect("control-2", w.clock.Now())
	}))
	t.Run("gateway", func(t *testing.T) {
		w := newWorld(t)
		w.run(7 * time.Second)
		h, _ := w.writer()
		w.stop(h)
		took := w.until(20*time.Second, func() bool { n, _ := w.writer(); return n != nil && n != h })
		t.Logf("writes possible again after %v", took)
		assert.Assert(t, w.writes())
		h.Instance.Incarnation--
		a, err := w.beat(h)
		assert.NilError(t, err)
		assert.Equal(t, a.TTL, time.Duration(0), "late heartbeat of an ended process")
	})
	t.Run("restarted gateway", func(t *testing.T) {
		w := newWorld(t)
		w.run(7 * time.Second)
		h, _ := w.writer()
		late := *h
		h.Instance.Incarnation, h.RequestID, h.Grants, h.AppliedIndex = 2, 0, nil, 0
		assert.Equal(t, w.until(20*time.Second, w.writes) <= time.Second, true)
		w.log.elect("control-2", w.clock.Now())
		a, err := w.beat(&late)
		assert.NilError(t, err)
		assert.Equal(t, a.TTL, time.Duration(0), "late heartbeat of an ended process at a new leader")
	})
	t.Run("leader", func(t *testing.T) {
		w := newWorld(t)
		w.run(7 * time.Second)
		w.log.elect("control-2", w.clock.Now())
		for range 50 {
			w.run(100 * time.Millisecond)
			assert.Assert(t, w.writes(), "the new leader renews unchanged grants at once")
		}
	})
}

// Guards against a replaced member that is never forgotten because control doesn't learn what its gateway confirmed.
func TestReplacedMember(t *testing.T) {
	w := newWorld(t)
	w.run(7 * time.Second)
	w.prober.lose(database + "/m-kotka")
	at := lab.WALPosition{Term: 1, Offset: 100}
	w.prober.set(database+"/m-new", lab.MemberStatus{InRecovery: true, Received: at, Replayed: at})
	h, _ := w.writer()
	h.Statuses = []lab.MemberStatus{{Database: database, Member: "m-kotka", UnreachableFor: time.Second}}
	h.Announcements = []lab.Announcement{{Database: database, Member: "m-new", Address: "new:5432", Region: "gulf-coast", Incarnation: 1}}
	took := w.until(20*time.Second, func() bool {
		_, known := w.database().Member("m-kotka")

		return !known && len(w.leader().Catalog.Departing(database)) == 0
	})
	t.Logf("dead member forgotten after %v", took)
	assert.Assert(t, took < 15*time.Second)
	assert.Equal(t, len(w.database().Members), 3)
}

// Guards against a drained proxy that keeps or gets duties.
func TestDrain(t *testing.T) {
	w := newWorld(t)
	w.run(7 * time.Second)
	h, _ := w.writer()
	h.Draining = true
	t.Logf("duty moved after %v", w.until(10*time.Second, func() bool { n, _ := w.writer(); return n != nil && n != h }))
	n, _ := w.writer()
	assert.Assert(t, n != nil && n != h)
	assert.Equal(t, len(w.leader().Catalog.GatewayRoles(h.Instance.ID)), 0)
}

// Guards against answers from an instance that lost its quorum without knowing.
func TestIsolated(t *testing.T) {
	w := newWorld(t)
	w.run(7 * time.Second)
	w.log.isolate()
	_, err := w.beat(w.proxies[0])
	assert.ErrorIs(t, err, lab.ErrNotLeader)
	w.run(4 * time.Second)
	assert.Assert(t, !w.writes())
}

// Guards against an instance that leads again and trusts what it knew of leases before, while another one led.
func TestReelected(t *testing.T) {
	w := newWorld(t)
	w.run(7 * time.Second)
	h, _ := w.writer()
	w.stop(h) // its lease may have been renewed by a leader in between
	w.log.elect("control-1", w.clock.Now())
	took := w.until(20*time.Second, w.writes)
	assert.Assert(t, took > 3*time.Second)
	a, err := w.beat(w.proxies[0])
	assert.NilError(t, err)
	assert.Equal(t, a.LeaderTerm, uint64(2))
}

// Guards against heartbeats that travel one by one, or carry the catalog more than once, over the region link.
func TestRelay(t *testing.T) {
	w := newWorld(t)
	w.run(7 * time.Second)
	for _, h := range w.proxies {
		h.AppliedIndex, h.Grants = 0, nil
		h.RequestID++
	}
	relay := w.servers["control-2"]
	answers := make(chan lab.HeartbeatResponse, len(w.proxies))
	w.clock.block = make(chan struct{})
	for _, h := range w.proxies {
		go func() {
			a, err := relay.HandleHeartbeat(context.Background(), h.Instance.ID, *h)
			assert.Check(t, err)
			answers <- a
		}()
	}
	time.Sleep(20 * time.Millisecond)
	close(w.clock.block)
	for range w.proxies {
		a := <-answers
		assert.Equal(t, a.TTL, 3*time.Second)
		assert.Equal(t, len(a.Delta.Databases), 1)
	}
	assert.Equal(t, w.calls, 1)
	batch := labcontrol.HeartbeatBatch{Heartbeats: []lab.Heartbeat{*w.proxies[0], *w.proxies[1]}}
	answer, err := w.leader().HandleHeartbeatBatch(context.Background(), "control-2", batch)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Deltas), 1)
	_, err = w.leader().HandleHeartbeatBatch(context.Background(), "proxy-hanko", batch)
	assert.ErrorContains(t, err, "no control instance")
	_, err = w.leader().HandleHeartbeat(context.Background(), "proxy-hanko", *w.proxies[1])
	assert.ErrorContains(t, err, "sent by")
}
