package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat        = 1200 * time.Millisecond
	drainTime        = 7 * time.Second // drainMs
	promoteTime      = 600 * time.Millisecond
	statementTime    = 5 * time.Millisecond
	connectionTime   = 12 * time.Millisecond
	slotCount        = 3
	queueLength      = 16
	connectionLimit  = 24
	inRegionLatency  = 1400 * time.Microsecond
	crossRegionDelay = 12 * time.Millisecond
)

// commit is one committed write or transaction.
type commit struct {
	id   string // id of the query that committed it
	data map[string]string
}

// service simulates a primary and its replicas with syncReplicas = 1. Its mutex guards the members too.
type service struct {
	rec     *record
	name    string
	control func() []string

	mutex        sync.Mutex
	received     *sync.Cond // signalled when a replica has received commits or the primary changes
	members      []*member
	term         uint64
	highestToken uint64
	acknowledged map[string]int // by id, the number of each acknowledged commit
	lost         []string       // ids of acknowledged commits that the promoted member's log lacked
	promotions   int
	lateAtLeaver []string // requests that reached a leaving member later than drainMs after the confirmation
}

func newService(rec *record, name string, control func() []string) *service {
	s := &service{rec: rec, name: name, control: control, term: 1, acknowledged: map[string]int{}}
	s.received = sync.NewCond(&s.mutex)

	return s
}

func (s *service) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for i, z := range zones {
		m := &member{service: s, id: fmt.Sprintf("i-%06x%d", rand.Uint32()&0xffffff, i), zone: z, primary: i == 0, term: 1}
		if err := m.startLocked(); err != nil {
			return err
		}

		s.members = append(s.members, m)
		s.rec.note("member %s in %s starts at %s, primary=%t", m.id, z, m.address, m.primary)
	}

	return nil
}

// replace starts a new member at the address of one that is gone, with its log.
func (s *service) replace(gone *member) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	m := &member{
		service: s, id: gone.id + "b", zone: gone.zone, address: gone.address, term: gone.term,
		log: append([]commit(nil), gone.log...),
	}
	if err := m.startLocked(); err != nil {
		return err
	}

	s.members = append(s.members, m)
	s.rec.note("member %s starts at the address of %s with its log of %d commits", m.id, gone.id, len(m.log))

	if p := s.primaryLocked(); p != nil {
		s.replicateLocked(p, m)
	}

	return nil
}

// stop crashes all members.
func (s *service) stop() {
	for _, m := range s.members {
		m.crash()
	}
}

func (s *service) primaryLocked() *member {
	for _, m := range s.members {
		if m.primary && m.running {
			return m
		}
	}

	return nil
}

// replicateLocked sends the primary's log up to its present length to a replica.
func (s *service) replicateLocked(p, o *member) {
	if !p.running || !p.primary || p == o || !o.receivesLocked() {
		return
	}

	term, length := p.term, len(p.log)
	delay := inRegionLatency

	if regionOf(p.zone) != regionOf(o.zone) {
		delay = crossRegionDelay
	}

	time.AfterFunc(delay, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		if s.term != term || !p.primary || !o.receivesLocked() || (o.term == term && len(o.log) >= length) {
			return
		}

		o.term, o.log = term, append([]commit(nil), p.log[:length]...)
		s.received.Broadcast()
	})
}

// commitLocked appends a commit at the primary and waits until a replica has received it. It returns false if the member
// is no longer the primary before that.
func (s *service) commitLocked(m *member, c commit) bool {
	m.log = append(m.log, c)
	number, term := len(m.log), m.term

	for _, o := range s.members {
		s.replicateLocked(m, o)
	}

	for {
		if !m.running || !m.primary || m.term != term {
			return false
		}

		for _, o := range s.members {
			if o != m && o.running && o.term == term && len(o.log) >= number {
				s.acknowledged[c.id] = number
				s.rec.add("member %s acknowledges commit %s as %d.%d, received by %s", m.id, c.id, term, number, o.id)

				return true
			}
		}

		s.received.Wait()
	}
}

// failover handles POST /failover and returns the status.
func (s *service) failover(id string, token uint64) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	var target *member

	for _, m := range s.members {
		if m.id == id {
			target = m
		}
	}

	if token < s.highestToken || target == nil || !target.running {
		return http.StatusConflict
	}

	s.highestToken = token

	if !target.primary {
		time.AfterFunc(promoteTime, func() { s.promote(target, token) })
	}

	return http.StatusOK
}

// promote makes a member the primary of the next term with the log that it has.
func (s *service) promote(target *member, token uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if token < s.highestToken || !target.running || target.primary {
		return
	}

	s.term++
	s.promotions++
	s.rec.note("member %s leads term %d from commit %d on, token %d", target.id, s.term, len(target.log), token)

	for id, number := range s.acknowledged {
		if number > len(target.log) || target.log[number-1].id != id {
			s.lost = append(s.lost, id)
			s.rec.add("acknowledged commit %s (number %d) is not in the log of %s, which has %d commits", id, number,
				target.id, len(target.log))
			delete(s.acknowledged, id)
		}
	}

	for _, o := range s.members {
		o.primary, o.held = o == target, 0
	}

	target.term = s.term

	for _, o := range s.members {
		// What goes beyond the new primary's log is rolled back.
		o.log = o.log[:min(len(o.log), len(target.log))]
		s.replicateLocked(target, o)

		if o.running {
			o.announceSoonLocked()
		}
	}

	s.received.Broadcast()
}
