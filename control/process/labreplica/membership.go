package labreplica

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The membership changes.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
)

// Change is a membership change of one instance.
type Change struct {
	Kind     ChangeKind
	Instance lab.InstanceID
}

// membership is in force from an index on, committed or not.
type membership struct {
	index   uint64
	members Members
}

func snapshotMembers(s lab.LogSnapshot) Members {
	return Members{Voters: sorted(s.Voters), Learners: sorted(s.Learners)}
}

func (r *Replica) membersAt(index uint64) Members {
	m := r.history[0].members

	for _, h := range r.history {
		if h.index <= index {
			m = h.members
		}
	}

	return m
}

func (r *Replica) forgetMembers(from uint64) {
	r.history = slices.DeleteFunc(r.history, func(h membership) bool { return h.index >= from })
}

// Change appends a membership change and returns its index and term; index 0 means that the change is already in force.
func (r *Replica) Change(now time.Duration, change Change) (index, term uint64, err error) {
	r.Tick(now)

	if r.role != leader {
		return 0, 0, lab.ErrNotLeader
	}

	// Two uncommitted changes, or one of an earlier term, could give quorums that don't overlap.
	if r.history[len(r.history)-1].index > r.commit || r.commit < r.termStart {
		return 0, 0, ErrChangePending
	}

	if r.inForce(change) {
		return 0, r.state.Term, nil
	}

	next := r.Members().apply(change)
	if err := r.checkChange(change, next); err != nil {
		return 0, 0, err
	}

	return r.appendMembers(next)
}

func (r *Replica) appendMembers(next Members) (index, term uint64, err error) {
	d, err := membersData(next)
	if err != nil {
		return 0, 0, err
	}

	e := lab.LogEntry{Index: r.log.last() + 1, Term: r.state.Term, Data: d}
	if err := r.appendEntry(e); err != nil {
		return 0, 0, err
	}

	r.syncPeers()

	return e.Index, e.Term, nil
}

func (r *Replica) inForce(c Change) bool {
	m := r.Members()

	switch c.Kind {
	case ChangeAddLearner:
		return m.Voter(c.Instance) || m.Learner(c.Instance)
	case ChangePromote:
		return m.Voter(c.Instance)
	case ChangeRemove:
		return !m.Voter(c.Instance) && !m.Learner(c.Instance)
	}

	return false
}

func (r *Replica) checkChange(c Change, next Members) error {
	if c.Kind == ChangePromote {
		p := r.peer(c.Instance)
		if !r.Members().Learner(c.Instance) || !r.active(c.Instance) || p.match+r.PromoteLag < r.commit {
			return ErrLearnerBehind
		}
	}

	n := 0

	for _, v := range next.Voters {
		if r.active(v) {
			n++
		}
	}

	if n < next.quorum() {
		return errors.Newf("%d of %d voters reachable: %w", n, len(next.Voters), ErrUnsafeChange)
	}

	return nil
}

func (r *Replica) active(id lab.InstanceID) bool {
	if id == r.ID {
		return true
	}

	p := r.peer(id)

	return p != nil && p.contact != never && r.now-p.contact < r.ElectionMin
}
