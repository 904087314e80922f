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

// proxyProcess is one incarnation of a proxy. It follows the rule for proxies in the documentation of lablease: it
// ignores a grant in the response to a heartbeat if it has sent a heartbeat without this grant in the meantime.
type proxyProcess struct {
	instance      lab.Instance
	clockRate     float64 // speed of the proxy's clock; 1 is real time
	request       uint64
	lastResponse  uint64                      // request id of the newest response processed
	sentAt        map[uint64]time.Duration    // time when a heartbeat was sent, on the proxy's clock, by request id
	heldByRequest map[uint64][]lab.Grant      // grants held when a heartbeat was sent, by request id
	inUseUntil    map[lab.Grant]time.Duration // end of the use of each grant, on the proxy's clock
	dead          bool                        // the process has stopped
}

// message is a heartbeat or a response in transit.
type message struct {
	deliverAt time.Duration // real time at which the message arrives
	from      *proxyProcess
	heartbeat lab.Heartbeat
	response  *lab.HeartbeatResponse
}

// simulation advances proxies and leaders that share one catalog in steps of real time. All its random decisions derive
// from one seed.
type simulation struct {
	random          *rand.Rand
	now             time.Duration
	catalog         *labcatalog.Catalog
	index           uint64
	table           *lablease.Table
	leaderClockRate float64 // speed of the leader's clock; 1 is real time
	processes       []*proxyProcess
	messages        []message
	conflict        string // description of the last conflict between two grants, empty for none
	grants          int    // number of grants that proxies have accepted
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

// sendHeartbeat sends a heartbeat, which may be lost, delayed or duplicated.
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

// handleHeartbeat processes a heartbeat as a leader whose leadership a barrier has just confirmed. The response may be
// lost or delayed.
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
	grants, ok := s.table.Renew(now, &h, s.catalog.GatewayRoles(h.Instance.ID), func(d lab.GatewayRole) (lablease.AllowedGrant, bool) {
		g, first, ok := s.catalog.AllowedGrant(h.Instance, d)

		return lablease.AllowedGrant{Grant: g, FirstHolder: first}, ok
	})
	if ok && s.intN(8) > 0 {
		a := lab.HeartbeatResponse{RequestID: h.RequestID, Grants: grants}
		s.messages = append(s.messages, message{deliverAt: s.now + s.delay(), from: m.from, response: &a})
	}
}

// handleResponse applies a response at a proxy. A grant that is missing from the response may stay in use for a while,
// because a real proxy first finishes its running transactions.
func (s *simulation) handleResponse(p *proxyProcess, a *lab.HeartbeatResponse) {
	if p.dead || a.RequestID <= p.lastResponse {
		return
	}
	p.lastResponse = a.RequestID
	until, own := p.sentAt[a.RequestID]+lablease.TTL, scaled(s.now, p.clockRate)
	granted := map[lab.Grant]bool{}
	for _, g := range a.Grants {
		if until <= own || !p.heldSince(a.RequestID, g) {
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

func (p *proxyProcess) heldSince(request uint64, g lab.Grant) bool {
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

// recordConflict records a conflict if a proxy begins to use a grant while a conflicting grant is in use.
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
