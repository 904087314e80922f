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

// process is one life of a proxy. It follows the proxies' contract: an answer gives no grant that is missing from the
// Held list of a heartbeat sent after the one it answers.
type process struct {
	instance lab.Instance
	rate     float64 // clock speed
	request  uint64
	answered uint64
	sent     map[uint64]time.Duration // own clock by request id
	listed   map[uint64][]lab.Grant   // Held by request id
	using    map[lab.Grant]time.Duration
	dead     bool
}

// message is a heartbeat or its answer on the way.
type message struct {
	at        time.Duration // real time
	from      *process
	heartbeat lab.Heartbeat
	answer    *lab.HeartbeatResponse
}

// simulation runs proxies and leaders against one catalog in real time steps; its decisions follow from a seed.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	catalog   *labcatalog.Catalog
	index     uint64
	table     *lablease.Table
	rate      float64 // leader's clock speed
	processes []*process
	messages  []message
	conflict  string
	grants    int
}

func (s *simulation) draw(n int) int { return s.random.IntN(n) }

func scaled(t time.Duration, rate float64) time.Duration { return time.Duration(float64(t) * rate) }

func (s *simulation) apply(c labcatalog.Command) {
	data, _ := c.Encode()
	s.index++
	s.catalog.Apply(s.index, data)
}

func (s *simulation) elect() {
	s.rate = 1 + float64(s.draw(11))/100
	s.table = lablease.New(scaled(s.now, s.rate))
}

// send emits a heartbeat; it may be lost, delayed or duplicated.
func (s *simulation) send(p *process) {
	p.request++
	own := scaled(s.now, p.rate)
	h := lab.Heartbeat{RequestID: p.request, Instance: p.instance}
	for g, until := range p.using {
		if until > own {
			h.Grants = append(h.Grants, g)
		}
	}
	p.sent[p.request], p.listed[p.request] = own, h.Grants
	for range 1 + s.draw(4)/3 {
		if s.draw(8) > 0 {
			s.messages = append(s.messages, message{at: s.now + s.delay(), from: p, heartbeat: h})
		}
	}
}

func (s *simulation) delay() time.Duration {
	if s.draw(4) == 0 {
		return time.Duration(s.draw(60)) * step
	}

	return time.Duration(s.draw(4)) * step
}

// handle answers a heartbeat as the leader, after a barrier.
func (s *simulation) handle(m message) {
	h := m.heartbeat
	known, _ := s.catalog.Instance(h.Instance.ID)
	if h.Instance.Incarnation > known.Incarnation {
		s.apply(labcatalog.Command{Joined: []lab.Instance{h.Instance}})
	}
	if known, live := s.catalog.Instance(h.Instance.ID); !live || known != h.Instance {
		return
	}
	now := scaled(s.now, s.rate)
	grants, ok := s.table.Heartbeat(now, &h, s.catalog.Duties(h.Instance.ID), func(d lab.GatewayRole) (lablease.Wanted, bool) {
		g, first, ok := s.catalog.Wanted(h.Instance, d)

		return lablease.Wanted{Grant: g, First: first}, ok
	})
	if ok && s.draw(8) > 0 {
		a := lab.HeartbeatResponse{RequestID: h.RequestID, Grants: grants}
		s.messages = append(s.messages, message{at: s.now + s.delay(), from: m.from, answer: &a})
	}
}

// accept lets a proxy take over an answer; grants that it lost may linger while work in progress ends.
func (s *simulation) accept(p *process, a *lab.HeartbeatResponse) {
	if p.dead || a.RequestID <= p.answered {
		return
	}
	p.answered = a.RequestID
	until, own := p.sent[a.RequestID]+lablease.TTL, scaled(s.now, p.rate)
	granted := map[lab.Grant]bool{}
	for _, g := range a.Grants {
		if until <= own || !p.listedSince(a.RequestID, g) {
			continue
		}
		granted[g] = true
		if p.using[g] <= own {
			s.check(p, g)
		}
		p.using[g] = max(until, p.using[g])
		s.grants++
	}
	for g, end := range p.using {
		if !granted[g] {
			p.using[g] = min(end, own+time.Duration(s.draw(20))*step)
		}
	}
}

func (p *process) listedSince(request uint64, g lab.Grant) bool {
	for r := request + 1; r <= p.request; r++ {
		found := false
		for _, x := range p.listed[r] {
			found = found || x == g
		}
		if !found {
			return false
		}
	}

	return true
}

// check notes when a proxy begins to use a grant that excludes one in use.
func (s *simulation) check(p *process, g lab.Grant) {
	for _, o := range s.processes {
		for x, until := range o.using {
			if o.dead || until <= scaled(s.now, o.rate) {
				continue
			}
			if (o != p && x.Role == g.Role) || (x.Writable && g.Writable && (o != p || x.Term != g.Term)) {
				s.conflict = fmt.Sprintf("%v gets %v while %v uses %v", p.instance, g, o.instance, x)
			}
		}
	}
}

func (s *simulation) start(i lab.Instance) {
	s.processes = append(s.processes, &process{
		instance: i, rate: 1 + float64(s.draw(11))/100, sent: map[uint64]time.Duration{},
		listed: map[uint64][]lab.Grant{}, using: map[lab.Grant]time.Duration{},
	})
}
