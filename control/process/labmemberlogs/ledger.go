package labmemberlogs

import (
	"maps"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// acknowledgedSource is the source of a bound that proxies have reported.
const acknowledgedSource = "proxies"

// Bound is the position that the log of the next primary of a service must have reached.
type Bound struct {
	Position lab.CommitPosition // zero if no position is known
	Source   string             // member at which the position was read, for logs
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
	bound Bound
	term  uint64 // highest term that a primary is known to lead

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

func (l *Ledger) raise(name, source string, position lab.CommitPosition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if s := l.serviceLocked(name); s.bound.Position.Before(position) {
		s.bound = Bound{position, source}
	}
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

// RecordPromotion records that a member with the given log has become the primary of a term. What other members had beyond
// it is rolled back, so earlier positions no longer count.
func (l *Ledger) RecordPromotion(name, member string, position lab.CommitPosition, term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	s := l.serviceLocked(name)
	s.bound, s.term = Bound{position, member}, max(s.term, term)
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
