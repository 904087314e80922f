package labrelay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
	"laburnumlock.dev/lab/proxy/process/labreachability"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

const (
	// avoidDuration is how long other gateways are preferred after a gateway has reported that it can't provide a
	// connection to the member.
	avoidDuration = time.Second
	// defaultWait bounds the wait for a connection at the gateways when the context has no deadline.
	defaultWait = 500 * time.Millisecond
	// latencyWindow is the number of round trips that the moving average of the latency covers.
	latencyWindow = 8
	// refreshTimeout bounds the request for a position: a round trip between regions takes 24 ms.
	refreshTimeout = 100 * time.Millisecond
	// activeGateways is the number of gateways over which the statements are spread.
	activeGateways = 2
	// standbyGateways is the number of further gateways to which connections stay open. A proxy then has six gateways.
	// If 60 % of all machines are down, all six are down with a probability of 0.6^6, which is about 5 %.
	standbyGateways = 4
)

// MaxWarmGateways is the number of gateways to which a proxy keeps connections open at the most.
const MaxWarmGateways = activeGateways + standbyGateways

// Source provides connections to one member through gateways; exported fields are set before use.
type Source struct {
	Target lab.Announcement // the member
	Peers  lab.PersistentPeerClient
	// Gateways returns the gateways of the member in the order in which the statements of an organisation prefer them, and
	// the number of those to which connections stay open, at most MaxWarmGateways. The organisation is empty if the
	// deployment has none.
	Gateways     func(organisation string) (gateways []lab.Instance, warm int)
	Version      func() uint64               // returns the version of the active configuration; nil if it doesn't matter
	History      *labpositionhistory.History // receives the positions that gateways report
	Reachability *labreachability.Tracker    // tracks which gateways respond; shared by the sources of all members
	Clock        lab.Clock
	Memory       lab.MemoryBudget // bounds the responses that are being received; nil for no limit
	// OnSample receives what an exchange with the member has shown, if it is not nil.
	OnSample func(labsample.Sample)
	// OnCondition receives how well the member serves at a gateway, if it is not nil.
	OnCondition func(laboutlier.Condition)
	// Alternative returns the condition of the other members that can run a statement, and whether there are any. It is nil
	// if gateways may not refuse statements because of it.
	Alternative func() (condition laboutlier.Condition, ok bool)

	mutex          sync.Mutex
	inUse          map[lab.InstanceID]int           // number of connections that use each gateway
	connections    int                              // number of connections in use
	typicalLatency time.Duration                    // moving average that TypicalLatency returns
	avoidUntil     map[lab.InstanceID]time.Duration // time until which other gateways are preferred, by gateway
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

// Acquire returns a connection that is not yet bound to a gateway. The gateway is chosen when the first operations run.
// The time left until the context's deadline, taken when Acquire is called, bounds how long these operations wait for a
// connection at the gateways.
func (s *Source) Acquire(ctx context.Context, r lab.AcquireRequest) (lab.PooledConnection, error) {
	if !s.gatewayKnown() {
		return nil, errNoGateway
	}

	wait := defaultWait
	if t, ok := ctx.Deadline(); ok {
		wait = time.Until(t)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.connections++

	return &connection{source: s, request: r, wait: wait}, nil
}

// chooseGateway chooses the gateway for the next try. Suitable gateways are connected, respond, are not being avoided
// and have not been tried; if there are none, all connected gateways are suitable. It returns the first suitable one for
// an organisation, else the one of the first activeGateways that the fewest connections use. If no gateway is connected, it returns false
// instead of waiting for a handshake: a retry of the statement takes less time.
func (s *Source) chooseGateway(organisation string, tried map[lab.InstanceID]bool) (lab.Instance, bool) {
	all, spread := s.connected(organisation), activeGateways
	if organisation != "" {
		spread = 1 // the open connections of an organisation are at its first gateway
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	g, ok := s.leastLoadedLocked(all, spread, func(g lab.Instance) bool {
		return !tried[g.ID] && s.Reachability.Reachable(g.ID) && s.Clock.Now() >= s.avoidUntil[g.ID]
	})
	if !ok {
		// A gateway that has failed or was busy is better than none.
		g, ok = s.leastLoadedLocked(all, spread, func(lab.Instance) bool { return true })
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

// connected returns the gateways to which a connection is open, in the order that an organisation prefers. It starts
// connections to those of the first gateways that have none, and to further ones while none that is open responds.
func (s *Source) connected(organisation string) []lab.Instance {
	var out []lab.Instance

	all, warm := s.Gateways(organisation)
	responds := false

	for i, g := range all {
		switch {
		case s.Peers.Connected(g.Address):
			out = append(out, g)
			responds = responds || s.Reachability.Reachable(g.ID)
		case (i < warm || (warm < MaxWarmGateways && !responds)) && s.Reachability.AllowConnect(g.ID):
			s.Peers.Connect(g.Address)
		}

		if len(out) == MaxWarmGateways {
			break
		}
	}

	return out
}

// leastLoadedLocked returns the gateway that the fewest connections use, among the first spread gateways for which
// suitable returns true.
func (s *Source) leastLoadedLocked(
	all []lab.Instance, spread int, suitable func(lab.Instance) bool,
) (lab.Instance, bool) {
	var (
		best  lab.Instance
		count int
	)

	for _, g := range all {
		if !suitable(g) {
			continue
		}

		if count == 0 || s.inUse[g.ID] < s.inUse[best.ID] {
			best = g
		}

		if count++; count == spread {
			break
		}
	}

	return best, count > 0
}

func (s *Source) gatewayKnown() bool {
	g, _ := s.Gateways("")

	return len(g) > 0
}

func (s *Source) version() uint64 {
	if s.Version == nil {
		return 0
	}

	return s.Version()
}

// Warm starts connections to the first gateways before a statement needs one.
func (s *Source) Warm() {
	s.connected("")
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

// alternative returns the condition of another member that can run the statements of a request, nil if there is none.
func (s *Source) alternative(r lab.AcquireRequest) *laboutlier.Condition {
	if s.Alternative == nil || !r.Optional {
		return nil
	}

	a, ok := s.Alternative()
	if !ok {
		return nil
	}

	return &a
}

// sample reports what the response of a gateway says about the member. A gateway that doesn't respond says nothing.
func (s *Source) sample(sent []lab.Operation, a response, err error, elapsed time.Duration) {
	if s.OnSample != nil {
		s.OnSample(labsample.New(sent, a.Results, err, elapsed))
	}
}

// Load returns the number of connections in use. The other results only say whether a gateway is known, since the
// gateways decide whether a connection is free.
func (s *Source) Load() (inProgress int, free, reachable bool) {
	known := s.gatewayKnown()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.connections, known, known
}

// TypicalLatency returns the moving average of the time from sending operations to their response, including the wait
// at the gateway.
func (s *Source) TypicalLatency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.typicalLatency
}

// RefreshPosition requests the primary's position from a gateway.
func (s *Source) RefreshPosition() {
	c, err := s.Acquire(context.Background(), lab.AcquireRequest{})
	if err != nil {
		return
	}

	defer c.Discard()

	_, _ = c.Run(time.Now().Add(refreshTimeout), nil) // if the request fails, the read runs at the primary
}
