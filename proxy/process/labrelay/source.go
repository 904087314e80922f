package labrelay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
	"laburnumlock.dev/lab/proxy/process/labreachability"
)

const (
	// avoidDuration is how long a gateway that cannot reach the member is asked last for it.
	avoidDuration = time.Second
	// defaultWait is how long a statement may wait for a connection at gateways when the sender sets no limit.
	defaultWait = 500 * time.Millisecond
	// latencyWindow is how many round trips the typical one is averaged over.
	latencyWindow = 8
	// refreshTimeout bounds the question for a position: a round trip between regions takes 24 ms.
	refreshTimeout = 100 * time.Millisecond
	// activeGateways is how many gateways share the statements while all of them answer.
	activeGateways = 2
	// standbyGateways is how many more are kept connected: with three in five machines down, all of six are down once in twenty
	// times.
	standbyGateways = 4
)

// Source provides channels to one member through gateways; exported fields are set before use.
type Source struct {
	Target       lab.Announcement
	Peers        lab.PersistentPeerClient
	Gateways     func() []lab.Instance       // in order of preference
	History      *labpositionhistory.History // takes the positions that gateways tell
	Reachability *labreachability.Tracker    // which gateways answer, shared with the sources of other members
	Clock        lab.Clock

	mutex          sync.Mutex
	inUse          map[lab.InstanceID]int // channels by gateway
	connections    int
	typicalLatency time.Duration
	avoidUntil     map[lab.InstanceID]time.Duration // until when
}

var _ lab.ConnectionPool = (*Source)(nil)

var (
	errNoGateway    = errors.New("no gateway is known")
	errNotConnected = errors.New("no gateway is connected")
)

// Member returns the member.
func (s *Source) Member() lab.Announcement {
	return s.Target
}

// Acquire returns a channel; a gateway's connection is bound by the first operations on it, for which the context's
// deadline limits the wait.
func (s *Source) Acquire(ctx context.Context, priority int) (lab.PooledConnection, error) {
	if len(s.Gateways()) == 0 {
		return nil, errNoGateway
	}

	wait := defaultWait
	if t, ok := ctx.Deadline(); ok {
		wait = time.Until(t)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.connections++

	return &connection{source: s, priority: priority, wait: wait}, nil
}

// chooseGateway chooses the next gateway: of the first few that are connected, answer and have not been asked, the one with the
// fewest channels. It returns false when none is; the statement is better tried again than kept waiting for a handshake.
func (s *Source) chooseGateway(tried map[lab.InstanceID]bool) (lab.Instance, bool) {
	all := s.connected(s.Gateways())

	s.mutex.Lock()
	defer s.mutex.Unlock()

	g, ok := s.leastLoadedLocked(all, func(g lab.Instance) bool {
		return !tried[g.ID] && s.Reachability.Reachable(g.ID) && s.Clock.Now() >= s.avoidUntil[g.ID]
	})
	if !ok {
		// One that failed or was busy is better than none.
		g, ok = s.leastLoadedLocked(all, func(lab.Instance) bool { return true })
	}

	if !ok {
		return lab.Instance{}, false
	}

	if s.inUse == nil {
		s.inUse = map[lab.InstanceID]int{}
	}

	s.inUse[g.ID]++

	return g, true
}

// connected returns the gateways with a standing connection, and has connections to the first others set up.
func (s *Source) connected(all []lab.Instance) []lab.Instance {
	var out []lab.Instance

	for i, g := range all {
		switch {
		case s.Peers.Connected(g.Address):
			out = append(out, g)
		case i < activeGateways+standbyGateways && s.Reachability.AllowConnect(g.ID):
			s.Peers.Connect(g.Address)
		}

		if len(out) == activeGateways+standbyGateways {
			break
		}
	}

	return out
}

// leastLoadedLocked returns the gateway with the fewest channels among the first few that fit.
func (s *Source) leastLoadedLocked(all []lab.Instance, fits func(lab.Instance) bool) (lab.Instance, bool) {
	var (
		best lab.Instance
		seen int
	)

	for _, g := range all {
		if !fits(g) {
			continue
		}

		if seen == 0 || s.inUse[g.ID] < s.inUse[best.ID] {
			best = g
		}

		if seen++; seen == activeGateways {
			break
		}
	}

	return best, seen > 0
}

// Warm has connections to the first gateways set up before a statement needs one.
func (s *Source) Warm() {
	s.connected(s.Gateways())
}

// releaseGateway ends the use of a gateway.
func (s *Source) releaseGateway(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.inUse[g]--; s.inUse[g] <= 0 {
		delete(s.inUse, g)
	}
}

func (s *Source) avoidGateway(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.avoidUntil == nil {
		s.avoidUntil = map[lab.InstanceID]time.Duration{}
	}

	s.avoidUntil[g] = s.Clock.Now() + avoidDuration
}

func (s *Source) removeConnection() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.connections--
}

func (s *Source) observeLatency(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.typicalLatency += (d - s.typicalLatency) / latencyWindow
}

// Load returns how many requests use a channel; gateways decide whether one is free.
func (s *Source) Load() (inProgress int, free, up bool) {
	known := len(s.Gateways()) > 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.connections, known, known
}

// TypicalLatency returns how long operations of late took from being sent to their answer, with their wait at the gateway.
func (s *Source) TypicalLatency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.typicalLatency
}

// RefreshPosition asks a gateway for the primary's position.
func (s *Source) RefreshPosition() {
	c, err := s.Acquire(context.Background(), 0)
	if err != nil {
		return
	}

	defer c.Discard()

	_, _ = c.Run(time.Now().Add(refreshTimeout), nil) // without a position the read goes to the primary
}
