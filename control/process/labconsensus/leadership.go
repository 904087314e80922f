package labconsensus

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// groupStatus is a snapshot of the replica's state for other goroutines.
type groupStatus struct {
	leadership    lab.Leadership
	leading       bool
	quorumContact time.Duration // time of the last contact with a quorum, negative for none; see labreplica.Replica
	leaderLease   time.Duration // time after quorumContact for which the leader may assume that it still leads
	membership    labreplica.Membership
	committed     labreplica.Membership // latest committed membership
	caughtUp      []lab.InstanceID      // learners that the leader may make voters
	appliedIndex  uint64
}

// publish makes the current state of the replica visible to other goroutines.
func (g *Group) publish() {
	r := g.replica
	v := &groupStatus{
		leadership: lab.Leadership{Leader: r.Leader(), Term: r.Term()},
		leading:    r.Leading(), quorumContact: r.QuorumContact(), leaderLease: r.ElectionMin,
		membership: r.Membership(), committed: r.CommittedMembership(), caughtUp: r.CaughtUpLearners(),
		appliedIndex: r.AppliedIndex(),
	}

	if v.leading {
		v.leadership.Since = r.ElectedAt()
	}

	g.status.Store(v)
}

// Leadership returns the current leader as known to this instance.
func (g *Group) Leadership() lab.Leadership {
	v := g.status.Load()
	if v == nil {
		return lab.Leadership{}
	}

	l := v.leadership
	l.IsLeader = v.leading && v.quorumContact >= 0 && g.Clock.Now()-v.quorumContact < v.leaderLease

	return l
}

// Membership returns the latest membership that this instance knows of.
func (g *Group) Membership() labreplica.Membership {
	if v := g.status.Load(); v != nil {
		return v.membership
	}

	return labreplica.Membership{}
}

// CommittedMembership returns the latest membership that this instance knows to be committed. A later leader can't undo it.
func (g *Group) CommittedMembership() labreplica.Membership {
	if v := g.status.Load(); v != nil {
		return v.committed
	}

	return labreplica.Membership{}
}

// CaughtUpLearners returns the learners that this instance, as the leader, may make voters. One that is not reachable isn't among
// them.
func (g *Group) CaughtUpLearners() []lab.InstanceID {
	if v := g.status.Load(); v != nil {
		return v.caughtUp
	}

	return nil
}

// AppliedIndex returns the applied index: the index up to which the state machine has applied the log.
func (g *Group) AppliedIndex() uint64 {
	if v := g.status.Load(); v != nil {
		return v.appliedIndex
	}

	return 0
}
