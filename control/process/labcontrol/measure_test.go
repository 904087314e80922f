package labcontrol_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// fleet is a leader with many proxies in 7 availability zones of 2 regions and databases with 3 members.
type fleet struct {
	t      testing.TB
	log    *log
	server *labcontrol.Server
	beats  []lab.Heartbeat
	clock  *clock
}

func newFleet(t testing.TB, proxies, databases int) *fleet {
	catalog := labcatalog.New()
	f := &fleet{t: t, log: &log{replicas: []*labcatalog.Catalog{catalog}}, clock: &clock{now: time.Second}}
	f.server = &labcontrol.Server{
		Log: &member{log: f.log, id: "control", catalog: catalog}, Catalog: catalog, Clock: f.clock, Random: &random{},
		Prober: &prober{}, Self: lab.Instance{ID: "control"}, Logger: zerolog.Nop(),
	}
	f.log.elect("control", f.clock.Now())
	f.server.Tick(context.Background())
	var facts labcatalog.Command
	for i := range proxies {
		p := lab.Instance{
			ID: lab.InstanceID(fmt.Sprintf("proxy-%03d", i)), Incarnation: 1, Region: regions[i%2],
			AvailabilityZone: fmt.Sprintf("zone-%d", i%7), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		facts.JoinedProxies = append(facts.JoinedProxies, p)
		f.beats = append(f.beats, lab.Heartbeat{Instance: p})
	}
	for i := range databases {
		for m := range 3 {
			facts.Announcements = append(facts.Announcements, lab.Announcement{
				Database: fmt.Sprintf("rota-core-%d", i), Member: fmt.Sprintf("member-%d", m), Region: regions[m/2],
				Address: fmt.Sprintf("10.%d.%d.%d:5432", 1+m, i/250, i%250), AvailabilityZone: fmt.Sprintf("zone-%d", m),
				Incarnation: 1, Slots: 3, Connections: 25,
			})
		}
	}
	f.propose(facts)
	for i := range databases {
		f.propose(labcatalog.Command{Term: &labcatalog.TermStarted{Database: fmt.Sprintf("rota-core-%d", i), Term: 1, Primary: "member-0"}})
	}
	f.clock.advance(labcontrol.SettleTime)
	f.server.Tick(context.Background())
	f.round()
	granted := 0
	for _, h := range f.beats {
		granted += len(h.Grants)
	}
	assert.Equal(t, granted, 2*databases)

	return f
}

var regions = []string{"gulf-coast", "bothnia"}

func (f *fleet) propose(c labcatalog.Command) {
	data, err := c.Encode()
	assert.NilError(f.t, err)
	_, err = f.server.Log.Propose(context.Background(), data)
	assert.NilError(f.t, err)
}

// change commits one configuration change.
func (f *fleet) change(n int) {
	f.propose(labcatalog.Command{Change: &labcatalog.Change{
		ID: fmt.Sprint(n), Operator: "aino", Kind: labcatalog.KindOrganisation, Name: fmt.Sprintf("ferry-%d", n),
		Organisation: &labcatalog.OrganisationDocument{
			Databases: []string{"rota-core-1"}, Parameters: lab.Parameters{DrainGraceMS: 2000, Weight: 3},
			Credential: lab.Credential{Iterations: 4096, Salt: make([]byte, 16), StoredKey: make([]byte, 32), ServerKey: make([]byte, 32)},
		},
	}})
}

// sizes are the totals of one round of heartbeats.
type sizes struct{ heartbeat, answer, batch, batchAnswer int }

// round sends one heartbeat of every proxy in 7 relay batches, as encoded messages, and returns their sizes.
func (f *fleet) round() sizes {
	var s sizes
	f.clock.advance(time.Second)
	per := (len(f.beats) + 6) / 7
	for from := 0; from < len(f.beats); from += per {
		part := f.beats[from:min(from+per, len(f.beats))]
		batch := labcontrol.HeartbeatBatch{}
		for i := range part {
			part[i].RequestID++
			h := encode(f.t, &part[i])
			s.heartbeat += len(h)
			var received lab.Heartbeat
			assert.NilError(f.t, msgpack.Unmarshal(h, &received))
			batch.Heartbeats = append(batch.Heartbeats, received)
		}
		request := encode(f.t, &batch)
		var received labcontrol.HeartbeatBatch
		assert.NilError(f.t, msgpack.Unmarshal(request, &received))
		answer, err := f.server.HandleHeartbeatBatch(context.Background(), "control", received)
		assert.NilError(f.t, err)
		reply := encode(f.t, &answer)
		s.batch, s.batchAnswer = s.batch+len(request), s.batchAnswer+len(reply)
		var relayed labcontrol.HeartbeatBatchAnswer
		assert.NilError(f.t, msgpack.Unmarshal(reply, &relayed))
		for i := range part {
			s.answer += f.deliver(&part[i], relayed.Answers[i], relayed.Deltas[relayed.Choice[i]])
		}
	}

	return s
}

func (f *fleet) deliver(h *lab.Heartbeat, a lab.HeartbeatResponse, d lab.CatalogDelta) int {
	a.Delta = d
	data := encode(f.t, &a)
	var received lab.HeartbeatResponse
	assert.NilError(f.t, msgpack.Unmarshal(data, &received))
	h.Grants, h.AppliedIndex = received.Grants, received.Delta.Index

	return len(data)
}

func encode(t testing.TB, v any) []byte {
	data, err := msgpack.Marshal(v)
	assert.NilError(t, err)

	return data
}

// BenchmarkHeartbeats measures one round of heartbeats: bytes per proxy and the processing time per proxy of proxy,
// relay and leader together, steady and with one configuration change.
func BenchmarkHeartbeats(b *testing.B) {
	for _, proxies := range []int{10, 50, 200, 830} {
		for _, databases := range []int{3, 50, 1500} {
			for _, changes := range []int{0, 1} {
				b.Run(fmt.Sprintf("proxies=%d/databases=%d/changes=%d", proxies, databases, changes), func(b *testing.B) {
					f := newFleet(b, proxies, databases)
					f.round()
					n := 0
					var s sizes
					for b.Loop() {
						for range changes {
							n++
							f.change(n)
						}
						s = f.round()
					}
					count := float64(proxies)
					b.ReportMetric(float64(s.heartbeat)/count, "heartbeat_B/proxy")
					b.ReportMetric(float64(s.answer)/count, "answer_B/proxy")
					b.ReportMetric(float64(s.batch+s.batchAnswer)/count, "relayed_B/proxy")
					b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/count, "us/proxy")
				})
			}
		}
	}
}

// BenchmarkTick measures one tick of the leader of 1,500 databases and 830 proxies when no placement needs a change;
// after a change in the catalog it looks at all placements.
func BenchmarkTick(b *testing.B) {
	for _, changes := range []int{0, 1} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			f := newFleet(b, 830, 1500)
			f.server.Tick(context.Background())
			n := 0
			for b.Loop() {
				for range changes {
					n++
					f.change(n)
				}
				f.server.Tick(context.Background()) // the clock stands still, so no proxy becomes silent
			}
		})
	}
}
