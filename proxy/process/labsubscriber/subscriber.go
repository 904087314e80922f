package labsubscriber

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const (
	// watchWait is how long the leader holds a watch without news. It is below labsuccession.ReportMaxAge, so that
	// reports of primaries stay valid.
	watchWait = 500 * time.Millisecond
	// watchTimeout bounds a watch: the wait, a round trip between regions and a leader that is busy for a moment.
	watchTimeout = watchWait + 500*time.Millisecond
	retryDelay   = 100 * time.Millisecond
	// maxRedirects is how often a named leader is followed; one that was deposed a moment ago may name the next.
	maxRedirects = 3
	maxDoublings = 3
	// discoverTimeout bounds the first search for the leader: two round trips between regions for a new connection, and
	// an instance that is busy for a moment. It doubles with each search in vain up to discoverLatest, since on a
	// congested link no connection is made within the first.
	discoverTimeout    = 400 * time.Millisecond
	maxDiscoverTimeout = 3 * time.Second
)

// Subscriber asks the control group for changes; exported fields are set before Run.
type Subscriber struct {
	Proxy          lab.Instance
	Peers          lab.PeerClient
	Seeds          func() []string // process addresses of some control instances
	Directory      *labdirectory.Directory
	Configurations lab.ConfigurationReader
	Log            zerolog.Logger

	reportNow chan struct{}
	once      sync.Once
	draining  atomic.Bool

	leader           string
	controlAddresses []string
	leaderEpoch      uint64
	revision         uint64
	proxiesRevision  uint64 // placement that the directory holds
	disconnected     bool
	failedSearches   int // for the leader, in vain since the last answer
}

func (s *Subscriber) prepare() {
	s.once.Do(func() { s.reportNow = make(chan struct{}, 1) })
}

// ReportNow sends a report at once instead of after the current wait.
func (s *Subscriber) ReportNow() {
	s.prepare()

	select {
	case s.reportNow <- struct{}{}:
	default:
	}
}

// AnnounceDraining tells control that this proxy no longer needs connections to members.
func (s *Subscriber) AnnounceDraining() {
	s.draining.Store(true)
	s.ReportNow()
}

// Run asks until the context ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.prepare()

	for ctx.Err() == nil {
		if err := s.watch(ctx); err != nil && ctx.Err() == nil {
			s.recordFailure(err)

			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}

	return nil
}

// recordFailure logs the first failure after a success.
func (s *Subscriber) recordFailure(err error) {
	if !s.disconnected {
		s.Log.Warn().Err(err).Str("leader", s.leader).Msg("control_lost")
	}

	s.disconnected = true
	s.leader = ""
}

var errNoLeader = errors.New("no control instance leads")

// watch watches at the leader, or looks for the leader first.
func (s *Subscriber) watch(ctx context.Context) error {
	if s.leader == "" {
		return s.discover(ctx)
	}

	var a lab.WatchResponse

	interrupted, err := s.callWatch(ctx, s.leader, s.request(watchWait), &a)
	if interrupted {
		return nil
	}

	if err != nil {
		return errors.Newf("watch at %s: %w", s.leader, err)
	}

	if a.Leader != "" {
		return errors.Newf("%s no longer leads", s.leader)
	}

	return s.apply(a)
}

func (s *Subscriber) request(wait time.Duration) lab.WatchRequest {
	return lab.WatchRequest{
		Proxy: s.Proxy, LeaderEpoch: s.leaderEpoch, Revision: s.revision, ProxiesRevision: s.proxiesRevision, ConfigurationVersion: s.Directory.Version(), MaxWait: wait,
		Draining: s.draining.Load(), Primaries: s.Directory.PrimaryReports(),
	}
}

// leaderResponse is an answer of a leader.
type leaderResponse struct {
	address  string
	response lab.WatchResponse
}

// discover asks all known control instances at the same time, since some may not answer for seconds, and takes the
// answer of the one that leads.
func (s *Subscriber) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(discoverTimeout<<s.failedSearches, maxDiscoverTimeout))
	defer cancel()

	s.failedSearches = min(s.failedSearches+1, maxDoublings)

	all := slices.Concat(s.controlAddresses, s.Seeds())
	slices.Sort(all)
	all = slices.Compact(all)

	responses := make(chan *leaderResponse, len(all))
	request := s.request(0)

	for _, c := range all {
		go func() { responses <- s.findLeader(ctx, c, request) }()
	}

	for range all {
		if f := <-responses; f != nil {
			s.leader = f.address

			return s.apply(f.response)
		}
	}

	return errNoLeader
}

// findLeader returns the answer of an instance that leads, or of the leader that it names: the leader need not be among the
// addresses that are known.
func (s *Subscriber) findLeader(ctx context.Context, address string, request lab.WatchRequest) *leaderResponse {
	for range maxRedirects {
		f := &leaderResponse{address: address}

		if err := s.Peers.Call(ctx, address, lab.MethodWatch, request, &f.response); err != nil {
			return nil
		}

		if f.response.Leader == "" {
			return f
		}

		address = string(f.response.Leader)
	}

	return nil
}

// callWatch watches until an answer or a kick.
func (s *Subscriber) callWatch(ctx context.Context, address string, r lab.WatchRequest, a *lab.WatchResponse) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	done := make(chan error, 1)

	go func() { done <- s.Peers.Call(ctx, address, lab.MethodWatch, r, a) }()

	select {
	case err := <-done:
		return false, err
	case <-s.reportNow:
		cancel()

		if err := <-done; err == nil {
			s.Log.Debug().Msg("answer_dropped") // the next watch brings it again
		}

		return true, nil
	}
}

func (s *Subscriber) apply(a lab.WatchResponse) error {
	if s.disconnected {
		s.Log.Info().Str("leader", s.leader).Msg("control_regained")
	}

	s.disconnected, s.failedSearches = false, 0

	if len(a.Configuration) > 0 {
		if err := s.applyConfiguration(a.Configuration); err != nil {
			return errors.Newf("take document from control: %w", err)
		}
	}

	if err := s.applyLists(a); err != nil {
		return errors.Newf("take members from control: %w", err)
	}

	s.leaderEpoch, s.revision, s.controlAddresses = a.LeaderEpoch, a.Revision, a.ControlAddresses

	return nil
}

// applyLists takes over the lists that the answer brings.
func (s *Subscriber) applyLists(a lab.WatchResponse) error {
	if len(a.Proxies) > 0 {
		var p []lab.Instance
		if err := labpack.Decode(a.Proxies, &p); err != nil {
			return err
		}

		s.Directory.SetProxies(p)
		s.proxiesRevision = a.ProxiesRevision
	}

	if len(a.Members) > 0 {
		var l lab.MemberList
		if err := labpack.Decode(a.Members, &l); err != nil {
			return err
		}

		s.Directory.UpdateMembers(l.Members, l.Primaries, a.MembersComplete)
	}

	return nil
}

func (s *Subscriber) applyConfiguration(packed []byte) error {
	b, err := labpack.Unpack(packed)
	if err != nil {
		return err
	}

	d, err := s.Configurations.Read(b)
	if err != nil {
		return err
	}

	s.Directory.Install(d)

	return nil
}
