package labcontrol_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// world is one leader with proxies in two regions and one database of three members.
type world struct {
	t       *testing.T
	clock   *clock
	log     *log
	prober  *prober
	server  *labcontrol.Server
	proxies []*lab.Heartbeat
	answers map[lab.InstanceID]lab.HeartbeatAnswer
}

func newWorld(t *testing.T) *world {
	catalog := labcatalog.New()
	w := &world{
		t: t, clock: &clock{now: time.Second}, log: &log{replicas: []*labcatalog.Catalog{catalog}},
		prober: &prober{members: map[string]lab.MemberStatus{}}, answers: map[lab.InstanceID]lab.HeartbeatAnswer{},
	}
	w.server = &labcontrol.Server{
		Log: &member{log: w.log, id: "control-1", catalog: catalog}, Catalog: catalog, Clock: w.clock, Random: &random{},
		Prober: w.prober, Self: lab.Instance{ID: "control-1"}, Logger: zerolog.Nop(),
	}
	w.log.elect("control-1", w.clock.Now())
	for i, z := range []string{"hanko", "kotka", "oulu"} {
		region := "gulf-coast"
		if z == "oulu" {
			region = "bothnia"
		}
		id := lab.InstanceID("proxy-" + z)
		w.proxies = append(w.proxies, &lab.Heartbeat{Instance: lab.Instance{
			ID: id, Incarnation: 1, Region: region, AvailabilityZone: z, Address: z + ":1",
		}})
		a := lab.Announcement{
			Database: "rota-core-1", Member: "m-" + z, Address: z + ":5432", Region: region, AvailabilityZone: z,
			Incarnation: 1, Slots: 3, Connections: 25,
		}
		w.proxies[i].Announcements = []lab.Announcement{a}
		w.prober.set("rota-core-1/m-"+z, lab.MemberStatus{
			InRecovery: i > 0, Received: lab.Position{Term: 1, Offset: 100}, Replayed: lab.Position{Term: 1, Offset: 100},
		})
	}

	return w
}

// beat sends a heartbeat of a proxy and lets it hold what the answer grants.
func (w *world) beat(h *lab.Heartbeat) lab.HeartbeatAnswer {
	h.RequestID++
	a, err := w.server.HandleHeartbeat(context.Background(), h.Instance.ID, *h)
	assert.NilError(w.t, err)
	h.Held, h.Announcements, h.Statuses = a.Grants, nil, nil
	h.Confirmed = a.Delta.Index
	w.answers[h.Instance.ID] = a

	return a
}

// run lets time pass with a heartbeat of every proxy each second and a tick each 100 ms.
func (w *world) run(d time.Duration) {
	for end := w.clock.Now() + d; w.clock.Now() < end; {
		if w.clock.Now()%time.Second == 0 {
			for _, h := range w.proxies {
				w.beat(h)
			}
		}
		w.server.Tick(context.Background())
		time.Sleep(2 * time.Millisecond) // steps of promotions run in goroutines
		w.clock.advance(100 * time.Millisecond)
	}
}

// Guards against a fresh system that never reaches a first term, or grants writes to more than the primary's region.
func TestFirstTerm(t *testing.T) {
	w := newWorld(t)
	w.run(4 * time.Second)
	d, ok := w.server.Catalog.Database("rota-core-1")
	assert.Assert(t, ok)
	assert.Equal(t, d.Primary, "m-hanko")
	assert.DeepEqual(t, d.History, lab.History{{Term: 1}})
	writers := 0
	for _, a := range w.answers {
		for _, g := range a.Grants {
			if g.Writable {
				writers++
				assert.Equal(t, g.Duty.Region, "gulf-coast")
				assert.Equal(t, g.Term, lab.Term(1))
			}
		}
	}
	assert.Equal(t, writers, 1)
	assert.Equal(t, len(d.Registry.Holders), 3)
}
