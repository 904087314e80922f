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
	t          testing.TB
	log        *replicatedLog
	server     *labcontrol.Server
	heartbeats []lab.Heartbeat
	clock      *fakeClock
}

func newFleet(t testing.TB, proxies, databases int) *fleet {
	catalog := labcatalog.New()
	f := &fleet{t: t, log: &replicatedLog{replicas: []*labcatalog.Catalog{catalog}}, clock: &fakeClock{now: time.Second}}
	f.server = &labcontrol.Server{
		Log: &logReplica{replicatedLog: f.log, id: "control", catalog: catalog}, Catalog: catalog, Clock: f.clock,
		Random: &fakeRandom{}, Prober: &fakeProber{}, Self: lab.Instance{ID: "control"}, Logger: zerolog.Nop(),
	}
	f.log.elect("control", f.clock.Now())
	f.server.Tick(context.Background())
	var command labcatalog.Command
	for i := range proxies {
		p := lab.Instance{
			ID: lab.InstanceID(fmt.Sprintf("proxy-%03d", i)), Incarnation: 1, Region: databaseRegions[i%2],
			AvailabilityZone: fmt.Sprintf("zone-%d", i%7), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		command.JoinedProxies = append(command.JoinedProxies, p)
		f.heartbeats = append(f.heartbeats, lab.Heartbeat{Instance: p})
	}
	for i := range databases {
		for m := range 3 {
			command.Announcements = append(command.Announcements, lab.Announcement{
				Database: fmt.Sprintf("rota-core-%d", i), Member: fmt.Sprintf("member-%d", m), Region: databaseRegions[m/2],
				Address: fmt.Sprintf("10.%d.%d.%d:5432", 1+m, i/250, i%250), AvailabilityZone: fmt.Sprintf("zone-%d", m),
				Incarnation: 1, Slots: 3, Connections: 25,
			})
		}
	}
	f.propose(command)
	for i := range databases {
		f.propose(labcatalog.Command{Term: &labcatalog.TermStarted{Database: fmt.Sprintf("rota-core-%d", i), Term: 1, Primary: "member-0"}})
	}
	f.clock.advance(labcontrol.SettleTime)
	f.server.Tick(context.Background())
	f.exchangeHeartbeats()
	granted := 0
	for _, h := range f.heartbeats {
		granted += len(h.Grants)
	}
	assert.Equal(t, granted, 2*databases)

	return f
}

var databaseRegions = []string{"gulf-coast", "bothnia"}

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

// messageSizes holds the total bytes of each kind of message in one round of heartbeats.
type messageSizes struct{ heartbeat, response, batch, batchResponse int }

// exchangeHeartbeats sends one heartbeat of every proxy to the leader, in 7 relay batches. All messages are encoded as
// on the wire; their sizes are returned.
func (f *fleet) exchangeHeartbeats() messageSizes {
	var s messageSizes
	f.clock.advance(time.Second)
	perBatch := (len(f.heartbeats) + 6) / 7
	for from := 0; from < len(f.heartbeats); from += perBatch {
		senders := f.heartbeats[from:min(from+perBatch, len(f.heartbeats))]
		batch := labcontrol.HeartbeatBatch{}
		for i := range senders {
			senders[i].RequestID++
			h := encode(f.t, &senders[i])
			s.heartbeat += len(h)
			var received lab.Heartbeat
			assert.NilError(f.t, msgpack.Unmarshal(h, &received))
			batch.Heartbeats = append(batch.Heartbeats, received)
		}
		request := encode(f.t, &batch)
		var received labcontrol.HeartbeatBatch
		assert.NilError(f.t, msgpack.Unmarshal(request, &received))
		response, err := f.server.HandleHeartbeatBatch(context.Background(), "control", received)
		assert.NilError(f.t, err)
		encoded := encode(f.t, &response)
		s.batch, s.batchResponse = s.batch+len(request), s.batchResponse+len(encoded)
		var relayed labcontrol.HeartbeatBatchResponse
		assert.NilError(f.t, msgpack.Unmarshal(encoded, &relayed))
		for i := range senders {
			s.response += f.deliver(&senders[i], relayed.Responses[i], relayed.Deltas[relayed.DeltaIndexes[i]])
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

// BenchmarkHeartbeats measures one round of heartbeats, without and with one configuration change. It reports the bytes
// per proxy, and the processing time per proxy as the sum of the proxy's, the relay's and the leader's work.
func BenchmarkHeartbeats(b *testing.B) {
	for _, proxies := range []int{10, 50, 200, 830} {
		for _, databases := range []int{3, 50, 1500} {
			for _, changes := range []int{0, 1} {
				b.Run(fmt.Sprintf("proxies=%d/databases=%d/changes=%d", proxies, databases, changes), func(b *testing.B) {
					f := newFleet(b, proxies, databases)
					f.exchangeHeartbeats()
					n := 0
					var s messageSizes
					for b.Loop() {
						for range changes {
							n++
							f.change(n)
						}
						s = f.exchangeHeartbeats()
					}
					count := float64(proxies)
					b.ReportMetric(float64(s.heartbeat)/count, "heartbeat_B/proxy")
					b.ReportMetric(float64(s.response)/count, "answer_B/proxy")
					b.ReportMetric(float64(s.batch+s.batchResponse)/count, "relayed_B/proxy")
					b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/count, "us/proxy")
				})
			}
		}
	}
}

// BenchmarkTick measures one tick of the leader with 1,500 databases and 830 proxies when no placement has to change.
// After a change in the catalog the tick checks all placements.
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
				f.server.Tick(context.Background()) // the clock doesn't advance, so no proxy becomes silent
			}
		})
	}
}
