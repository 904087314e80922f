package labpromoter

import (
	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

type decision uint8

const (
	decisionWait      decision = iota // too few members answered
	decisionCatchUp                   // the successor of a leaving primary must catch up first
	decisionPromote                   // promote the member
	decisionReinstate                 // the old primary continues its term
)

// requiredReadings returns how many members must be readable: an acknowledged write is on the primary and one replica, so all
// but one of the members, and at least two, always include it.
func requiredReadings(d *lab.Database, oldPrimary string, departing int) int {
	n := len(d.Members) + departing
	if _, known := d.Member(oldPrimary); !known {
		n++
	}

	return max(2, n-1)
}

// candidates returns the readings of members that follow the history; a member outside recovery follows it only as
// the old primary in its own term, or as the chosen member after its promotion.
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

// selectCandidate picks the most advanced member by term and received position. patient makes it wait for a member that stays
// when the most advanced one is leaving.
func selectCandidate(
	d *lab.Database, p labcatalog.Promotion, readings []reading, departing int, patient bool,
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
	if best.member.Draining && patient {
		return reading{}, decisionCatchUp
	}
	if best.member.Member == p.OldPrimary && !best.status.InRecovery {
		return best, decisionReinstate
	}

	return best, decisionPromote
}

// reinstate picks the old primary from too few readings for a promotion. It has everything that was acknowledged in
// its own term, so two readings are enough to see that no other member went further.
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

// moreAdvanced orders candidates by position; of equally advanced ones a staying member, then a replica, then one in the old
// primary's region wins. Candidates up to the term in force all lie on its history, where the offset alone tells who is
// more advanced: a replica may already report a term whose switch point it hasn't received yet.
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
