package labconsensus

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// view is what other goroutines may read of the replica.
type view struct {
	leadership lab.Leadership
	leads      bool
	contact    time.Duration // latest time since which a quorum has answered
	lease      time.Duration // how long contact remains valid
	members    labreplica.Members
	applied    uint64
}

func (g *Group) publish() {
	r := g.replica
	v := &view{
		leadership: lab.Leadership{Leader: r.Leader(), Term: r.Term()},
		leads:      r.Leading(), contact: r.QuorumContact(), lease: r.ElectionMin,
		members: r.Members(), applied: r.Applied(),
	}

	if v.leads {
		v.leadership.Since = r.Elected()
	}

	g.view.Store(v)
}

// Leadership returns the current view of who leads.
func (g *Group) Leadership() lab.Leadership {
	v := g.view.Load()
	if v == nil {
		return lab.Leadership{}
	}

	l := v.leadership
	l.Self = v.leads && v.contact >= 0 && g.Clock.Now()-v.contact < v.lease

	return l
}

// Members returns the voters and learners in force at this instance.
func (g *Group) Members() labreplica.Members {
	if v := g.view.Load(); v != nil {
		return v.members
	}

	return labreplica.Members{}
}

// Applied returns the index up to which the state machine has executed the log.
func (g *Group) Applied() uint64 {
	if v := g.view.Load(); v != nil {
		return v.applied
	}

	return 0
}
