package labreplica

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
	// ChangeDemote makes a voter a learner, which keeps its log and may be promoted again.
	ChangeDemote
)

// Change is a membership change of one instance.
type Change struct {
	Kind     ChangeKind
	Instance lab.InstanceID
}

// indexedMembership is a membership with the log index of its entry. A membership takes effect as soon as its entry is
// appended, even before the entry is committed.
type indexedMembership struct {
	index      uint64
	membership Membership
}

func snapshotMembership(s lab.LogSnapshot) Membership {
	return Membership{Voters: sorted(s.Voters), Learners: sorted(s.Learners), Joined: s.Joined}
}

func (r *Replica) membershipAt(index uint64) Membership {
	m := r.memberships[0].membership

	for _, h := range r.memberships {
		if h.index <= index {
			m = h.membership
		}
	}

	return m
}

func (r *Replica) truncateMemberships(from uint64) {
	r.memberships = slices.DeleteFunc(r.memberships, func(h indexedMembership) bool { return h.index >= from })
}

// Change appends a membership change and returns the index and term of its entry. Index 0 means that the membership
// already includes the change.
func (r *Replica) Change(now time.Duration, change Change) (index, term uint64, err error) {
	r.Tick(now)

	if r.role != leader {
		return 0, 0, lab.ErrNotLeader
	}

	// Two uncommitted changes could have quorums that don't overlap. An earlier term may have left an uncommitted change,
	// so a change must also wait until the first entry of this term is committed.
	if r.memberships[len(r.memberships)-1].index > r.commitIndex || r.commitIndex < r.termStart {
		return 0, 0, ErrChangePending
	}

	if r.includesChange(change) {
		return 0, r.hardState.Term, nil
	}

	next := r.Membership().apply(change, r.log.lastIndex()+1)
	if err := r.checkChange(change, next); err != nil {
		return 0, 0, err
	}

	return r.appendMembership(next)
}

func (r *Replica) appendMembership(next Membership) (index, term uint64, err error) {
	d, err := encodeMembership(next)
	if err != nil {
		return 0, 0, err
	}

	e := lab.LogEntry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Data: d}
	if err := r.appendEntry(e); err != nil {
		return 0, 0, err
	}

	r.updatePeers()

	return e.Index, e.Term, nil
}

func (r *Replica) includesChange(c Change) bool {
	m := r.Membership()

	switch c.Kind {
	case ChangeAddLearner:
		return m.Voter(c.Instance) || m.Learner(c.Instance)
	case ChangePromote:
		return m.Voter(c.Instance)
	case ChangeRemove:
		return !m.Voter(c.Instance) && !m.Learner(c.Instance)
	case ChangeDemote:
		return !m.Voter(c.Instance)
	}

	return false
}

// checkChange returns an error if the change promotes a learner that has not caught up, or if the next membership would
// have no reachable quorum.
func (r *Replica) checkChange(c Change, next Membership) error {
	if c.Kind == ChangePromote {
		if !r.Membership().Learner(c.Instance) || !r.caughtUp(c.Instance) {
			return ErrLearnerBehind
		}
	}

	n := 0

	for _, v := range next.Voters {
		if r.reachable(v) {
			n++
		}
	}

	if n < next.quorum() {
		return errors.Newf("%d of %d voters reachable: %w", n, len(next.Voters), ErrUnsafeChange)
	}

	return nil
}

// CaughtUpLearners returns the learners that this replica, as the leader, may make voters.
func (r *Replica) CaughtUpLearners() []lab.InstanceID {
	var out []lab.InstanceID

	for _, id := range r.Membership().Learners {
		if r.role == leader && r.caughtUp(id) {
			out = append(out, id)
		}
	}

	return out
}

// caughtUp reports whether a peer is reachable and lacks at most MaxPromotionLag committed entries. A leader that has demoted
// itself is a learner, but no peer.
func (r *Replica) caughtUp(id lab.InstanceID) bool {
	p := r.peer(id)

	return p != nil && r.reachable(id) && p.matchIndex+r.MaxPromotionLag >= r.commitIndex
}

// reachable reports whether the instance has responded within the minimum election timeout.
func (r *Replica) reachable(id lab.InstanceID) bool {
	if id == r.ID {
		return true
	}

	p := r.peer(id)

	return p != nil && p.lastContact != noContact && r.now-p.lastContact < r.ElectionMin
}
