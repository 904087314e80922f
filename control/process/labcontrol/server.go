package labcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/lablease"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// Timing of the control process.
const (
	// ProxyTimeout is how long a proxy may send no heartbeat before control considers it stopped.
	ProxyTimeout = 5 * time.Second
	// SettleTime is how long a new leader collects heartbeats before it places gateway roles, so that the roles are
	// distributed evenly over the proxies.
	SettleTime = time.Second
	// TickInterval is the time between two checks of proxies, placements and promotions.
	TickInterval = 100 * time.Millisecond
	// PendingDelay is the delay until the next heartbeat of a proxy for which a change is pending.
	PendingDelay = 50 * time.Millisecond
	// proposeTimeout bounds the commit of one command.
	proposeTimeout = 3 * time.Second
)

// Server makes the decisions of a control instance. Its exported fields are set before Run or any handler is called.
type Server struct {
	Log          lab.ReplicatedLog
	Group        Group
	Catalog      *labcatalog.Catalog
	Clock        lab.Clock
	Random       lab.Random // must be safe for concurrent use
	Prober       lab.Prober
	Peers        lab.PeerClient
	Self         lab.Instance
	Addresses    map[lab.InstanceID]string // transport addresses of the control instances
	OperatorURLs map[lab.InstanceID]string // base URLs of the control instances' operator API
	Logger       zerolog.Logger

	leadership     atomic.Pointer[leadership]
	leadershipLock sync.Mutex // held while the state of a new leadership is created
	relay          relay
}

// leadership is the leader's state in memory. Each leadership begins with an empty state.
type leadership struct {
	term         uint64        // consensus term
	startedAt    time.Duration // time of the election on this instance's clock
	leases       *lablease.Table
	promoter     *labpromoter.Promoter
	heartbeats   heartbeatSummaries
	plannedIndex uint64 // applied index at which planning found nothing to change; used by Tick only
}

// Run calls Tick every TickInterval until the context ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		s.Tick(ctx)
		if err := s.Clock.Sleep(ctx, TickInterval); err != nil {
			return errors.Newf("wait for next tick: %w", err)
		}
	}
}

// Tick checks proxies, placements and promotions once if this instance leads.
func (s *Server) Tick(ctx context.Context) {
	l := s.currentLeadership()
	if l == nil {
		return
	}
	s.checkSilentProxies(ctx, l)
	s.updatePlacements(ctx, l)
	l.promoter.Tick(ctx, s.Clock.Now())
}

// currentLeadership returns the state of this instance's leadership, or nil if it doesn't lead.
func (s *Server) currentLeadership() *leadership {
	v := s.Log.Leadership()
	if !v.IsLeader {
		s.leadership.Store(nil)

		return nil
	}
	if l := s.leadership.Load(); l != nil && l.term == v.Term {
		return l
	}
	s.leadershipLock.Lock()
	defer s.leadershipLock.Unlock()
	if l := s.leadership.Load(); l != nil && l.term >= v.Term {
		return l
	}
	l := &leadership{term: v.Term, startedAt: v.Since, leases: lablease.New(v.Since)}
	l.promoter = &labpromoter.Promoter{
		Catalog: s.Catalog, Prober: s.Prober, Clock: s.Clock, Random: s.Random, Logger: s.Logger, Propose: s.propose,
		Barrier:     s.Log.Barrier,
		WritesEnded: func(database string) bool { return l.leases.WritesEnded(s.Clock.Now(), database) },
	}
	l.promoter.WriterAppliedIndex = func(database string) uint64 {
		w, ok := l.leases.Writer(s.Clock.Now(), database)
		last := l.heartbeats.last(w.Holder)
		if !ok || last.incarnation != w.Incarnation {
			return 0
		}

		return last.appliedIndex
	}
	for _, n := range s.Catalog.Databases() {
		// Suspects every primary, because proxies that reported a loss to the former leader may not report it again.
		l.promoter.Suspect(n, labpromoter.ReachableLossDelay)
	}
	s.leadership.Store(l)
	s.Logger.Info().Str("event", "leadership_began").Uint64("term", v.Term).Send()

	return l
}

// propose commits a command and returns its result.
func (s *Server) propose(ctx context.Context, command *labcatalog.Command) (labcatalog.Result, error) {
	command.ProposedAt = s.Clock.Wall().UnixMilli()
	data, err := command.Encode()
	if err != nil {
		return labcatalog.Result{}, errors.Newf("propose: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	applied, err := s.Log.Propose(ctx, data)
	if err != nil {
		return labcatalog.Result{}, errors.Newf("propose: %w", err)
	}
	result, ok := applied.(labcatalog.Result)
	if !ok {
		return labcatalog.Result{}, errors.Newf("propose: unexpected result %T", applied)
	}

	return result, nil
}
