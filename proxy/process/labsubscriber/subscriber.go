package labsubscriber

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labbounds"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/process/labpeerclock"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const (
	// watchWait is how long the leader waits for a change before it responds to a watch request. Each request carries
	// the reports on primaries. The control group ignores reports older than labfailover.ReportMaxAge; watchWait is
	// shorter, so that the next request renews the reports in time.
	watchWait = 500 * time.Millisecond
	// watchTimeout bounds a watch request. It covers watchWait, a round trip between regions and a leader that is briefly
	// busy.
	watchTimeout = watchWait + 500*time.Millisecond
	// retryDelay is the mean pause after a failed watch or search, and before the first one. The pauses vary by half of it
	// in both directions: after a power loss, hundreds of proxies start within milliseconds.
	retryDelay = 100 * time.Millisecond
	// maxRedirects bounds the requests that ask sends. Each but the first goes to the instance that the previous response
	// named as the leader. An instance that has just lost the leadership names the next leader.
	maxRedirects = 3
	maxDoublings = 3 // bounds the doublings of discoverTimeout
	// discoverSpacing is the time after which a search asks another instance: several round trips between regions, so that
	// an instance that is busy with handshakes can answer.
	discoverSpacing = 250 * time.Millisecond
	// avoidDuration is how long other instances are preferred after an instance has failed to answer.
	avoidDuration = 3 * time.Second
	// discoverTimeout bounds the first search for an instance. It covers two round trips between regions for a new
	// connection, and an instance that is briefly busy. The timeout doubles with each failed search up to
	// maxDiscoverTimeout, since on a congested link no connection is established within discoverTimeout.
	discoverTimeout    = 400 * time.Millisecond
	maxDiscoverTimeout = 3 * time.Second
)

// Subscriber watches the control group for changes, at the instance in its availability zone if there is one; exported
// fields are set before Run.
type Subscriber struct {
	Proxy               lab.Instance
	Peers               lab.PeerClient
	Seeds               func() []string // returns the process addresses of some control instances
	Directory           *labdirectory.Directory
	ConfigurationReader lab.ConfigurationReader
	RegionByZone        map[string]string // name of the region by availability zone
	Clock               lab.Clock
	Random              lab.Random
	Log                 zerolog.Logger

	reportNow chan struct{} // holds one element when the current watch must be interrupted
	once      sync.Once
	draining  atomic.Bool

	current          string                   // process address of the control instance that answered last, empty after a failure
	controlAddresses []string                 // process addresses of the control instances in the last response
	zones            map[string]string        // availability zones of control instances by address, where known
	failedAt         map[string]time.Duration // by address, the time of the last failure
	leaderEpoch      uint64                   // leader epoch of the last response
	membersRevision  uint64                   // revision of the list of members in the directory
	membersComplete  bool                     // whether members that are not in listed have been removed from the directory
	listed           map[string]bool          // names of the members in the list that have not ended
	proxiesRevision  uint64                   // revision of the list of proxies in the directory
	disconnected     bool                     // whether the last watch failed
	failedSearches   int                      // number of failed searches since the last response
	controlClock     labpeerclock.Clock       // clock of the instance that answered last
	bounds           labbounds.Sender         // acknowledged positions that the current instance has learned
}

func (s *Subscriber) prepare() {
	s.once.Do(func() {
		s.reportNow = make(chan struct{}, 1)
		s.zones, s.failedAt = map[string]string{}, map[string]time.Duration{}
	})
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
	s.pause(ctx)

	for ctx.Err() == nil {
		if err := s.watch(ctx); err != nil && ctx.Err() == nil {
			s.recordFailure(err)
			s.pause(ctx)
		}
	}

	return nil
}

// pause waits for retryDelay, varied by half of it in both directions.
func (s *Subscriber) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay/2 + time.Duration(s.Random.Uint64()%uint64(retryDelay))):
	}
}

// recordFailure logs the first failure after a success, and makes the next watch search for the leader.
func (s *Subscriber) recordFailure(err error) {
	if !s.disconnected {
		s.Log.Warn().Err(err).Str("control", s.current).Msg("control_lost")
	}

	s.disconnected = true
	s.bounds.Reset()

	if s.current != "" {
		s.failedAt[s.current] = s.Clock.Now()
		s.current = ""
	}
}

var errNoInstance = errors.New("no control instance answers")

// watch sends one watch request to the current control instance and applies the response. If there is none, it searches
// for one.
func (s *Subscriber) watch(ctx context.Context) error {
	s.preferNearest()

	if s.current == "" {
		return s.discover(ctx)
	}

	var a lab.WatchResponse

	sentAt, r := s.Clock.Now(), s.request(s.wait())

	interrupted, err := s.callWatch(ctx, s.current, r, &a)
	if interrupted {
		return nil
	}

	if err != nil {
		return errors.Newf("watch at %s: %w", s.current, err)
	}

	if a.Leader != "" {
		return errors.Newf("%s can't answer", s.current)
	}

	s.bounds.RecordResponse(a.ClockEpoch, a.LeaderEpoch, r.Acknowledged)

	return s.apply(a, sentAt)
}

// preferNearest leaves the current control instance for a nearer one that has not failed recently.
func (s *Subscriber) preferNearest() {
	if s.current == "" {
		return
	}

	if c := s.instances(); len(c) > 0 && s.distance(c[0]) < s.distance(s.current) && !s.failedRecently(c[0]) {
		s.current = c[0]
		s.bounds.Reset()
	}
}

// instances returns the known control instances, the nearest first. Those at the same distance are in an order that
// differs between proxies, which spreads the proxies of a zone without a control instance.
func (s *Subscriber) instances() []string {
	all := slices.Concat(s.controlAddresses, s.Seeds())
	slices.Sort(all)
	all = slices.Compact(all)

	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(s.distance(a), s.distance(b)),
			cmp.Compare(xxhash.Sum64String(string(s.Proxy.ID)+a), xxhash.Sum64String(string(s.Proxy.ID)+b)),
		)
	})

	return all
}

// distance returns 0 for an instance in this proxy's availability zone, 1 for one in its region and 2 for any other. An
// instance whose zone is unknown, such as a seed before the first response, may be anywhere.
func (s *Subscriber) distance(address string) int {
	z := s.zones[address]

	switch {
	case z == "":
		return 2
	case z == s.Proxy.AvailabilityZone:
		return 0
	case s.RegionByZone[z] == s.Proxy.Region:
		return 1
	}

	return 2
}

func (s *Subscriber) failedRecently(address string) bool {
	t, ok := s.failedAt[address]

	return ok && s.Clock.Now()-t < avoidDuration
}

func (s *Subscriber) request(wait time.Duration) lab.WatchRequest {
	return lab.WatchRequest{
		Proxy: s.Proxy, LeaderEpoch: s.leaderEpoch, MembersRevision: s.membersRevision, ProxiesRevision: s.proxiesRevision,
		AcceptsChanges:       true,
		ConfigurationVersion: s.Directory.Version(), MaxWait: wait,
		Draining: s.draining.Load(), Primaries: s.Directory.PrimaryReports(),
		Positions: s.positionReports(), ClockEpoch: s.controlClock.Epoch(),
		Acknowledged: s.bounds.Changed(s.Directory.AcknowledgedPositions()),
		Permissions:  s.Directory.Permissions().Report(),
	}
}

// wait returns how long the next watch may wait for a change. It ends early when the report on permissions changes.
func (s *Subscriber) wait() time.Duration {
	if d, ok := s.Directory.Permissions().DrainsIn(); ok {
		return min(d, watchWait)
	}

	return watchWait
}

// positionReports returns the observed positions with their times on the clock of the instance that answered last.
func (s *Subscriber) positionReports() []lab.PositionReport {
	var out []lab.PositionReport

	for _, p := range s.Directory.ObservedPositions() {
		if t, ok := s.controlClock.ToPeer(p.RequestedAt); ok {
			p.RequestedAt = t
			out = append(out, p)
		}
	}

	return out
}

// instanceResponse is the response of a control instance to a watch request.
type instanceResponse struct {
	address  string
	sentAt   time.Duration // time at which the request was sent
	response lab.WatchResponse
}

// discover searches for a control instance that answers and applies its response. It asks the nearest one first and
// another one after each discoverSpacing, since some may not respond for seconds. Hundreds of proxies that ask all
// instances at once, after each change of the leader, would overload the next one.
func (s *Subscriber) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(discoverTimeout<<s.failedSearches, maxDiscoverTimeout))
	defer cancel()

	s.failedSearches = min(s.failedSearches+1, maxDoublings)

	all := s.instances()
	// Instances that have failed recently come last.
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(boolBit(s.failedRecently(a)), boolBit(s.failedRecently(b)))
	})

	responses := make(chan *instanceResponse, len(all))
	request := s.request(0)
	next := time.NewTimer(0)

	defer next.Stop()

	for asked, answered := 0, 0; answered < len(all); {
		select {
		case <-next.C:
			if asked < len(all) {
				go func(address string) { responses <- s.ask(ctx, address, request) }(all[asked])

				asked++

				next.Reset(discoverSpacing)
			}
		case f := <-responses:
			if f != nil {
				s.current = f.address
				s.bounds.RecordResponse(f.response.ClockEpoch, f.response.LeaderEpoch, request.Acknowledged)

				return s.apply(f.response, f.sentAt)
			}

			answered++

			next.Reset(0)
		}
	}

	return errNoInstance
}

func boolBit(b bool) int {
	if b {
		return 1
	}

	return 0
}

// ask sends the request to the instance at the address. An instance that can't answer may respond with the leader's
// address, and ask sends the request there. It sends at most maxRedirects requests. It returns the response, or nil if
// no instance answered. The leader need not be among the known control instances.
func (s *Subscriber) ask(ctx context.Context, address string, request lab.WatchRequest) *instanceResponse {
	for range maxRedirects {
		f := &instanceResponse{address: address, sentAt: s.Clock.Now()}

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

// apply applies the response to a request sent at the given time to the directory.
func (s *Subscriber) apply(a lab.WatchResponse, sentAt time.Duration) error {
	if s.disconnected {
		s.Log.Info().Str("control", s.current).Msg("control_regained")
	}

	s.disconnected, s.failedSearches = false, 0
	// A configuration that can't be applied must not end the permissions to commit.
	s.Directory.UpdatePermissions(a.Permissions, sentAt)

	if len(a.Configuration) > 0 {
		if err := s.applyConfiguration(a.Configuration); err != nil {
			return errors.Newf("apply configuration from the control group: %w", err)
		}
	}

	if err := s.applyLists(a); err != nil {
		return errors.Newf("apply members and proxies from the control group: %w", err)
	}

	s.leaderEpoch, s.controlAddresses = a.LeaderEpoch, a.ControlAddresses
	s.controlClock.RecordExchange(a.ClockEpoch, sentAt, a.ReceivedAt, a.SentAt, s.Clock.Now())
	if len(a.PackedPositions) > 0 {
		if err := labpack.Decode(a.PackedPositions, &a.Positions); err != nil {
			return errors.Newf("read positions from the control group: %w", err)
		}
	}

	s.recordPositions(a.Positions)
	s.Directory.UpdateLeaving(a.Leaving)

	for i, z := range a.ControlZones {
		if z != "" && i < len(a.ControlAddresses) {
			s.zones[a.ControlAddresses[i]] = z
		}
	}

	return nil
}

func (s *Subscriber) recordPositions(positions []lab.PositionReport) {
	for _, p := range positions {
		if at, ok := s.controlClock.ToLocal(p.RequestedAt); ok {
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
		return s.applyMembers(a)
	}

	if len(a.MemberChanges) > 0 {
		return s.applyMemberChanges(a)
	}

	return nil
}

// applyMembers applies the whole list of members in a response.
func (s *Subscriber) applyMembers(a lab.WatchResponse) error {
	var l lab.MemberList
	if err := labpack.Decode(a.Members, &l); err != nil {
		return err
	}

	s.Directory.UpdateMembers(l.Members, l.Primaries, a.MembersComplete)

	s.listed = map[string]bool{}
	s.list(l.Members)
	s.membersRevision, s.membersComplete = a.MembersRevision, a.MembersComplete

	return nil
}

// applyMemberChanges applies the changes of the list of members in a response. Members that an earlier leader listed and
// this one doesn't are removed when its list becomes complete.
func (s *Subscriber) applyMemberChanges(a lab.WatchResponse) error {
	var c lab.MemberChanges
	if err := labpack.Decode(a.MemberChanges, &c); err != nil {
		return err
	}

	for _, n := range c.Removed {
		delete(s.listed, n.Member)
	}

	s.list(c.Set)
	s.Directory.ChangeMembers(c, a.MembersComplete)

	if a.MembersComplete && !s.membersComplete {
		s.Directory.RetainMembers(s.listed)
	}

	s.membersRevision, s.membersComplete = a.MembersRevision, a.MembersComplete

	return nil
}

// list adds members to listed, and removes those that have ended.
func (s *Subscriber) list(members []lab.Announcement) {
	for _, m := range members {
		if m.Terminated {
			delete(s.listed, m.Member)
		} else {
			s.listed[m.Member] = true
		}
	}
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
