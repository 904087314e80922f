package labvoters

import (
	"strings"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const (
	// LostAfter is how long a voter may be silent before another instance takes its place. It is above the outages of
	// a restart, so that an instance that only restarts keeps its vote.
	LostAfter = 4 * time.Second
	// ForgetAfter is how long a silent learner is kept.
	ForgetAfter = 10 * time.Second
)

// Separator divides the process address from the random part of an instance's identity.
const Separator = "/"

// Plan is the input of one decision.
type Plan struct {
	Self      lab.InstanceID
	Members   labreplica.Members
	Target    int                              // voters wanted
	Reporting []lab.InstanceID                 // live instances, sorted; those that are no members ask to join
	Silent    map[lab.InstanceID]time.Duration // how long each member has not been heard from
}

// Address returns the process address in an identity.
func Address(id lab.InstanceID) string {
	a, _, _ := strings.Cut(string(id), Separator)

	return a
}

// Next returns the next change of membership. Changes are made one at a time: a successor votes before the lost
// instance is removed, so that the group never has fewer copies than before.
func (p *Plan) Next() (labreplica.Change, bool) {
	for _, id := range p.Reporting {
		if !p.Members.Voter(id) && !p.Members.Learner(id) {
			return labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id}, true
		}
	}

	lost, anyLost := p.lostVoter()

	if anyLost && len(p.Members.Voters) > p.Target {
		return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: lost}, true
	}

	if anyLost || len(p.Members.Voters) < p.Target {
		if id, ok := p.successor(); ok {
			return labreplica.Change{Kind: labreplica.ChangePromote, Instance: id}, true
		}
	}

	for _, id := range p.Members.Learners {
		if p.Silent[id] > ForgetAfter || p.replaced(id) {
			return labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id}, true
		}
	}

	return labreplica.Change{}, false
}

// lostVoter prefers a voter whose address is used by a new identity, since that one can never return.
func (p *Plan) lostVoter() (lab.InstanceID, bool) {
	for _, v := range p.Members.Voters {
		if v != p.Self && p.replaced(v) {
			return v, true
		}
	}

	for _, v := range p.Members.Voters {
		if v != p.Self && p.Silent[v] > LostAfter {
			return v, true
		}
	}

	return "", false
}

// replaced reports whether a live instance uses the address of a silent one.
func (p *Plan) replaced(id lab.InstanceID) bool {
	for _, j := range p.Reporting {
		if j != id && Address(j) == Address(id) {
			return true
		}
	}

	return false
}

func (p *Plan) successor() (lab.InstanceID, bool) {
	for _, l := range p.Members.Learners {
		if p.Silent[l] < LostAfter && !p.replaced(l) {
			return l, true
		}
	}

	return "", false
}
