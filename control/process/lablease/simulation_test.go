package lablease_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/lablease"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const step = 50 * time.Millisecond

// proxyProcess is one life of a proxy. It follows the proxies' contract: an answer gives no grant that is missing from the
// Held list of a heartbeat sent after the one it answers.
type proxyProcess struct {
	instance      lab.Instance
	clockRate     float64 // clock speed
	request       uint64
	lastResponse  uint64
	sentAt        map[uint64]time.Duration // own clock by request id
	heldByRequest map[uint64][]lab.Grant   // Held by request id
	inUseUntil    map[lab.Grant]time.Duration
	dead          bool
}

// message is a heartbeat or its answer on the way.
type message struct {
	deliverAt time.Duration // real time
	from      *proxyProcess
	heartbeat lab.Heartbeat
	response  *lab.HeartbeatResponse
}

// simulation runs proxies and leaders against one catalog in real time steps; its decisions follow from a seed.
type simulation struct {
	random          *rand.Rand
	now             time.Duration
	catalog         *labcatalog.Catalog
	index           uint64
	table           *lablease.Table
	leaderClockRate float64 // leader's clock speed
	processes       []*proxyProcess
	messages        []message
	conflict        string
	grants          int
}

func (s *simulation) intN(n int) int { return s.random.IntN(n) }

func scaled(t time.Duration, rate float64) time.Duration { return time.Duration(float64(t) * rate) }

func (s *simulation) apply(c labcatalog.Command) {
	data, _ := c.Encode()
	s.index++
	s.catalog.Apply(s.index, data)
}

func (s *simulation) elect() {
	s.leaderClockRate = 1 + float64(s.intN(11))/100
	s.table = lablease.New(scaled(s.now, s.leaderClockRate))
}

// sendHeartbeat emits a heartbeat; it may be lost, delayed or duplicated.
func (s *simulation) sendHeartbeat(p *proxyProcess) {
	p.request++
	own := scaled(s.now, p.clockRate)
	h := lab.Heartbeat{RequestID: p.request, Instance: p.instance}
	for g, until := range p.inUseUntil {
		if until > own {
			h.Grants = append(h.Grants, g)
		}
	}
	p.sentAt[p.request], p.heldByRequest[p.request] = own, h.Grants
	for range 1 + s.intN(4)/3 {
		if s.intN(8) > 0 {
			s.messages = append(s.messages, message{deliverAt: s.now + s.delay(), from: p, heartbeat: h})
		}
	}
}

func (s *simulation) delay() time.Duration {
	if s.intN(4) == 0 {
		return time.Duration(s.intN(60)) * step
	}

	return time.Duration(s.intN(4)) * step
}

// handleHeartbeat answers a heartbeat as the leader, after a barrier.
func (s *simulation) handleHeartbeat(m message) {
	h := m.heartbeat
	known, _ := s.catalog.Instance(h.Instance.ID)
	if h.Instance.Incarnation > known.Incarnation {
		s.apply(labcatalog.Command{JoinedProxies: []lab.Instance{h.Instance}})
	}
	if known, live := s.catalog.Instance(h.Instance.ID); !live || known != h.Instance {
		return
	}
	now := scaled(s.now, s.leaderClockRate)
	grants, ok := s.table.Heartbeat(now, &h, s.catalog.GatewayRoles(h.Instance.ID), func(d lab.GatewayRole) (lablease.AllowedGrant, bool) {
		g, first, ok := s.catalog.AllowedGrant(h.Instance, d)

		return lablease.AllowedGrant{Grant: g, FirstHolder: first}, ok
	})
	if ok && s.intN(8) > 0 {
		a := lab.HeartbeatResponse{RequestID: h.RequestID, Grants: grants}
		s.messages = append(s.messages, message{deliverAt: s.now + s.delay(), from: m.from, response: &a})
	}
}

// handleResponse lets a proxy take over an answer; grants that it lost may linger while work in progress ends.
func (s *simulation) handleResponse(p *proxyProcess, a *lab.HeartbeatResponse) {
	if p.dead || a.RequestID <= p.lastResponse {
		return
	}
	p.lastResponse = a.RequestID
	until, own := p.sentAt[a.RequestID]+lablease.TTL, scaled(s.now, p.clockRate)
	granted := map[lab.Grant]bool{}
	for _, g := range a.Grants {
		if until <= own || !p.listedSince(a.RequestID, g) {
			continue
		}
		granted[g] = true
		if p.inUseUntil[g] <= own {
			s.recordConflict(p, g)
		}
		p.inUseUntil[g] = max(until, p.inUseUntil[g])
		s.grants++
	}
	for g, end := range p.inUseUntil {
		if !granted[g] {
			p.inUseUntil[g] = min(end, own+time.Duration(s.intN(20))*step)
		}
	}
}

func (p *proxyProcess) listedSince(request uint64, g lab.Grant) bool {
	for r := request + 1; r <= p.request; r++ {
		found := false
		for _, x := range p.heldByRequest[r] {
			found = found || x == g
		}
		if !found {
			return false
		}
	}

	return true
}

// recordConflict notes when a proxy begins to use a grant that excludes one in use.
func (s *simulation) recordConflict(p *proxyProcess, g lab.Grant) {
	for _, o := range s.processes {
		for x, until := range o.inUseUntil {
			if o.dead || until <= scaled(s.now, o.clockRate) {
				continue
			}
			if (o != p && x.Role == g.Role) || (x.Writable && g.Writable && (o != p || x.Term != g.Term)) {
				s.conflict = fmt.Sprintf("%v gets %v while %v uses %v", p.instance, g, o.instance, x)
			}
		}
	}
}

func (s *simulation) start(i lab.Instance) {
	s.processes = append(s.processes, &proxyProcess{
		instance: i, clockRate: 1 + float64(s.intN(11))/100, sentAt: map[uint64]time.Duration{},
		heldByRequest: map[uint64][]lab.Grant{}, inUseUntil: map[lab.Grant]time.Duration{},
	})
}
