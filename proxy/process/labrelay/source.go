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
	// avoidDuration is how long other gateways are preferred after a gateway reported that it can't serve the member.
	avoidDuration = time.Second
	// defaultWait bounds the wait for a connection at the gateways when the context has no deadline.
	defaultWait = 500 * time.Millisecond
	// latencyWindow is the number of round trips that the moving average of the latency covers.
	latencyWindow = 8
	// refreshTimeout bounds the request for a position: a round trip between regions takes 24 ms.
	refreshTimeout = 100 * time.Millisecond
	// activeGateways is the number of gateways that share the statements while all of them respond.
	activeGateways = 2
	// standbyGateways is the number of further gateways to which connections stay open. If three in five machines are
	// down, all six gateways are down in one case of twenty.
	standbyGateways = 4
)

// Source provides connections to one member through gateways; exported fields are set before use.
type Source struct {
	Target       lab.Announcement
	Peers        lab.PersistentPeerClient
	Gateways     func() []lab.Instance       // in order of preference
	History      *labpositionhistory.History // receives the positions that gateways report
	Reachability *labreachability.Tracker    // tracks which gateways respond; shared by the sources of all members
	Clock        lab.Clock

	mutex          sync.Mutex
	inUse          map[lab.InstanceID]int // connections by gateway
	connections    int
	typicalLatency time.Duration
	avoidUntil     map[lab.InstanceID]time.Duration // end of the time in which other gateways are preferred
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

// Acquire returns a connection that is not yet bound to a gateway. Its first operations choose the gateway; the deadline
// of the context limits their wait for a connection there.
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

// chooseGateway chooses the gateway for the next try. It prefers the gateways that are connected, respond and have not
// been tried, takes the first activeGateways of these, and returns the one in use by the fewest connections. It returns
// false when no gateway is connected: a retry of the statement takes less time than a handshake.
func (s *Source) chooseGateway(tried map[lab.InstanceID]bool) (lab.Instance, bool) {
	all := s.connected(s.Gateways())

	s.mutex.Lock()
	defer s.mutex.Unlock()

	g, ok := s.leastLoadedLocked(all, func(g lab.Instance) bool {
		return !tried[g.ID] && s.Reachability.Reachable(g.ID) && s.Clock.Now() >= s.avoidUntil[g.ID]
	})
	if !ok {
		// A gateway that failed or was busy is better than none.
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

// connected returns the gateways with an open connection, and starts connections to the first ones without.
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

// leastLoadedLocked returns the gateway in use by the fewest connections among the first activeGateways that fit.
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

// Warm starts connections to the first gateways before a statement needs one.
func (s *Source) Warm() {
	s.connected(s.Gateways())
}

// releaseGateway decrements the number of connections that use a gateway.
func (s *Source) releaseGateway(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.inUse[g]--; s.inUse[g] <= 0 {
		delete(s.inUse, g)
	}
}

// avoidGateway makes other gateways preferred for avoidDuration.
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

// Load returns how many requests use a connection. The other results only say whether a gateway is known, since the
// gateways decide whether a connection is free.
func (s *Source) Load() (inProgress int, free, up bool) {
	known := len(s.Gateways()) > 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.connections, known, known
}

// TypicalLatency returns the moving average of the time from sending operations to their response, including the wait at
// the gateway.
func (s *Source) TypicalLatency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.typicalLatency
}

// RefreshPosition requests the primary's position from a gateway.
func (s *Source) RefreshPosition() {
	c, err := s.Acquire(context.Background(), 0)
	if err != nil {
		return
	}

	defer c.Discard()

	_, _ = c.Run(time.Now().Add(refreshTimeout), nil) // if it fails, the read runs at the primary
}
