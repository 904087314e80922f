package labmemberlogs

import (
	"maps"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// acknowledgedSource is the source of a bound that proxies have reported.
const acknowledgedSource = "proxies"

// primarySource is the source of a bound that was lowered to a position of the primary that proxies have reported.
const primarySource = "primary"

// Bound is the position that the log of the next primary of a service must cover.
type Bound struct {
	// Position has the highest term and the highest number that are known, which may come from different members. It is
	// zero if no position is known.
	Position lab.CommitPosition
	Source   string // member at which the position was read, for logs
}

// Ledger holds what is known about the logs of the members of each service. It is safe for concurrent use; its exported
// field is set before use.
type Ledger struct {
	Clock lab.Clock

	mutex    sync.Mutex
	services map[string]*service
}

// service is what is known about one service. Points in time are on the ledger's clock.
type service struct {
	bound      Bound
	numberTerm uint64 // term in which the number of the bound was read
	term       uint64 // highest term that a primary is known to lead
	confirmed  uint64 // highest term of a confirmed promotion

	primaryPosition    lab.CommitPosition // newest known position of the primary
	primaryRequestedAt time.Duration      // time of the request for primaryPosition
}

func (l *Ledger) serviceLocked(name string) *service {
	if l.services == nil {
		l.services = map[string]*service{}
	}

	s, ok := l.services[name]
	if !ok {
		s = &service{}
		l.services[name] = s
	}

	return s
}

// RecordReplica records a position that was read at a replica.
func (l *Ledger) RecordReplica(name, member string, position lab.CommitPosition) {
	l.raise(name, member, position)
}

// RecordOrder records the position of the candidate of a promotion order, as the replicated log holds it.
func (l *Ledger) RecordOrder(name, member string, position lab.CommitPosition) {
	l.raise(name, member, position)
}

// RecordAcknowledged records a position up to which proxies know every commit to be acknowledged. Positions of a term that
// has ended are ignored, since the promotion has rolled back what was beyond it.
func (l *Ledger) RecordAcknowledged(name string, position lab.CommitPosition) {
	l.mutex.Lock()
	ended := position.Term < l.serviceLocked(name).term
	l.mutex.Unlock()

	if !ended {
		l.raise(name, acknowledgedSource, position)
	}
}

// raise raises the term and the number of the bound separately. A replica that has learned of a new term may have fewer
// commits than were kept when that term began, so its position doesn't lower the number. A position of a term before that
// of the bound counts only until the later term is known to have a primary, and none counts that is of a term before a
// confirmed promotion: a former primary may still report what was rolled back.
func (l *Ledger) raise(name, source string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)

	b := s.bound.Position
	if b.Covers(position) || position.Term < max(s.confirmed, min(b.Term, s.term)) {
		return
	}

	if position.Number >= b.Number {
		s.numberTerm = position.Term
	}

	s.bound = Bound{lab.CommitPosition{Term: max(b.Term, position.Term), Number: max(b.Number, position.Number)}, source}
}

// RecordLeading records the position that a primary has reported about itself. Its log has everything that was kept when
// its term began, so commits of earlier terms beyond it are rolled back.
func (l *Ledger) RecordLeading(name, member string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.serviceLocked(name).rollBack(member, position)
}

// rollBack lowers the number of the bound to that of a primary if it was read in an earlier term. A member that has not
// learned of the primary's term may still have what was rolled back, so it no longer reaches the bound.
func (s *service) rollBack(source string, primary lab.CommitPosition) {
	if s.numberTerm < primary.Term && primary.Number < s.bound.Position.Number {
		s.bound = Bound{lab.CommitPosition{Term: max(s.bound.Position.Term, primary.Term), Number: primary.Number}, source}
	}
}

// RecordPromotion records that a member with the given log has become the primary of a term. What other members had beyond
// it is rolled back, so earlier positions no longer count.
func (l *Ledger) RecordPromotion(name, member string, position lab.CommitPosition, term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	s.bound, s.numberTerm = Bound{position, member}, position.Term
	s.term, s.confirmed = max(s.term, term), max(s.confirmed, term)
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
	s.rollBack(primarySource, position)
}

// PrimarySince returns the newest known position of the primary if it was requested at the given time or later.
func (l *Ledger) PrimarySince(name string, since time.Duration) (lab.CommitPosition, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)

	return s.primaryPosition, s.primaryRequestedAt > 0 && s.primaryRequestedAt >= since
}

// Bound returns the lower bound for the log of the next primary.
func (l *Ledger) Bound(name string) Bound {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.serviceLocked(name).bound
}

// Retain forgets the services for which keep returns false.
func (l *Ledger) Retain(keep func(name string) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	maps.DeleteFunc(l.services, func(name string, _ *service) bool { return !keep(name) })
}
