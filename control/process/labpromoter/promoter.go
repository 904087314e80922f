package labpromoter

import (
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// The times of a promotion.
const (
	// ReachableWait is how long loss reports must last when control still reaches the primary over a new connection.
	ReachableWait = 3 * time.Second
	// SuspectWait is how long control's own probes must fail when the primary's gateway is silent.
	SuspectWait = time.Second
	// RestAfterReinstatement keeps a primary that its gateway can't reach from losing its writes again at once.
	RestAfterReinstatement = 5 * time.Second
	// RechooseAfter is how long the chosen member may be unreachable before another one is chosen.
	RechooseAfter = 3 * time.Second
	// CatchUpWait is how long a successor of a leaving primary may take to catch up.
	CatchUpWait = 5 * time.Second
	// PromoteTimeout bounds one attempt to promote a member.
	PromoteTimeout = 10 * time.Second

	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	shards     = 16
	// concurrent bounds the steps run at once; each reads all members of a database.
	concurrent = 64
)

// Promoter runs the promotions of all databases while this instance leads.
type Promoter struct {
	Catalog     *labcatalog.Catalog
	Prober      lab.Prober
	Clock       lab.Clock
	Random      lab.Random // safe for concurrent use
	Logger      zerolog.Logger
	Propose     func(ctx context.Context, command *labcatalog.Command) (labcatalog.Result, error)
	WritesEnded func(database string) bool // nobody can still hold a right to write
	// Barrier returns once a quorum has confirmed that this instance leads.
	Barrier func(ctx context.Context) error
	// Confirmed returns the log index in force at the only proxy that can write to a database, 0 when it is unknown.
	Confirmed func(database string) uint64

	once  sync.Once
	slots chan struct{}
	last  string // database that Tick started a step for last; used by Tick only
	parts [shards]part
}

type part struct {
	lock    sync.Mutex
	watches map[string]*watch
}

func (p *Promoter) watch(database string) *watch {
	s := &p.parts[xxhash.Sum64String(database)%shards]
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.watches == nil {
		s.watches = map[string]*watch{}
	}
	w := s.watches[database]
	if w == nil {
		w = &watch{losses: map[report]time.Duration{}, stream: map[string]lab.WALPosition{}, statuses: map[string]lab.MemberStatus{}, absent: map[string]time.Duration{}}
		s.watches[database] = w
	}

	return w
}

// Observe takes in a member status reported by a gateway.
func (p *Promoter) Observe(now time.Duration, from lab.InstanceID, status lab.MemberStatus) {
	w := p.watch(status.Database)
	w.observe(now, from, status)
	d, known := p.Catalog.Database(status.Database)
	if !known || !status.Reachable || status.Member != d.Primary {
		return
	}
	m, _ := d.Member(d.Primary)
	if g, _ := d.Placement(m.Region); g.Instance == from {
		w.trust()
	}
}

// Statuses returns the last reported status of each member of a database.
func (p *Promoter) Statuses(database string) map[string]lab.MemberStatus {
	w := p.watch(database)
	w.lock.Lock()
	defer w.lock.Unlock()

	return maps.Clone(w.statuses)
}

// Suspect makes control probe a primary itself, because no gateway has reported on it. The primary is replaced when
// probes fail for the given time and no gateway reports it as reachable meanwhile.
func (p *Promoter) Suspect(database string, wait time.Duration) {
	p.watch(database).suspect(wait)
}

// Tick starts the steps that are due and returns without waiting for them. It begins after the last database that it
// started a step for; otherwise many databases whose steps take long would keep later ones from ever getting a slot.
func (p *Promoter) Tick(ctx context.Context, now time.Duration) {
	p.once.Do(func() { p.slots = make(chan struct{}, concurrent) })
	names := p.Catalog.Databases()
	first := sort.SearchStrings(names, p.last+"\x00")
	for _, n := range append(names[first:len(names):len(names)], names[:first]...) {
		if !p.due(now, n) {
			continue
		}
		w := p.watch(n)
		if !w.begin(now) {
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			w.end()

			return
		}
		p.last = n
		go func() {
			defer func() { <-p.slots }()
			p.run(ctx, now, n)
		}()
	}
}

// due reports whether a database may need a step, without any I/O.
func (p *Promoter) due(now time.Duration, database string) bool {
	d, known := p.Catalog.Database(database)
	if !known {
		return false
	}
	if _, running := p.Catalog.Promotion(database); running || len(d.History) == 0 {
		return true
	}

	return p.reason(now, d) != "" || p.tending(d)
}

// run takes steps until one doesn't make progress, and schedules the next try.
func (p *Promoter) run(ctx context.Context, now time.Duration, database string) {
	w := p.watch(database)
	for {
		progress, err := p.Step(ctx, now, database)
		if err != nil {
			p.Logger.Warn().Str("event", "promotion_step").Str("database", database).Err(err).Send()
		}
		if progress && err == nil && ctx.Err() == nil {
			w.settle(now, 0, false)

			continue
		}
		w.settle(p.Clock.Now(), p.jitter(w.failures()), err != nil) // a step may take longer than the backoff
		w.end()

		return
	}
}

// jitter returns the backoff after a number of failures, spread over its upper half.
func (p *Promoter) jitter(failed int) time.Duration {
	d := min(backoffMin<<min(failed, 8), backoffMax)

	return d/2 + time.Duration(p.Random.Uint64()%uint64(d/2))
}

// Step takes at most one committed step of a database and reports whether it committed one.
func (p *Promoter) Step(ctx context.Context, now time.Duration, database string) (bool, error) {
	d, known := p.Catalog.Database(database)
	if !known {
		return false, nil
	}
	promotion, running := p.Catalog.Promotion(database)
	switch {
	case len(d.History) == 0:
		return p.bootstrap(ctx, d)
	case !running:
		return p.start(ctx, now, d)
	case promotion.Chosen == "":
		return p.choose(ctx, now, d, promotion)
	}

	return p.promote(ctx, now, d, promotion)
}

// propose commits a step.
func (p *Promoter) propose(ctx context.Context, command *labcatalog.Command) (bool, error) {
	result, err := p.Propose(ctx, command)
	if err != nil {
		return false, errors.Newf("propose promotion step: %w", err)
	}
	if result.Err != nil {
		return false, errors.Newf("apply promotion step: %w", result.Err)
	}

	return true, nil
}
