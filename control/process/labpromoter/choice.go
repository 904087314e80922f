package labpromoter

import (
	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

type decision uint8

const (
	decisionWait      decision = iota // too few members are readable
	decisionCatchUp                   // a successor of the leaving primary must catch up first
	decisionPromote                   // promote the selected member
	decisionReinstate                 // the old primary continues its primary term
)

// requiredReadings returns how many members must be readable before one is promoted: all but one, and at least two. An
// acknowledged write is on at least two members, the primary and a replica, so one of the readable members has it.
// Departing members count as members, and so does an old primary that is no longer a member.
func requiredReadings(d *lab.Database, oldPrimary string, departing int) int {
	n := len(d.Members) + departing
	if _, known := d.Member(oldPrimary); !known {
		n++
	}

	return max(2, n-1)
}

// candidates returns the readings of the members whose WAL position lies on the term history. A member that is not in
// recovery is a candidate only if it is the old primary in its own primary term, or the chosen member after its
// promotion.
func candidates(d *lab.Database, p labcatalog.Promotion, readings []reading) []reading {
	var list []reading
	for _, r := range readings {
		received := walPosition(r.status)
		promoted := r.member.Member == p.Chosen && received.Term >= p.Term
		primary := r.member.Member == p.OldPrimary && received.Term == d.CurrentTerm()
		switch {
		case !r.status.InRecovery && !promoted && !primary:
		case received.Term == 0, received.Term > d.CurrentTerm() && !promoted:
		case !d.History.Contains(received):
		default:
			list = append(list, r)
		}
	}

	return list
}

// selectCandidate selects the most advanced member by primary term and received position. If that member is leaving and
// waitForStaying is true, it returns decisionCatchUp, so that a member that is not leaving can catch up first.
func selectCandidate(
	d *lab.Database, p labcatalog.Promotion, readings []reading, departing int, waitForStaying bool,
) (reading, decision) {
	list := candidates(d, p, readings)
	if len(list) < requiredReadings(d, p.OldPrimary, departing) {
		return reinstate(d, p, list)
	}
	best := list[0]
	for _, r := range list[1:] {
		if moreAdvanced(d, p, r, best) {
			best = r
		}
	}
	if best.member.Draining && waitForStaying {
		return reading{}, decisionCatchUp
	}
	if best.member.Member == p.OldPrimary && !best.status.InRecovery {
		return best, decisionReinstate
	}

	return best, decisionPromote
}

// reinstate selects the old primary if too few members are readable for a promotion. The old primary has every write
// that was acknowledged in its primary term, so two readings suffice to check that no other member is ahead of it.
func reinstate(d *lab.Database, p labcatalog.Promotion, list []reading) (reading, decision) {
	for _, old := range list {
		if len(list) < 2 || old.member.Member != p.OldPrimary || old.status.InRecovery {
			continue
		}
		for _, r := range list {
			if walPosition(r.status).Offset > walPosition(old.status).Offset || walPosition(r.status).Term > d.CurrentTerm() {
				return reading{}, decisionWait
			}
		}

		return old, decisionReinstate
	}

	return reading{}, decisionWait
}

// moreAdvanced reports whether candidate a is preferred to b. It prefers the more advanced position. Among equal
// positions, it prefers a member that is not leaving, then a replica, then a member in the old primary's region.
//
// Candidates up to the current primary term all lie on its history, so the offset alone tells which one is more
// advanced. The term can't be compared first: a replica may already report a term whose switch point it hasn't received
// yet.
func moreAdvanced(d *lab.Database, p labcatalog.Promotion, a, b reading) bool {
	x, y := walPosition(a.status), walPosition(b.status)
	switch {
	case max(x.Term, y.Term) > d.CurrentTerm() && x.Term != y.Term:
		return x.Term > y.Term
	case x.Offset != y.Offset:
		return x.Offset > y.Offset
	}

	return preference(d, p, a) > preference(d, p, b)
}

func preference(d *lab.Database, p labcatalog.Promotion, r reading) int {
	n := 0
	if !r.member.Draining {
		n += 4
	}
	if r.status.InRecovery {
		n += 2
	}
	if old, known := d.Member(p.OldPrimary); known && old.Region == r.member.Region {
		n++
	}

	return n
}
