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
	retryPause   = 100 * time.Millisecond
	// leaderHops is how often a named leader is followed; one that was deposed a moment ago may name the next.
	leaderHops   = 3
	maxDoublings = 3
	// discoverTimeout bounds the first search for the leader: two round trips between regions for a new connection, and
	// an instance that is busy for a moment. It doubles with each search in vain up to discoverLatest, since on a
	// congested link no connection is made within the first.
	discoverTimeout = 400 * time.Millisecond
	discoverLatest  = 3 * time.Second
)

// Subscriber asks the control group for changes; exported fields are set before Run.
type Subscriber struct {
	Proxy     lab.Instance
	Peers     lab.PeerClient
	Seeds     func() []string // process addresses of some control instances
	Directory *labdirectory.Directory
	Documents lab.ConfigurationReader
	Log       zerolog.Logger

	kicks    chan struct{}
	once     sync.Once
	draining atomic.Bool

	leader   string
	controls []string
	boot     uint64
	revision uint64
	placed   uint64 // placement that the directory holds
	lost     bool
	searches int // for the leader, in vain since the last answer
}

func (s *Subscriber) prepare() {
	s.once.Do(func() { s.kicks = make(chan struct{}, 1) })
}

// Kick sends a report at once instead of after the current wait.
func (s *Subscriber) Kick() {
	s.prepare()

	select {
	case s.kicks <- struct{}{}:
	default:
	}
}

// Leave tells control that this proxy no longer needs connections to members.
func (s *Subscriber) Leave() {
	s.draining.Store(true)
	s.Kick()
}

// Run asks until the context ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.prepare()

	for ctx.Err() == nil {
		if err := s.ask(ctx); err != nil && ctx.Err() == nil {
			s.note(err)

			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
	}

	return nil
}

// note logs the first failure after a success.
func (s *Subscriber) note(err error) {
	if !s.lost {
		s.Log.Warn().Err(err).Str("leader", s.leader).Msg("control_lost")
	}

	s.lost = true
	s.leader = ""
}

var errNoControl = errors.New("no control instance leads")

// ask watches at the leader, or looks for the leader first.
func (s *Subscriber) ask(ctx context.Context) error {
	if s.leader == "" {
		return s.discover(ctx)
	}

	var a lab.WatchResponse

	kicked, err := s.call(ctx, s.leader, s.request(watchWait), &a)
	if kicked {
		return nil
	}

	if err != nil {
		return errors.Newf("watch at %s: %w", s.leader, err)
	}

	if a.Leader != "" {
		return errors.Newf("%s no longer leads", s.leader)
	}

	return s.take(a)
}

func (s *Subscriber) request(wait time.Duration) lab.WatchRequest {
	return lab.WatchRequest{
		Proxy: s.Proxy, LeaderEpoch: s.boot, Revision: s.revision, ProxiesRevision: s.placed, ConfigurationVersion: s.Directory.Version(), MaxWait: wait,
		Draining: s.draining.Load(), Primaries: s.Directory.PrimaryReports(),
	}
}

// found is an answer of a leader.
type found struct {
	address string
	answer  lab.WatchResponse
}

// discover asks all known control instances at the same time, since some may not answer for seconds, and takes the
// answer of the one that leads.
func (s *Subscriber) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(discoverTimeout<<s.searches, discoverLatest))
	defer cancel()

	s.searches = min(s.searches+1, maxDoublings)

	all := slices.Concat(s.controls, s.Seeds())
	slices.Sort(all)
	all = slices.Compact(all)

	answers := make(chan *found, len(all))
	request := s.request(0)

	for _, c := range all {
		go func() { answers <- s.probe(ctx, c, request) }()
	}

	for range all {
		if f := <-answers; f != nil {
			s.leader = f.address

			return s.take(f.answer)
		}
	}

	return errNoControl
}

// probe returns the answer of an instance that leads, or of the leader that it names: the leader need not be among the
// addresses that are known.
func (s *Subscriber) probe(ctx context.Context, address string, request lab.WatchRequest) *found {
	for range leaderHops {
		f := &found{address: address}

		if err := s.Peers.Call(ctx, address, lab.MethodWatch, request, &f.answer); err != nil {
			return nil
		}

		if f.answer.Leader == "" {
			return f
		}

		address = string(f.answer.Leader)
	}

	return nil
}

// call watches until an answer or a kick.
func (s *Subscriber) call(ctx context.Context, address string, r lab.WatchRequest, a *lab.WatchResponse) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	done := make(chan error, 1)

	go func() { done <- s.Peers.Call(ctx, address, lab.MethodWatch, r, a) }()

	select {
	case err := <-done:
		return false, err
	case <-s.kicks:
		cancel()

		if err := <-done; err == nil {
			s.Log.Debug().Msg("answer_dropped") // the next watch brings it again
		}

		return true, nil
	}
}

func (s *Subscriber) take(a lab.WatchResponse) error {
	if s.lost {
		s.Log.Info().Str("leader", s.leader).Msg("control_regained")
	}

	s.lost, s.searches = false, 0

	if len(a.Configuration) > 0 {
		if err := s.install(a.Configuration); err != nil {
			return errors.Newf("take document from control: %w", err)
		}
	}

	if err := s.learn(a); err != nil {
		return errors.Newf("take members from control: %w", err)
	}

	s.boot, s.revision, s.controls = a.LeaderEpoch, a.Revision, a.ControlAddresses

	return nil
}

// learn takes over the lists that the answer brings.
func (s *Subscriber) learn(a lab.WatchResponse) error {
	if len(a.Proxies) > 0 {
		var p []lab.Instance
		if err := labpack.Decode(a.Proxies, &p); err != nil {
			return err
		}

		s.Directory.SetProxies(p)
		s.placed = a.ProxiesRevision
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

func (s *Subscriber) install(packed []byte) error {
	b, err := labpack.Unpack(packed)
	if err != nil {
		return err
	}

	d, err := s.Documents.Read(b)
	if err != nil {
		return err
	}

	s.Directory.Install(d)

	return nil
}
