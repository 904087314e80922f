package labsubscriber

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
	"laburnumlock.dev/lab/proxy/process/lableaderclock"
)

const (
	// watchWait is how long the leader waits for a change before it responds to a watch request. Each request carries
	// the reports on primaries. The control group ignores reports older than labfailover.ReportMaxAge; watchWait is
	// shorter, so that the next request renews the reports in time.
	watchWait = 500 * time.Millisecond
	// watchTimeout bounds a watch request. It covers watchWait, a round trip between regions and a leader that is briefly
	// busy.
	watchTimeout = watchWait + 500*time.Millisecond
	retryDelay   = 100 * time.Millisecond // pause after a failed watch request or search for the leader
	// maxLeaderRequests bounds the requests that findLeader sends. Each but the first goes to the instance that the
	// previous response named as the leader. An instance that has just lost the leadership names the next leader.
	maxLeaderRequests = 3
	maxDoublings      = 3 // bounds the doublings of discoverTimeout
	// discoverTimeout bounds the first search for the leader. It covers two round trips between regions for a new
	// connection, and an instance that is briefly busy. The timeout doubles with each failed search up to
	// maxDiscoverTimeout, since on a congested link no connection is established within discoverTimeout.
	discoverTimeout    = 400 * time.Millisecond
	maxDiscoverTimeout = 3 * time.Second
)

// Subscriber watches the control group for changes; exported fields are set before Run.
type Subscriber struct {
	Proxy               lab.Instance
	Peers               lab.PeerClient
	Seeds               func() []string // returns the process addresses of some control instances
	Directory           *labdirectory.Directory
	ConfigurationReader lab.ConfigurationReader
	Clock               lab.Clock
	Log                 zerolog.Logger

	reportNow chan struct{} // holds one element when the current watch must be interrupted
	once      sync.Once
	draining  atomic.Bool

	leader           string   // process address of the leader, empty while it is unknown
	controlAddresses []string // process addresses of the control instances in the last response
	leaderEpoch      uint64   // leader epoch of the last response
	membersRevision  uint64   // revision of the list of members in the directory, assigned by the leader of leaderEpoch
	proxiesRevision  uint64   // revision of the list of proxies in the directory
	disconnected     bool     // whether the last watch failed
	failedSearches   int      // number of failed searches for the leader since the last response
	leaderClock      lableaderclock.Clock
}

func (s *Subscriber) prepare() {
	s.once.Do(func() { s.reportNow = make(chan struct{}, 1) })
}

// ReportNow interrupts the current watch request. The next request follows at once and carries the current reports.
func (s *Subscriber) ReportNow() {
	s.prepare()

	select {
	case s.reportNow <- struct{}{}:
	default:
	}
}

// AnnounceDraining reports to the control group that this proxy no longer needs connections to members.
func (s *Subscriber) AnnounceDraining() {
	s.draining.Store(true)
	s.ReportNow()
}

// Run watches until the context ends.
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

// recordFailure logs the first failure after a success, and makes the next watch search for the leader.
func (s *Subscriber) recordFailure(err error) {
	if !s.disconnected {
		s.Log.Warn().Err(err).Str("leader", s.leader).Msg("control_lost")
	}

	s.disconnected = true
	s.leader = ""
}

var errNoLeader = errors.New("no leader found among the control instances")

// watch sends one watch request to the leader and applies the response. If the leader is unknown, it searches for it.
func (s *Subscriber) watch(ctx context.Context) error {
	if s.leader == "" {
		return s.discover(ctx)
	}

	var a lab.WatchResponse

	sentAt := s.Clock.Now()

	interrupted, err := s.callWatch(ctx, s.leader, s.request(watchWait), &a)
	if interrupted {
		return nil
	}

	if err != nil {
		return errors.Newf("watch at %s: %w", s.leader, err)
	}

	if a.Leader != "" {
		return errors.Newf("%s is no longer the leader", s.leader)
	}

	return s.apply(a, sentAt)
}

func (s *Subscriber) request(wait time.Duration) lab.WatchRequest {
	return lab.WatchRequest{
		Proxy: s.Proxy, LeaderEpoch: s.leaderEpoch, MembersRevision: s.membersRevision, ProxiesRevision: s.proxiesRevision,
		ConfigurationVersion: s.Directory.Version(), MaxWait: wait,
		Draining: s.draining.Load(), Primaries: s.Directory.PrimaryReports(), Positions: s.positionReports(),
	}
}

// positionReports returns the observed positions with their times on the leader's clock.
func (s *Subscriber) positionReports() []lab.PositionReport {
	var out []lab.PositionReport

	for _, p := range s.Directory.ObservedPositions() {
		if t, ok := s.leaderClock.ToLeader(s.leaderEpoch, p.RequestedAt); ok {
			p.RequestedAt = t
			out = append(out, p)
		}
	}

	return out
}

// leaderResponse is the response of a leader to a watch request.
type leaderResponse struct {
	address  string
	sentAt   time.Duration // time at which the request was sent
	response lab.WatchResponse
}

// discover searches for the leader: it sends a request to all known control instances and applies the response of the
// leader. It sends the requests concurrently, since some instances may not respond for seconds.
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

			return s.apply(f.response, f.sentAt)
		}
	}

	return errNoLeader
}

// findLeader sends the request to the instance at the address. An instance that isn't the leader responds with the
// leader's address, and findLeader sends the request there. It sends at most maxLeaderRequests requests. It returns the
// leader's response, or nil if it found no leader. The leader need not be among the known control instances.
func (s *Subscriber) findLeader(ctx context.Context, address string, request lab.WatchRequest) *leaderResponse {
	for range maxLeaderRequests {
		f := &leaderResponse{address: address, sentAt: s.Clock.Now()}

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

// callWatch sends a watch request. It returns true when ReportNow interrupted the request before the response arrived.
func (s *Subscriber) callWatch(
	ctx context.Context, address string, r lab.WatchRequest, a *lab.WatchResponse,
) (bool, error) {
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
			// The response arrived despite the interruption. The next one contains the same changes.
			s.Log.Debug().Msg("answer_dropped")
		}

		return true, nil
	}
}

// apply applies a leader's response to a request sent at the given time to the directory.
func (s *Subscriber) apply(a lab.WatchResponse, sentAt time.Duration) error {
	if s.disconnected {
		s.Log.Info().Str("leader", s.leader).Msg("control_regained")
	}

	s.disconnected, s.failedSearches = false, 0

	if len(a.Configuration) > 0 {
		if err := s.applyConfiguration(a.Configuration); err != nil {
			return errors.Newf("apply configuration from the control group: %w", err)
		}
	}

	if err := s.applyLists(a); err != nil {
		return errors.Newf("apply members and proxies from the control group: %w", err)
	}

	s.leaderEpoch, s.membersRevision, s.controlAddresses = a.LeaderEpoch, a.MembersRevision, a.ControlAddresses
	s.leaderClock.RecordExchange(a.LeaderEpoch, sentAt, a.ReceivedAt, a.SentAt, s.Clock.Now())
	s.recordPositions(a.Positions)

	return nil
}

func (s *Subscriber) recordPositions(positions []lab.PositionReport) {
	for _, p := range positions {
		if at, ok := s.leaderClock.ToLocal(s.leaderEpoch, p.RequestedAt); ok {
			s.Directory.PrimaryHistory(p.Service).Record(at, p.Position)
		}
	}
}

// applyLists applies the lists of proxies and members in a response.
func (s *Subscriber) applyLists(a lab.WatchResponse) error {
	if len(a.Proxies) > 0 {
		var p []lab.Instance
		if err := labpack.Decode(a.Proxies, &p); err != nil {
			return err
		}

		s.Directory.SetProxies(p)
		s.proxiesRevision = a.ProxiesRevision
	}

	if len(a.ProxyChanges) > 0 {
		var c lab.ProxyChanges
		if err := labpack.Decode(a.ProxyChanges, &c); err != nil {
			return err
		}

		s.Directory.SetProxies(changedProxies(s.Directory.Proxies(), c))
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

// changedProxies returns the list of proxies after the changes, sorted by name like the list of the leader.
func changedProxies(list []lab.Instance, c lab.ProxyChanges) []lab.Instance {
	replaced := map[lab.InstanceID]bool{}

	for _, id := range c.Removed {
		replaced[id] = true
	}

	for _, p := range c.Set {
		replaced[p.ID] = true
	}

	out := slices.DeleteFunc(slices.Clone(list), func(p lab.Instance) bool { return replaced[p.ID] })
	out = append(out, c.Set...)

	slices.SortFunc(out, func(a, b lab.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })

	return out
}

func (s *Subscriber) applyConfiguration(packed []byte) error {
	b, err := labpack.Unpack(packed)
	if err != nil {
		return err
	}

	d, err := s.ConfigurationReader.Read(b)
	if err != nil {
		return err
	}

	s.Directory.Install(d)

	return nil
}
