package labreplica

import (
	"maps"
	"slices"

	"laburnumlock.dev/lab"
)

// Membership lists the instances of the group, in ascending order.
type Membership struct {
	Voters   []lab.InstanceID `msgpack:"v"`
	Learners []lab.InstanceID `msgpack:"l"` // instances that receive the log but don't vote
	// Joined has the index of the entry that added an instance, so that an instance can be told from its successor. It has
	// none for the initial voters.
	Joined map[lab.InstanceID]uint64 `msgpack:"j,omitempty"`
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

// apply returns the membership after a change whose entry has the given index.
func (m Membership) apply(change Change, index uint64) Membership {
	voters := without(m.Voters, change.Instance)
	learners := without(m.Learners, change.Instance)
	joined := maps.Clone(m.Joined)

	switch change.Kind {
	case ChangeAddLearner:
		learners = append(learners, change.Instance)

		if joined == nil {
			joined = map[lab.InstanceID]uint64{}
		}

		joined[change.Instance] = index
	case ChangePromote:
		voters = append(voters, change.Instance)
	case ChangeDemote:
		learners = append(learners, change.Instance)
	case ChangeRemove:
		delete(joined, change.Instance)
	}

	return Membership{Voters: sorted(voters), Learners: sorted(learners), Joined: joined}
}

func without(ids []lab.InstanceID, id lab.InstanceID) []lab.InstanceID {
	return slices.DeleteFunc(slices.Clone(ids), func(i lab.InstanceID) bool { return i == id })
}

func sorted(ids []lab.InstanceID) []lab.InstanceID {
	s := slices.Clone(ids)
	slices.Sort(s)

	return s
}
