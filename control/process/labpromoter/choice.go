package labpromoter

import (
	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

type verdict uint8

const (
	verdictWait      verdict = iota // too few members answered
	verdictCatchUp                  // the successor of a leaving primary must catch up first
	verdictPromote                  // promote the member
	verdictReinstate                // the old primary continues its term
)

// needed returns how many members must be readable: an acknowledged write is on the primary and one replica, so all
// but one of the members, and at least two, always include it.
func needed(d *lab.Database, oldPrimary string, departing int) int {
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
		received := position(r.status)
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

// choose picks the most advanced member by term and received position. patient makes it wait for a member that stays
// when the most advanced one is leaving.
func choose(
	d *lab.Database, p labcatalog.Promotion, readings []reading, departing int, patient bool,
) (reading, verdict) {
	list := candidates(d, p, readings)
	if len(list) < needed(d, p.OldPrimary, departing) {
		return reinstate(d, p, list)
	}
	best := list[0]
	for _, r := range list[1:] {
		if better(d, p, r, best) {
			best = r
		}
	}
	if best.member.Draining && patient {
		return reading{}, verdictCatchUp
	}
	if best.member.Member == p.OldPrimary && !best.status.InRecovery {
		return best, verdictReinstate
	}

	return best, verdictPromote
}

// reinstate picks the old primary from too few readings for a promotion. It has everything that was acknowledged in
// its own term, so two readings are enough to see that no other member went further.
func reinstate(d *lab.Database, p labcatalog.Promotion, list []reading) (reading, verdict) {
	for _, old := range list {
		if len(list) < 2 || old.member.Member != p.OldPrimary || old.status.InRecovery {
			continue
		}
		for _, r := range list {
			if position(r.status).Offset > position(old.status).Offset || position(r.status).Term > d.CurrentTerm() {
				return reading{}, verdictWait
			}
		}

		return old, verdictReinstate
	}

	return reading{}, verdictWait
}

// better orders candidates by position; of equally advanced ones a staying member, then a replica, then one in the old
// primary's region wins. Candidates up to the term in force all lie on its history, where the offset alone tells who is
// more advanced: a replica may already report a term whose switch point it hasn't received yet.
func better(d *lab.Database, p labcatalog.Promotion, a, b reading) bool {
	x, y := position(a.status), position(b.status)
	switch {
	case max(x.Term, y.Term) > d.CurrentTerm() && x.Term != y.Term:
		return x.Term > y.Term
	case x.Offset != y.Offset:
		return x.Offset > y.Offset
	}

	return rank(d, p, a) > rank(d, p, b)
}

func rank(d *lab.Database, p labcatalog.Promotion, r reading) int {
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
