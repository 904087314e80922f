package labconsensus

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// groupStatus is what other goroutines may read of the replica.
type groupStatus struct {
	leadership    lab.Leadership
	leading       bool
	quorumContact time.Duration // latest time since which a quorum has answered
	leaderLease   time.Duration // how long contact remains valid
	membership    labreplica.Membership
	appliedIndex  uint64
}

func (g *Group) publish() {
	r := g.replica
	v := &groupStatus{
		leadership: lab.Leadership{Leader: r.Leader(), Term: r.Term()},
		leading:    r.Leading(), quorumContact: r.QuorumContact(), leaderLease: r.ElectionMin,
		membership: r.Membership(), appliedIndex: r.AppliedIndex(),
	}

	if v.leading {
		v.leadership.Since = r.ElectedAt()
	}

	g.status.Store(v)
}

// Leadership returns the current view of who leads.
func (g *Group) Leadership() lab.Leadership {
	v := g.status.Load()
	if v == nil {
		return lab.Leadership{}
	}

	l := v.leadership
	l.Self = v.leading && v.quorumContact >= 0 && g.Clock.Now()-v.quorumContact < v.leaderLease

	return l
}

// Members returns the voters and learners in force at this instance.
func (g *Group) Members() labreplica.Membership {
	if v := g.status.Load(); v != nil {
		return v.membership
	}

	return labreplica.Membership{}
}

// Applied returns the index up to which the state machine has executed the log.
func (g *Group) Applied() uint64 {
	if v := g.status.Load(); v != nil {
		return v.appliedIndex
	}

	return 0
}
