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

// Durations that control promotions.
const (
	// ReachableLossDelay is how long the primary must be reported as unreachable before a promotion starts. It applies
	// while control can still connect to the primary.
	ReachableLossDelay = 3 * time.Second
	// SuspectProbeDuration is how long control's own probes of the primary must fail before a promotion starts. It
	// applies while the primary's gateway sends no heartbeats.
	SuspectProbeDuration = time.Second
	// ReinstatementCooldown is how long no promotion starts after a primary was reinstated. Without it, writes to a
	// primary that its gateway can't reach would be ended again at once.
	ReinstatementCooldown = 5 * time.Second
	// RechooseAfter is how long the chosen member may be unreachable before another one is chosen.
	RechooseAfter = 3 * time.Second
	// CatchUpTimeout is how long a promotion waits until a member that is not leaving has caught up with a leaving one.
	CatchUpTimeout = 5 * time.Second
	// PromoteTimeout bounds one attempt to promote a member.
	PromoteTimeout = 10 * time.Second

	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
	shardCount = 16
	// maxConcurrentSteps bounds the steps that run at the same time. Each step may connect to all members of a
	// database.
	maxConcurrentSteps = 64
)

// Promoter runs the promotions of all databases while this control instance is the leader.
type Promoter struct {
	Catalog *labcatalog.Catalog
	Prober  lab.Prober
	Clock   lab.Clock
	Random  lab.Random // must be safe for concurrent use
	Logger  zerolog.Logger
	Propose func(ctx context.Context, command *labcatalog.Command) (labcatalog.Result, error)
	// WritesEnded reports whether no proxy can still hold a writable grant of a database.
	WritesEnded func(database string) bool
	// Barrier returns once a quorum has confirmed that this instance is the leader.
	Barrier func(ctx context.Context) error
	// WriterAppliedIndex returns the applied index of the only proxy that can write to a database, 0 if unknown.
	WriterAppliedIndex func(database string) uint64

	once        sync.Once
	slots       chan struct{} // limits the steps that run at the same time
	lastStarted string        // database for which Tick last started a step; used by Tick only
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

// Observe records a member status that a gateway reported.
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

// Statuses returns the last reported status of each member of a database, by member.
func (p *Promoter) Statuses(database string) map[string]lab.MemberStatus {
	w := p.state(database)
	w.lock.Lock()
	defer w.lock.Unlock()

	return maps.Clone(w.statuses)
}

// Suspect makes control probe the primary of a database itself, because no gateway has reported on it. The primary is
// replaced if the probes fail for the given duration and no gateway reports it as reachable in the meantime.
func (p *Promoter) Suspect(database string, wait time.Duration) {
	p.state(database).suspect(wait)
}

// Tick starts the steps that are due and returns without waiting for them. It continues with the database after the
// last one for which it started a step. If it always began with the first database, many databases with slow steps
// could keep later ones from ever getting a slot.
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

// mayNeedStep reports whether a database may need a step. It performs no I/O.
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

// run performs steps of a database until one makes no progress, and schedules the next attempt.
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
		// The backoff begins at the end of the step, since a step may take longer than the backoff.
		w.recordStep(p.Clock.Now(), p.backoff(w.failures()), err != nil)
		w.endStep()

		return
	}
}

// backoff returns the delay after a number of consecutive failures. The upper limit of the delay grows exponentially;
// the delay is a random value between half of the limit and the limit.
func (p *Promoter) backoff(failed int) time.Duration {
	d := min(backoffMin<<min(failed, 8), backoffMax)

	return d/2 + time.Duration(p.Random.Uint64()%uint64(d/2))
}

// Step performs at most one step of a database and reports whether it committed a command.
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

// propose commits the command of a step.
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
