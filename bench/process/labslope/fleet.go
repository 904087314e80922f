package labslope

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/version/labcatalog"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
)

// Sizes of the deployment that capacity planning expects after two years of growth.
const (
	fleetProxies       = 830
	fleetDatabases     = 1500
	fleetOrganisations = 100
	fleetZones         = 7
	fleetRelays        = 7
	databaseMembers    = 3
	ticksPerSecond     = int(time.Second / labcontrol.TickInterval)
)

// noProber fails every probe and promotion, since no PostgreSQL server runs in a fleet.
type noProber struct{}

func (noProber) Status(context.Context, lab.Announcement) (lab.MemberStatus, error) {
	return lab.MemberStatus{}, context.DeadlineExceeded
}

func (noProber) Promote(context.Context, lab.Announcement) (lab.MemberStatus, error) {
	return lab.MemberStatus{}, context.DeadlineExceeded
}

// fleet is a leader of the control group with simulated proxies and databases in two regions. The leader and the
// proxies exchange encoded messages in memory.
type fleet struct {
	log     *localLog
	server  *labcontrol.Server
	clock   *simulatedClock
	proxies []*simulatedProxy
	changes int // number of configuration changes that commitChange proposed
}

// simulatedProxy is the part of a proxy that sends heartbeats and applies catalog deltas.
type simulatedProxy struct {
	heartbeat    lab.Heartbeat
	localCatalog *lablocalcatalog.Catalog
}

func regionName(number int) string { return []string{"gulf-coast", "bothnia"}[number%2] }

func databaseName(number int) string { return fmt.Sprintf("rota-core-%d", number) }

func newFleet(ctx context.Context, proxies, databases, organisations int) (*fleet, error) {
	catalog := labcatalog.New()
	f := &fleet{log: &localLog{catalog: catalog}, clock: &simulatedClock{}}
	f.server = &labcontrol.Server{
		Log: f.log, Catalog: catalog, Clock: f.clock, Random: labrandom.NewSeeded(1), Prober: noProber{},
		Self: lab.Instance{ID: controlID}, Logger: zerolog.Nop(),
	}
	f.server.Tick(ctx)

	if err := f.populate(proxies, databases); err != nil {
		return nil, err
	}

	for range organisations {
		if err := f.commitChange(); err != nil {
			return nil, err
		}
	}

	f.clock.advance(labcontrol.SettleTime)
	f.server.Tick(ctx)

	return f, nil
}

func (f *fleet) populate(proxies, databases int) error {
	var command labcatalog.Command

	for i := range proxies {
		p := lab.Instance{
			ID: lab.InstanceID(fmt.Sprintf("proxy-%03d", i)), Incarnation: 1, Region: regionName(i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%fleetZones), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		command.JoinedProxies = append(command.JoinedProxies, p)
		f.proxies = append(f.proxies, &simulatedProxy{heartbeat: lab.Heartbeat{Instance: p}, localCatalog: lablocalcatalog.New()})
	}

	for i := range databases {
		for m := range databaseMembers {
			command.Announcements = append(command.Announcements, lab.Announcement{
				Database: databaseName(i), Member: fmt.Sprintf("member-%d", m), Region: regionName(m / 2),
				Address: fmt.Sprintf("10.%d.%d.%d:5432", 1+m, i/250, i%250), AvailabilityZone: fmt.Sprintf("zone-%d", m),
				Incarnation: 1, Slots: 3, Connections: 25,
			})
		}
	}

	if err := f.propose(&command); err != nil {
		return err
	}

	for i := range databases {
		t := &labcatalog.TermStarted{Database: databaseName(i), Term: 1, Primary: "member-0"}
		if err := f.propose(&labcatalog.Command{Term: t}); err != nil {
			return err
		}
	}

	return nil
}

func (f *fleet) propose(c *labcatalog.Command) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}

	_, err = f.log.Propose(context.Background(), data)

	return err
}

// commitChange commits one configuration change, which creates an organisation with one database.
func (f *fleet) commitChange() error {
	f.changes++

	return f.propose(newOrganisationChange(f.changes, f.changes, 0))
}

func newOrganisationChange(number, organisation int, base uint64) *labcatalog.Command {
	const keySize, saltSize, iterations = 32, 16, 4096

	return &labcatalog.Command{Change: &labcatalog.Change{
		ID: fmt.Sprintf("change-%d", number), Operator: "aino", Kind: labcatalog.KindOrganisation, BaseVersion: base,
		Name: fmt.Sprintf("ferry-%d", organisation),
		Organisation: &labcatalog.OrganisationDocument{
			Databases: []string{databaseName(1)}, Parameters: lab.Parameters{DrainGraceMS: 2000, Weight: int64(1 + number%5)},
			Credential: lab.Credential{
				Iterations: iterations, Salt: make([]byte, saltSize), StoredKey: make([]byte, keySize), ServerKey: make([]byte, keySize),
			},
		},
	}}
}

// roundCost holds the processor time and the bytes of one heartbeat round, in which every proxy sends one heartbeat.
type roundCost struct {
	leaderTime  time.Duration // processor time of the leader for decoding, handling and encoding messages, and for ticks
	proxyTime   time.Duration // processor time of all proxies for encoding, decoding and applying messages
	leaderBytes int           // size of the heartbeat batches and their responses
	proxyBytes  int           // size of the heartbeats and their responses
}

func (c *roundCost) add(o roundCost) {
	c.leaderTime += o.leaderTime
	c.proxyTime += o.proxyTime
	c.leaderBytes += o.leaderBytes
	c.proxyBytes += o.proxyBytes
}

// runHeartbeatRound advances the clock by pause and sends one heartbeat of every proxy through the relays. The returned
// cost does not include the processor time of the relays.
func (f *fleet) runHeartbeatRound(ctx context.Context, pause time.Duration) (roundCost, error) {
	var c roundCost

	f.clock.advance(pause)

	heartbeats, err := f.encodeHeartbeats(&c)
	if err != nil {
		return c, err
	}

	batches, err := batchForRelays(heartbeats)
	if err != nil {
		return c, err
	}

	responses, err := f.handleBatches(ctx, &c, batches)
	if err != nil {
		return c, err
	}

	proxyResponses, err := splitResponses(responses)
	if err != nil {
		return c, err
	}

	return c, f.applyResponses(&c, proxyResponses)
}

func (f *fleet) encodeHeartbeats(c *roundCost) ([][]byte, error) {
	begin := processorTime()
	defer func() { c.proxyTime += processorTime() - begin }()

	var heartbeats [][]byte

	for _, p := range f.proxies {
		p.heartbeat.RequestID++
		_, p.heartbeat.AppliedIndex = p.localCatalog.Version()

		b, err := msgpack.Marshal(&p.heartbeat)
		if err != nil {
			return nil, errors.Newf("encode heartbeat: %w", err)
		}

		c.proxyBytes += len(b)
		heartbeats = append(heartbeats, b)
	}

	return heartbeats, nil
}

// batchForRelays combines the heartbeats into one batch for each relay.
func batchForRelays(heartbeats [][]byte) ([][]byte, error) {
	var batches [][]byte

	batchSize := (len(heartbeats) + fleetRelays - 1) / fleetRelays

	for from := 0; from < len(heartbeats); from += batchSize {
		var batch labcontrol.HeartbeatBatch

		for _, b := range heartbeats[from:min(from+batchSize, len(heartbeats))] {
			var h lab.Heartbeat
			if err := msgpack.Unmarshal(b, &h); err != nil {
				return nil, errors.Newf("decode heartbeat: %w", err)
			}

			batch.Heartbeats = append(batch.Heartbeats, h)
		}

		b, err := msgpack.Marshal(&batch)
		if err != nil {
			return nil, errors.Newf("encode heartbeat batch: %w", err)
		}

		batches = append(batches, b)
	}

	return batches, nil
}

func (f *fleet) handleBatches(ctx context.Context, c *roundCost, batches [][]byte) ([][]byte, error) {
	begin := processorTime()
	defer func() { c.leaderTime += processorTime() - begin }()

	var responses [][]byte

	for _, b := range batches {
		var batch labcontrol.HeartbeatBatch
		if err := msgpack.Unmarshal(b, &batch); err != nil {
			return nil, errors.Newf("decode heartbeat batch: %w", err)
		}

		response, err := f.server.HandleHeartbeatBatch(ctx, controlID, batch)
		if err != nil {
			return nil, err
		}

		encoded, err := msgpack.Marshal(&response)
		if err != nil {
			return nil, errors.Newf("encode batch response: %w", err)
		}

		c.leaderBytes += len(b) + len(encoded)
		responses = append(responses, encoded)
	}

	return responses, nil
}

// splitResponses splits the responses to batches into the responses that relays send to the proxies, one per proxy.
func splitResponses(responses [][]byte) ([][]byte, error) {
	var proxyResponses [][]byte

	for _, b := range responses {
		var batch labcontrol.HeartbeatBatchResponse
		if err := msgpack.Unmarshal(b, &batch); err != nil {
			return nil, errors.Newf("decode batch response: %w", err)
		}

		for i := range batch.Responses {
			r := batch.Responses[i]
			r.Delta = batch.Deltas[batch.DeltaIndexes[i]]

			encoded, err := msgpack.Marshal(&r)
			if err != nil {
				return nil, errors.Newf("encode heartbeat response: %w", err)
			}

			proxyResponses = append(proxyResponses, encoded)
		}
	}

	return proxyResponses, nil
}

func (f *fleet) applyResponses(c *roundCost, responses [][]byte) error {
	begin := processorTime()
	defer func() { c.proxyTime += processorTime() - begin }()

	for i, p := range f.proxies {
		var r lab.HeartbeatResponse
		if err := msgpack.Unmarshal(responses[i], &r); err != nil {
			return errors.Newf("decode heartbeat response: %w", err)
		}

		if err := p.localCatalog.Apply(r.Delta); err != nil {
			return err
		}

		p.heartbeat.Grants = r.Grants
		c.proxyBytes += len(responses[i])
	}

	return nil
}

// runSecond simulates one second: a heartbeat round and the ticks of the leader. It commits no configuration change.
func (f *fleet) runSecond(ctx context.Context) (roundCost, error) {
	c, err := f.runHeartbeatRound(ctx, time.Second)
	if err != nil {
		return c, err
	}

	c.leaderTime += f.runTicks(ctx, ticksPerSecond)

	return c, nil
}

func (f *fleet) runTicks(ctx context.Context, count int) time.Duration {
	begin := processorTime()

	for range count {
		f.server.Tick(ctx) // the clock doesn't advance, so no proxy misses a heartbeat
	}

	return processorTime() - begin
}

// initialize applies the full catalog at every proxy and runs the heartbeat rounds that grant the gateway roles. It
// returns an error if not all roles are granted after them. The proxies share one decoded catalog, since a copy for
// each of them would need several gigabytes in all.
func (f *fleet) initialize(ctx context.Context) error {
	data, err := msgpack.Marshal(f.server.Catalog.Delta(0))
	if err != nil {
		return errors.Newf("encode catalog: %w", err)
	}

	var full lab.CatalogDelta
	if err := msgpack.Unmarshal(data, &full); err != nil {
		return errors.Newf("decode catalog: %w", err)
	}

	for _, p := range f.proxies {
		if err := p.localCatalog.Apply(full); err != nil {
			return err
		}
	}

	const rounds = 3 // the first round delivers the grants, the later rounds confirm them

	for range rounds {
		if _, err := f.runSecond(ctx); err != nil {
			return err
		}
	}

	return f.checkGrants()
}

func (f *fleet) checkGrants() error {
	granted := 0
	for _, p := range f.proxies {
		granted += len(p.heartbeat.Grants)
	}

	if want := 2 * len(f.server.Catalog.Databases()); granted != want {
		return errors.Newf("%d gateway roles are granted instead of %d", granted, want)
	}

	return nil
}
