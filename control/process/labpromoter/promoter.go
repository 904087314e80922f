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
	// ReachableLossDelay is how long loss reports must last when control still reaches the primary over a new connection.
	ReachableLossDelay = 3 * time.Second
	// SuspectProbeDuration is how long control's own probes must fail when the primary's gateway is silent.
	SuspectProbeDuration = time.Second
	// ReinstatementCooldown keeps a primary that its gateway can't reach from losing its writes again at once.
	ReinstatementCooldown = 5 * time.Second
	// RechooseAfter is how long the chosen member may be unreachable before another one is chosen.
	RechooseAfter = 3 * time.Second
	// CatchUpTimeout is how long a successor of a leaving primary may take to catch up.
	CatchUpTimeout = 5 * time.Second
	// PromoteTimeout bounds one attempt to promote a member.
	PromoteTimeout = 10 * time.Second

	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	shardCount = 16
	// maxConcurrentSteps bounds the steps run at once; each reads all members of a database.
	maxConcurrentSteps = 64
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
	// WriterAppliedIndex returns the log index in force at the only proxy that can write to a database, 0 when it is unknown.
	WriterAppliedIndex func(database string) uint64

	once        sync.Once
	slots       chan struct{}
	lastStarted string // database that Tick started a step for last; used by Tick only
	shards      [shardCount]stateShard
}

type stateShard struct {
	lock   sync.Mutex
	states map[string]*databaseState
}

func (p *Promoter) state(database string) *databaseState {
	s := &p.shards[xxhash.Sum64String(database)%shardCount]
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.states == nil {
		s.states = map[string]*databaseState{}
	}
	w := s.states[database]
	if w == nil {
		w = &databaseState{lossReports: map[lossReport]time.Duration{}, streamPositions: map[string]lab.WALPosition{}, statuses: map[string]lab.MemberStatus{}, unreachableSince: map[string]time.Duration{}}
		s.states[database] = w
	}

	return w
}

// Observe takes in a member status reported by a gateway.
func (p *Promoter) Observe(now time.Duration, from lab.InstanceID, status lab.MemberStatus) {
	w := p.state(status.Database)
	w.observe(now, from, status)
	d, known := p.Catalog.Database(status.Database)
	if !known || !status.Reachable || status.Member != d.Primary {
		return
	}
	m, _ := d.Member(d.Primary)
	if g, _ := d.Placement(m.Region); g.Instance == from {
		w.clearSuspicion()
	}
}

// Statuses returns the last reported status of each member of a database.
func (p *Promoter) Statuses(database string) map[string]lab.MemberStatus {
	w := p.state(database)
	w.lock.Lock()
	defer w.lock.Unlock()

	return maps.Clone(w.statuses)
}

// Suspect makes control probe a primary itself, because no gateway has reported on it. The primary is replaced when
// probes fail for the given time and no gateway reports it as reachable meanwhile.
func (p *Promoter) Suspect(database string, wait time.Duration) {
	p.state(database).suspect(wait)
}

// Tick starts the steps that are due and returns without waiting for them. It begins after the last database that it
// started a step for; otherwise many databases whose steps take long would keep later ones from ever getting a slot.
func (p *Promoter) Tick(ctx context.Context, now time.Duration) {
	p.once.Do(func() { p.slots = make(chan struct{}, maxConcurrentSteps) })
	names := p.Catalog.Databases()
	first := sort.SearchStrings(names, p.lastStarted+"\x00")
	for _, n := range append(names[first:len(names):len(names)], names[:first]...) {
		if !p.mayNeedStep(now, n) {
			continue
		}
		w := p.state(n)
		if !w.beginStep(now) {
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			w.endStep()

			return
		}
		p.lastStarted = n
		go func() {
			defer func() { <-p.slots }()
			p.run(ctx, now, n)
		}()
	}
}

// mayNeedStep reports whether a database may need a step, without any I/O.
func (p *Promoter) mayNeedStep(now time.Duration, database string) bool {
	d, known := p.Catalog.Database(database)
	if !known {
		return false
	}
	if _, running := p.Catalog.Promotion(database); running || len(d.History) == 0 {
		return true
	}

	return p.reason(now, d) != "" || p.mayRemoveMember(d)
}

// run takes steps until one doesn't make progress, and schedules the next try.
func (p *Promoter) run(ctx context.Context, now time.Duration, database string) {
	w := p.state(database)
	for {
		progress, err := p.Step(ctx, now, database)
		if err != nil {
			p.Logger.Warn().Str("event", "promotion_step").Str("database", database).Err(err).Send()
		}
		if progress && err == nil && ctx.Err() == nil {
			w.recordStep(now, 0, false)

			continue
		}
		w.recordStep(p.Clock.Now(), p.backoff(w.failures()), err != nil) // a step may take longer than the backoff
		w.endStep()

		return
	}
}

// backoff returns the backoff after a number of failures, spread over its upper half.
func (p *Promoter) backoff(failed int) time.Duration {
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
