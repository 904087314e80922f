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

// Address returns the process address in an identity.
func Address(id lab.InstanceID) string {
	a, _, _ := strings.Cut(string(id), AddressSeparator)

	return a
}

// NextChange returns the next membership change, or false when none is needed. Changes are made one at a time. A
// successor becomes a voter before the lost voter is removed, so that a replacement never reduces the number of copies
// of the log.
func (s *GroupState) NextChange() (labreplica.Change, bool) {
	for _, id := range s.LiveInstances {
		if !s.Membership.Voter(id) && !s.Membership.Learner(id) {
			return labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id}, true
		}
	}

	lost, anyLost := s.lostVoter()

	if anyLost && len(s.Membership.Voters) > s.TargetVoters {
		return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: lost}, true
	}

	if anyLost || len(s.Membership.Voters) < s.TargetVoters {
		if id, ok := s.successor(); ok {
			return labreplica.Change{Kind: labreplica.ChangePromote, Instance: id}, true
		}
	}

	for _, id := range s.Membership.Learners {
		if s.SilentFor[id] > LearnerRemovalTimeout || s.addressReused(id) {
			return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id}, true
		}
	}

	return labreplica.Change{}, false
}

// lostVoter returns a voter that must be replaced: one whose address is used by a new identity, which can never return, or
// one that has stopped or is silent. A voter that only restarts may be replaced too. It then joins again as a learner.
func (s *GroupState) lostVoter() (lab.InstanceID, bool) {
	for _, v := range s.Membership.Voters {
		if v != s.Self && s.addressReused(v) {
			return v, true
		}
	}

	for _, v := range s.Membership.Voters {
		if v != s.Self && (s.Stopped[v] || s.SilentFor[v] > s.VoterLostTimeout()) {
			return v, true
		}
	}

	return "", false
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

// successor returns the live learner that was heard from last. It can replace a lost voter. A promotion waits for the
// learner, so one that has just failed would delay the replacement.
func (s *GroupState) successor() (lab.InstanceID, bool) {
	var best lab.InstanceID

	for _, l := range s.Membership.Learners {
		if s.Stopped[l] || s.SilentFor[l] >= s.VoterLostTimeout() || s.addressReused(l) {
			continue
		}

		if best == "" || s.SilentFor[l] < s.SilentFor[best] {
			best = l
		}
	}

	return best, best != ""
}
