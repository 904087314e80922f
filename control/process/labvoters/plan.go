package labvoters

import (
	"strings"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	// VoterLostTimeout is how long a voter may be silent before another instance takes its place. It is above the outages of
	// a restart, so that an instance that only restarts keeps its vote.
	VoterLostTimeout = 4 * time.Second
	// LearnerRemovalTimeout is how long a silent learner is kept.
	LearnerRemovalTimeout = 10 * time.Second
)

// AddressSeparator divides the process address from the random part of an instance's identity.
const AddressSeparator = "/"

// Plan is the input of one decision.
type Plan struct {
	Self         lab.InstanceID
	Membership   labreplica.Membership
	TargetVoters int                              // voters wanted
	Reporting    []lab.InstanceID                 // live instances, sorted; those that are no members ask to join
	SilentFor    map[lab.InstanceID]time.Duration // how long each member has not been heard from
}

// Address returns the process address in an identity.
func Address(id lab.InstanceID) string {
	a, _, _ := strings.Cut(string(id), AddressSeparator)

	return a
}

// Next returns the next change of membership. Changes are made one at a time: a successor votes before the lost
// instance is removed, so that the group never has fewer copies than before.
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

// lostVoter prefers a voter whose address is used by a new identity, since that one can never return.
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

// addressReused reports whether a live instance uses the address of a silent one.
func (p *Plan) addressReused(id lab.InstanceID) bool {
	for _, j := range p.Reporting {
		if j != id && Address(j) == Address(id) {
			return true
		}
	}

	return false
}

func (p *Plan) successor() (lab.InstanceID, bool) {
	for _, l := range p.Membership.Learners {
		if p.SilentFor[l] < VoterLostTimeout && !p.addressReused(l) {
			return l, true
		}
	}

	return "", false
}
