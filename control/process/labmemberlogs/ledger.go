package labmemberlogs

import (
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmembers"
)

// exitTime is how long a member that has said that it ends may still receive commits.
const exitTime = 500 * time.Millisecond

// EndedMember is a replica that is down or has ended and may have received commits that no other replica has.
type EndedMember struct {
	Member lab.Announcement
	Down   bool // the replica was found not to run, but it may start again
	// Cleared is true if a position of the primary is known that was requested after the end. Every commit that the
	// member can have received alone is at or before ClearedAt.
	Cleared   bool
	ClearedAt lab.CommitPosition
	// Paused is true if the member received nothing between its last observed position and its end.
	Paused bool

	endedAt time.Duration
}

// Bound is the position that the log of the next primary of a service must have reached.
type Bound struct {
	Position lab.CommitPosition // zero if no position is known
	Source   string             // member at which the position was read, for logs
}

// Ledger holds what is known about the logs of the members of each service. It is safe for concurrent use; its exported
// fields are set before use.
type Ledger struct {
	Clock lab.Clock

	mutex    sync.Mutex
	services map[string]*service
}

// service is what is known about one service. Points in time are on the ledger's clock.
type service struct {
	bound  Bound
	seenAt time.Duration // time at which a member was last known to have the position of bound
	term   uint64        // highest term that a primary is known to lead
	ended  []EndedMember
	paused map[incarnation]bool // replicas that have been told to stop receiving

	primaryPosition    lab.CommitPosition // newest known position of the primary
	primaryRequestedAt time.Duration      // time of the request for primaryPosition
}

// incarnation identifies a run of a member.
type incarnation struct {
	member string
	number uint64
}

func (l *Ledger) serviceLocked(name string) *service {
	if l.services == nil {
		l.services = map[string]*service{}
	}

	s, ok := l.services[name]
	if !ok {
		s = &service{paused: map[incarnation]bool{}}
		l.services[name] = s
	}

	return s
}

// RecordReplica records a position that was read at a replica.
func (l *Ledger) RecordReplica(name, member string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if s := l.serviceLocked(name); !position.Before(s.bound.Position) {
		s.bound, s.seenAt = Bound{position, member}, l.Clock.Now()
	}
}

// RecordOrder records the position of the candidate of a promotion order, as the replicated log holds it. It has no
// effect if the position is known already.
func (l *Ledger) RecordOrder(name, member string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if s := l.serviceLocked(name); s.bound.Position.Before(position) {
		s.bound, s.seenAt = Bound{position, member}, l.Clock.Now()
	}
}

// RecordAcknowledged records a position up to which proxies have seen every commit acknowledged. It has no effect if the
// position is known already.
func (l *Ledger) RecordAcknowledged(name string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if s := l.serviceLocked(name); s.bound.Position.Before(position) {
		s.bound, s.seenAt = Bound{position, "proxies"}, l.Clock.Now()
	}
}

// RecordPromotion records the state of a member that has become the primary. What other members had beyond it is rolled
// back, so earlier positions no longer count. The promotion also ends each pause.
func (l *Ledger) RecordPromotion(name, member string, state lab.MemberState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	s.bound, s.seenAt = Bound{state.Received, member}, l.Clock.Now()
	s.term, s.paused = max(s.term, state.Term), map[incarnation]bool{}
}

// RecordPrimary records the position in the primary's response to a request that was sent at the given time. Positions
// of a term that has ended, and those requested in the future, are ignored.
func (l *Ledger) RecordPrimary(name string, position lab.CommitPosition, requestedAt time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	if requestedAt > l.Clock.Now() || requestedAt <= s.primaryRequestedAt || position.Term < s.term {
		return
	}

	s.primaryPosition, s.primaryRequestedAt = position, requestedAt
	s.term = max(s.term, position.Term)

	for i := range s.ended {
		s.clear(&s.ended[i])
	}
}

// clear sets Cleared if the newest position of the primary was requested after a member's end.
func (s *service) clear(e *EndedMember) {
	if !e.Cleared && s.primaryRequestedAt >= e.endedAt+exitTime {
		e.Cleared, e.ClearedAt = true, s.primaryPosition
	}
}

// RecordPaused records that a replica receives nothing from its last recorded position on, or that it receives again.
func (l *Ledger) RecordPaused(replica lab.Announcement, paused bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.serviceLocked(replica.Database).paused[incarnation{replica.Member, replica.Incarnation}] = paused
}

// ForgetPauses forgets which replicas have been told to stop receiving. It is called while another control instance is
// the leader, which may let them receive again.
func (l *Ledger) ForgetPauses() {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	for _, s := range l.services {
		clear(s.paused)
	}
}

// RecordEnd records that a replica has ended by now.
func (l *Ledger) RecordEnd(replica lab.Announcement) {
	l.recordStop(replica, false, l.Clock.Now())
}

// RecordDown records that a replica doesn't run at present.
func (l *Ledger) RecordDown(replica lab.Announcement) {
	// A replica that doesn't run receives nothing, so exitTime doesn't apply.
	l.recordStop(replica, true, l.Clock.Now()-exitTime)
}

func (l *Ledger) recordStop(replica lab.Announcement, down bool, endedAt time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(replica.Database)

	if i := s.indexOf(replica); i >= 0 {
		s.ended[i].Down = s.ended[i].Down && down

		return
	}

	s.ended = append(s.ended, EndedMember{
		Member: replica, Down: down, Paused: s.paused[incarnation{replica.Member, replica.Incarnation}], endedAt: endedAt,
	})
}

// RecordRunning records that a replica runs. If it was down, it has not been so all the time.
func (l *Ledger) RecordRunning(replica lab.Announcement) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(replica.Database)
	if i := s.indexOf(replica); i >= 0 && s.ended[i].Down {
		s.ended = slices.Delete(s.ended, i, i+1)
	}
}

// indexOf returns the index of a replica's incarnation in ended, or a negative number.
func (s *service) indexOf(replica lab.Announcement) int {
	return slices.IndexFunc(s.ended, func(e EndedMember) bool {
		return e.Member.Member == replica.Member && e.Member.Incarnation == replica.Incarnation
	})
}

// Ended returns the replicas that have been down or have ended for at most labmembers.ExpireAfter.
func (l *Ledger) Ended(name string) []EndedMember {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	s.ended = slices.DeleteFunc(s.ended, func(e EndedMember) bool {
		return l.Clock.Now()-e.endedAt > labmembers.ExpireAfter
	})

	return slices.Clone(s.ended)
}

// Bound returns the lower bound for the log of the next primary. After labmembers.ExpireAfter without a member that is
// known to have the position there is none, since a service whose members are lost for good would stay without a primary.
func (l *Ledger) Bound(name string) Bound {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	if l.Clock.Now()-s.seenAt > labmembers.ExpireAfter {
		return Bound{}
	}

	return s.bound
}
