package labreplica

import (
	"slices"

	"laburnumlock.dev/lab"
)

// Membership lists the instances of the group, in ascending order.
type Membership struct {
	Voters   []lab.InstanceID `msgpack:"v"`
	Learners []lab.InstanceID `msgpack:"l"` // instances that receive the log but don't vote
}

// Voter reports whether the instance is a voter.
func (m Membership) Voter(id lab.InstanceID) bool {
	return slices.Contains(m.Voters, id)
}

// Learner reports whether the instance is a learner.
func (m Membership) Learner(id lab.InstanceID) bool {
	return slices.Contains(m.Learners, id)
}

// Instances returns the voters and learners in ascending order.
func (m Membership) Instances() []lab.InstanceID {
	return sorted(slices.Concat(m.Voters, m.Learners))
}

func (m Membership) quorum() int {
	return len(m.Voters)/2 + 1
}

func (m Membership) apply(change Change) Membership {
	voters := without(m.Voters, change.Instance)
	learners := without(m.Learners, change.Instance)

	switch change.Kind {
	case ChangeAddLearner:
		learners = append(learners, change.Instance)
	case ChangePromote:
		voters = append(voters, change.Instance)
	case ChangeRemove:
	}

	return Membership{Voters: sorted(voters), Learners: sorted(learners)}
}

func without(ids []lab.InstanceID, id lab.InstanceID) []lab.InstanceID {
	return slices.DeleteFunc(slices.Clone(ids), func(i lab.InstanceID) bool { return i == id })
}

func sorted(ids []lab.InstanceID) []lab.InstanceID {
	s := slices.Clone(ids)
	slices.Sort(s)

	return s
}
