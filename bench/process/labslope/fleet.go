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

// Sizes of the targets in two years.
const (
	fleetProxies       = 830
	fleetDatabases     = 1500
	fleetOrganisations = 100
	fleetZones         = 7
	fleetRelays        = 7
	databaseMembers    = 3
	ticksPerSecond     = int(time.Second / labcontrol.TickInterval)
)

// noProber reads no member; nothing is promoted in a fleet.
type noProber struct{}

func (noProber) Status(context.Context, lab.Announcement) (lab.MemberStatus, error) {
	return lab.MemberStatus{}, context.DeadlineExceeded
}

func (noProber) Promote(context.Context, lab.Announcement) (lab.MemberStatus, error) {
	return lab.MemberStatus{}, context.DeadlineExceeded
}

// fleet is a control leader with proxies and databases in two regions, connected by encoded messages in memory.
type fleet struct {
	log     *localLog
	server  *labcontrol.Server
	clock   *steppedClock
	proxies []*member
	changes int
}

// member is the control side of one proxy.
type member struct {
	beat   lab.Heartbeat
	routes *lablocalcatalog.Catalog
}

func region(number int) string { return []string{"gulf-coast", "bothnia"}[number%2] }

func databaseName(number int) string { return fmt.Sprintf("rota-core-%d", number) }

func newFleet(ctx context.Context, proxies, databases, organisations int) (*fleet, error) {
	catalog := labcatalog.New()
	f := &fleet{log: &localLog{catalog: catalog}, clock: &steppedClock{}}
	f.server = &labcontrol.Server{
		Log: f.log, Catalog: catalog, Clock: f.clock, Random: labrandom.NewSeeded(1), Prober: noProber{},
		Self: lab.Instance{ID: controlID}, Logger: zerolog.Nop(),
	}
	f.server.Tick(ctx)

	if err := f.populate(proxies, databases); err != nil {
		return nil, err
	}

	for range organisations {
		if err := f.change(); err != nil {
			return nil, err
		}
	}

	f.clock.advance(labcontrol.SettleTime)
	f.server.Tick(ctx)

	return f, nil
}

func (f *fleet) populate(proxies, databases int) error {
	var facts labcatalog.Command

	for i := range proxies {
		p := lab.Instance{
			ID: lab.InstanceID(fmt.Sprintf("proxy-%03d", i)), Incarnation: 1, Region: region(i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%fleetZones), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		facts.JoinedProxies = append(facts.JoinedProxies, p)
		f.proxies = append(f.proxies, &member{beat: lab.Heartbeat{Instance: p}, routes: lablocalcatalog.New()})
	}

	for i := range databases {
		for m := range databaseMembers {
			facts.Announcements = append(facts.Announcements, lab.Announcement{
				Database: databaseName(i), Member: fmt.Sprintf("member-%d", m), Region: region(m / 2),
				Address: fmt.Sprintf("10.%d.%d.%d:5432", 1+m, i/250, i%250), AvailabilityZone: fmt.Sprintf("zone-%d", m),
				Incarnation: 1, Slots: 3, Connections: 25,
			})
		}
	}

	if err := f.propose(&facts); err != nil {
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

// change commits one configuration change, a new organisation with one database.
func (f *fleet) change() error {
	f.changes++

	return f.propose(organisationChange(f.changes, f.changes, 0))
}

func organisationChange(number, organisation int, base uint64) *labcatalog.Command {
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

// cost is what one round of heartbeats of all proxies took.
type cost struct {
	leader      time.Duration // processor time of the leader: decoding, handling, encoding and its ticks
	proxies     time.Duration // processor time of all proxies: encoding, decoding and applying
	leaderBytes int           // batches and their answers
	proxyBytes  int           // heartbeats and their answers
}

func (c *cost) add(o cost) {
	c.leader += o.leader
	c.proxies += o.proxies
	c.leaderBytes += o.leaderBytes
	c.proxyBytes += o.proxyBytes
}

// round sends one heartbeat of every proxy through the relays; the relays' own processor time is not counted.
func (f *fleet) round(ctx context.Context, pause time.Duration) (cost, error) {
	var c cost

	f.clock.advance(pause)

	beats, err := f.send(&c)
	if err != nil {
		return c, err
	}

	batches, err := relayed(beats)
	if err != nil {
		return c, err
	}

	answers, err := f.lead(ctx, &c, batches)
	if err != nil {
		return c, err
	}

	single, err := split(answers)
	if err != nil {
		return c, err
	}

	return c, f.receive(&c, single)
}

func (f *fleet) send(c *cost) ([][]byte, error) {
	begin := processorTime()
	defer func() { c.proxies += processorTime() - begin }()

	var beats [][]byte

	for _, p := range f.proxies {
		p.beat.RequestID++
		_, p.beat.AppliedIndex = p.routes.Version()

		b, err := msgpack.Marshal(&p.beat)
		if err != nil {
			return nil, errors.Newf("encode heartbeat: %w", err)
		}

		c.proxyBytes += len(b)
		beats = append(beats, b)
	}

	return beats, nil
}

// relayed packs heartbeats into one batch for each relay.
func relayed(beats [][]byte) ([][]byte, error) {
	var batches [][]byte

	per := (len(beats) + fleetRelays - 1) / fleetRelays

	for from := 0; from < len(beats); from += per {
		var batch labcontrol.HeartbeatBatch

		for _, b := range beats[from:min(from+per, len(beats))] {
			var h lab.Heartbeat
			if err := msgpack.Unmarshal(b, &h); err != nil {
				return nil, errors.Newf("decode heartbeat: %w", err)
			}

			batch.Heartbeats = append(batch.Heartbeats, h)
		}

		b, err := msgpack.Marshal(&batch)
		if err != nil {
			return nil, errors.Newf("encode batch: %w", err)
		}

		batches = append(batches, b)
	}

	return batches, nil
}

func (f *fleet) lead(ctx context.Context, c *cost, batches [][]byte) ([][]byte, error) {
	begin := processorTime()
	defer func() { c.leader += processorTime() - begin }()

	var answers [][]byte

	for _, b := range batches {
		var batch labcontrol.HeartbeatBatch
		if err := msgpack.Unmarshal(b, &batch); err != nil {
			return nil, errors.Newf("decode batch: %w", err)
		}

		answer, err := f.server.HandleHeartbeatBatch(ctx, controlID, batch)
		if err != nil {
			return nil, err
		}

		a, err := msgpack.Marshal(&answer)
		if err != nil {
			return nil, errors.Newf("encode answers: %w", err)
		}

		c.leaderBytes += len(b) + len(a)
		answers = append(answers, a)
	}

	return answers, nil
}

// split makes the relays' answers to single proxies.
func split(answers [][]byte) ([][]byte, error) {
	var single [][]byte

	for _, b := range answers {
		var batch labcontrol.HeartbeatBatchResponse
		if err := msgpack.Unmarshal(b, &batch); err != nil {
			return nil, errors.Newf("decode answers: %w", err)
		}

		for i := range batch.Responses {
			a := batch.Responses[i]
			a.Delta = batch.Deltas[batch.DeltaIndexes[i]]

			s, err := msgpack.Marshal(&a)
			if err != nil {
				return nil, errors.Newf("encode answer: %w", err)
			}

			single = append(single, s)
		}
	}

	return single, nil
}

func (f *fleet) receive(c *cost, answers [][]byte) error {
	begin := processorTime()
	defer func() { c.proxies += processorTime() - begin }()

	for i, p := range f.proxies {
		var a lab.HeartbeatResponse
		if err := msgpack.Unmarshal(answers[i], &a); err != nil {
			return errors.Newf("decode answer: %w", err)
		}

		if err := p.routes.Apply(a.Delta); err != nil {
			return err
		}

		p.beat.Grants = a.Grants
		c.proxyBytes += len(answers[i])
	}

	return nil
}

// second is one second of the leader and the proxies without changes.
func (f *fleet) second(ctx context.Context) (cost, error) {
	c, err := f.round(ctx, time.Second)
	if err != nil {
		return c, err
	}

	c.leader += f.ticks(ctx, ticksPerSecond)

	return c, nil
}

func (f *fleet) ticks(ctx context.Context, count int) time.Duration {
	begin := processorTime()

	for range count {
		f.server.Tick(ctx) // the clock stands still, so no proxy becomes silent
	}

	return processorTime() - begin
}

// start brings the full catalog and the grants to every proxy. The proxies share one decoded catalog, which would
// otherwise need several gigabytes.
func (f *fleet) start(ctx context.Context) error {
	data, err := msgpack.Marshal(f.server.Catalog.Delta(0))
	if err != nil {
		return errors.Newf("encode catalog: %w", err)
	}

	var full lab.CatalogDelta
	if err := msgpack.Unmarshal(data, &full); err != nil {
		return errors.Newf("decode catalog: %w", err)
	}

	for _, p := range f.proxies {
		if err := p.routes.Apply(full); err != nil {
			return err
		}
	}

	const rounds = 3 // the first grants, the next ones confirm

	for range rounds {
		if _, err := f.second(ctx); err != nil {
			return err
		}
	}

	return f.checkGrants()
}

func (f *fleet) checkGrants() error {
	granted := 0
	for _, p := range f.proxies {
		granted += len(p.beat.Grants)
	}

	if want := 2 * len(f.server.Catalog.Databases()); granted != want {
		return errors.Newf("%d duties are granted instead of %d", granted, want)
	}

	return nil
}
