package labvoters

import (
	"strings"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	// DefaultCatchUpPeriod is used while GroupState.CatchUpPeriod is 0.
	DefaultCatchUpPeriod = 4 * time.Second
	// voterLostShare is the divisor of the catch-up period that gives the time after which a silent voter is replaced. The
	// replacement must end within that period: the rest of it is for an election and two membership changes.
	voterLostShare = 2
	// LearnerRemovalTimeout is how long a learner may send no message before it is removed.
	LearnerRemovalTimeout = 10 * time.Second
)

// AddressSeparator separates the process address from the random part of an instance's identity.
const AddressSeparator = "/"

// GroupState is the part of the control group's state that determines the next membership change.
type GroupState struct {
	Self          lab.InstanceID // leader of the group, which makes the change
	Membership    labreplica.Membership
	TargetVoters  int                              // wanted number of voters
	LiveInstances []lab.InstanceID                 // sorted live instances, including those that request to join
	CaughtUp      []lab.InstanceID                 // learners that are reachable and have the log
	Zones         map[lab.InstanceID]string        // availability zones of the instances, as far as they are known
	SilentFor     map[lab.InstanceID]time.Duration // time since the last message from each voter and learner
	Stopped       map[lab.InstanceID]bool          // instances that have said that they stop, and were silent since
	// CatchUpPeriod is the time after the start of an instance after which the group must bear the loss of another one.
	CatchUpPeriod time.Duration
}

// VoterLostTimeout returns how long a voter may send no message before a learner replaces it.
func (s *GroupState) VoterLostTimeout() time.Duration {
	if s.CatchUpPeriod <= 0 {
		return DefaultCatchUpPeriod / voterLostShare
	}

	return s.CatchUpPeriod / voterLostShare
}

// Absent reports whether an instance has stopped, or is silent for longer than VoterLostTimeout.
func (s *GroupState) Absent(id lab.InstanceID) bool {
	return s.Stopped[id] || s.SilentFor[id] > s.VoterLostTimeout()
}

// Address returns the process address in an identity.
func Address(id lab.InstanceID) string {
	a, _, _ := strings.Cut(string(id), AddressSeparator)

	return a
}

// NextChange returns the next membership change, or false when none is needed. Changes are made one at a time. A
// successor becomes a voter before the former voter ceases to be one, so that a replacement never reduces the number of
// copies of the log.
func (s *GroupState) NextChange() (labreplica.Change, bool) {
	for _, next := range []func() (labreplica.Change, bool){s.nextLearner, s.nextDemotion, s.nextPromotion, s.nextRemoval} {
		if c, ok := next(); ok {
			return c, true
		}
	}

	return labreplica.Change{}, false
}

// nextLearner adds an instance that requests to join.
func (s *GroupState) nextLearner() (labreplica.Change, bool) {
	for _, id := range s.LiveInstances {
		if !s.Membership.Voter(id) && !s.Membership.Learner(id) {
			return labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id}, true
		}
	}

	return labreplica.Change{}, false
}

// nextDemotion makes a voter that is lost or has a successor a learner once there are more voters than wanted.
func (s *GroupState) nextDemotion() (labreplica.Change, bool) {
	if len(s.Membership.Voters) <= s.TargetVoters {
		return labreplica.Change{}, false
	}

	id, ok := s.lostVoter()
	if ok && s.addressReused(id) {
		return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id}, true
	}

	if !ok {
		id, ok = s.succeededVoter()
	}

	return labreplica.Change{Kind: labreplica.ChangeDemote, Instance: id}, ok
}

// nextPromotion makes a learner a voter where one is missing, lost or has a successor.
func (s *GroupState) nextPromotion() (labreplica.Change, bool) {
	_, needed := s.lostVoter()
	needed = needed || len(s.Membership.Voters) < s.TargetVoters

	id, ok := s.nextVoter()
	if ok && !needed {
		_, succeeded := s.succeededVoter()
		ok = succeeded && !s.succeeded(id)
	}

	return labreplica.Change{Kind: labreplica.ChangePromote, Instance: id}, ok
}

// nextRemoval removes a learner that has lost its disk or is silent for long.
func (s *GroupState) nextRemoval() (labreplica.Change, bool) {
	for _, id := range s.Membership.Learners {
		if s.SilentFor[id] > LearnerRemovalTimeout || s.addressReused(id) {
			return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id}, true
		}
	}

	return labreplica.Change{}, false
}

// lostVoter returns a voter that must be replaced: one whose address is used by a new identity, which can never return, or
// one that has stopped or is silent. A voter that only restarts may be replaced too. It is then a learner.
func (s *GroupState) lostVoter() (lab.InstanceID, bool) {
	for _, v := range s.Membership.Voters {
		if v != s.Self && s.addressReused(v) {
			return v, true
		}
	}

	for _, v := range s.Membership.Voters {
		if v != s.Self && s.Absent(v) {
			return v, true
		}
	}

	return "", false
}

// succeededVoter returns a voter that has a successor. It may be the leader.
func (s *GroupState) succeededVoter() (lab.InstanceID, bool) {
	for _, v := range s.Membership.Voters {
		if s.succeeded(v) {
			return v, true
		}
	}

	return "", false
}

// succeeded reports whether a live instance has joined the group in the same availability zone as an instance, but later. It
// is taken for the successor of that instance, which may then end at any moment without a message, before or after that.
func (s *GroupState) succeeded(id lab.InstanceID) bool {
	zone := s.Zones[id]
	if zone == "" {
		return false
	}

	for _, j := range s.LiveInstances {
		if s.Zones[j] == zone && !s.Stopped[j] && s.Membership.Joined[j] > s.Membership.Joined[id] {
			return true
		}
	}

	return false
}

// addressReused reports whether a live instance with another identity uses the same address.
func (s *GroupState) addressReused(id lab.InstanceID) bool {
	for _, j := range s.LiveInstances {
		if j != id && Address(j) == Address(id) {
			return true
		}
	}

	return false
}

// nextVoter returns the learner that becomes a voter next: of those that have caught up, the one that was heard from last. An
// instance that has a successor comes last.
func (s *GroupState) nextVoter() (lab.InstanceID, bool) {
	var best lab.InstanceID

	for _, l := range s.CaughtUp {
		if s.Absent(l) || s.addressReused(l) {
			continue
		}

		if best == "" || s.preferred(l, best) {
			best = l
		}
	}

	return best, best != ""
}

// preferred reports whether learner a becomes a voter before learner b.
func (s *GroupState) preferred(a, b lab.InstanceID) bool {
	if sa, sb := s.succeeded(a), s.succeeded(b); sa != sb {
		return sb
	}

	return s.SilentFor[a] < s.SilentFor[b]
}
