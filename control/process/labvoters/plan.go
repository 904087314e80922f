package labvoters

import (
	"strings"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	// VoterLostTimeout is how long a voter may be silent before another instance replaces it. It is longer than the outage
	// of a restart, so that an instance that only restarts remains a voter.
	VoterLostTimeout = 4 * time.Second
	// LearnerRemovalTimeout is how long a learner may be silent before it is removed.
	LearnerRemovalTimeout = 10 * time.Second
)

// AddressSeparator separates the process address from the random part of an instance's identity.
const AddressSeparator = "/"

// Plan holds the input for the decision on the next membership change.
type Plan struct {
	Self         lab.InstanceID
	Membership   labreplica.Membership
	TargetVoters int                              // wanted number of voters
	Reporting    []lab.InstanceID                 // sorted live instances, including those that request to join
	SilentFor    map[lab.InstanceID]time.Duration // time since the last message from each voter and learner
}

// Address returns the process address in an identity.
func Address(id lab.InstanceID) string {
	a, _, _ := strings.Cut(string(id), AddressSeparator)

	return a
}

// Next returns the next membership change, or false when none is needed. Changes are made one at a time. A successor
// becomes a voter before the lost voter is removed, so that a replacement never reduces the copies of the log.
func (p *Plan) Next() (labreplica.Change, bool) {
	for _, id := range p.Reporting {
		if !p.Membership.Voter(id) && !p.Membership.Learner(id) {
			return labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id}, true
		}
	}

	lost, anyLost := p.lostVoter()

	if anyLost && len(p.Membership.Voters) > p.TargetVoters {
		return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: lost}, true
	}

	if anyLost || len(p.Membership.Voters) < p.TargetVoters {
		if id, ok := p.successor(); ok {
			return labreplica.Change{Kind: labreplica.ChangePromote, Instance: id}, true
		}
	}

	for _, id := range p.Membership.Learners {
		if p.SilentFor[id] > LearnerRemovalTimeout || p.addressReused(id) {
			return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id}, true
		}
	}

	return labreplica.Change{}, false
}

// lostVoter returns a voter that must be replaced. It prefers a voter whose address is used by a new identity, because
// such a voter can never return.
func (p *Plan) lostVoter() (lab.InstanceID, bool) {
	for _, v := range p.Membership.Voters {
		if v != p.Self && p.addressReused(v) {
			return v, true
		}
	}

	for _, v := range p.Membership.Voters {
		if v != p.Self && p.SilentFor[v] > VoterLostTimeout {
			return v, true
		}
	}

	return "", false
}

// addressReused reports whether a live instance with another identity uses the same address.
func (p *Plan) addressReused(id lab.InstanceID) bool {
	for _, j := range p.Reporting {
		if j != id && Address(j) == Address(id) {
			return true
		}
	}

	return false
}

// successor returns a live learner that can replace a lost voter.
func (p *Plan) successor() (lab.InstanceID, bool) {
	for _, l := range p.Membership.Learners {
		if p.SilentFor[l] < VoterLostTimeout && !p.addressReused(l) {
			return l, true
		}
	}

	return "", false
}
