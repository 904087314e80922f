package labrelay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labfrontier"
	"laburnumlock.dev/lab/proxy/process/labreach"
)

const (
	// shunTime is how long a gateway that cannot reach the member is asked last for it.
	shunTime = time.Second
	// defaultWait is how long a statement may wait for a connection at gateways when the sender sets no limit.
	defaultWait = 500 * time.Millisecond
	// typicalWeight is how many round trips the typical one is averaged over.
	typicalWeight = 8
	// refreshTimeout bounds the question for a position: a round trip between regions takes 24 ms.
	refreshTimeout = 100 * time.Millisecond
	// width is how many gateways share the statements while all of them answer.
	width = 2
	// reserve is how many more are kept connected: with three in five machines down, all of six are down once in twenty
	// times.
	reserve = 4
)

// Source provides channels to one member through gateways; exported fields are set before use.
type Source struct {
	Target   lab.Announcement
	Peers    lab.PersistentPeerClient
	Gateways func() []lab.Instance // in order of preference
	Frontier *labfrontier.History  // takes the positions that gateways tell
	Reach    *labreach.Tracker     // which gateways answer, shared with the sources of other members
	Clock    lab.Clock

	mutex   sync.Mutex
	inUse   map[lab.InstanceID]int // channels by gateway
	total   int
	typical time.Duration
	shunned map[lab.InstanceID]time.Duration // until when
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

	s.total++

	return &channel{source: s, priority: priority, wait: wait}, nil
}

// take chooses the next gateway: of the first few that are connected, answer and have not been asked, the one with the
// fewest channels. It returns false when none is; the statement is better tried again than kept waiting for a handshake.
func (s *Source) take(asked map[lab.InstanceID]bool) (lab.Instance, bool) {
	all := s.connected(s.Gateways())

	s.mutex.Lock()
	defer s.mutex.Unlock()

	g, ok := s.lightestLocked(all, func(g lab.Instance) bool {
		return !asked[g.ID] && s.Reach.Reachable(g.ID) && s.Clock.Now() >= s.shunned[g.ID]
	})
	if !ok {
		// One that failed or was busy is better than none.
		g, ok = s.lightestLocked(all, func(lab.Instance) bool { return true })
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
		case i < width+reserve && s.Reach.AllowConnect(g.ID):
			s.Peers.Connect(g.Address)
		}

		if len(out) == width+reserve {
			break
		}
	}

	return out
}

// lightestLocked returns the gateway with the fewest channels among the first few that fit.
func (s *Source) lightestLocked(all []lab.Instance, fits func(lab.Instance) bool) (lab.Instance, bool) {
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

		if seen++; seen == width {
			break
		}
	}

	return best, seen > 0
}

// Warm has connections to the first gateways set up before a statement needs one.
func (s *Source) Warm() {
	s.connected(s.Gateways())
}

// give ends the use of a gateway.
func (s *Source) give(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.inUse[g]--; s.inUse[g] <= 0 {
		delete(s.inUse, g)
	}
}

func (s *Source) shun(g lab.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.shunned == nil {
		s.shunned = map[lab.InstanceID]time.Duration{}
	}

	s.shunned[g] = s.Clock.Now() + shunTime
}

func (s *Source) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.total--
}

func (s *Source) observe(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.typical += (d - s.typical) / typicalWeight
}

// Load returns how many requests use a channel; gateways decide whether one is free.
func (s *Source) Load() (inProgress int, free, up bool) {
	known := len(s.Gateways()) > 0

	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.total, known, known
}

// TypicalLatency returns how long operations of late took from being sent to their answer, with their wait at the gateway.
func (s *Source) TypicalLatency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.typical
}

// Refresh asks a gateway for the primary's position.
func (s *Source) Refresh() {
	c, err := s.Acquire(context.Background(), 0)
	if err != nil {
		return
	}

	defer c.Discard()

	_, _ = c.Run(time.Now().Add(refreshTimeout), nil) // without a position the read goes to the primary
}
