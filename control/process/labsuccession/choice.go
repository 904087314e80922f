package labsuccession

import "laburnumlock.dev/lab"

// ReplicaState is what one replica was seen to hold.
type ReplicaState struct {
	Member    lab.Announcement
	Readable  bool
	Received  lab.CommitPosition
	Ignorable bool // may be left unread: it stopped long before the primary did
}

// Choose returns the replica to promote. It must have received at least as much as every other replica; an unreadable
// one could alone hold an acknowledged commit, so nothing is chosen until it is readable or excused. Among equals one
// that stays and is in the region preferred by the caller wins.
func Choose(standings []ReplicaState, region string) (lab.Announcement, bool) {
	best := -1

	for i, s := range standings {
		if !s.Readable {
			if s.Ignorable {
				continue
			}

			return lab.Announcement{}, false
		}

		if best < 0 || moreAdvanced(s, standings[best], region) {
			best = i
		}
	}

	if best < 0 {
		return lab.Announcement{}, false
	}

	return standings[best].Member, true
}

func moreAdvanced(a, b ReplicaState, region string) bool {
	if a.Received != b.Received {
		return b.Received.Before(a.Received)
	}

	if a.Member.Draining != b.Member.Draining {
		return !a.Member.Draining
	}

	return a.Member.Region == region && b.Member.Region != region
}

// ChoosePreferred returns the replica that a planned replacement aims at while the primary still serves, and can bring any
// replica up to date: one that stays, in the preferred region, with the newest log.
func ChoosePreferred(standings []ReplicaState, region string) (lab.Announcement, bool) {
	best := -1

	for i, s := range standings {
		if !s.Readable || s.Member.Draining {
			continue
		}

		if best < 0 || morePreferred(s, standings[best], region) {
			best = i
		}
	}

	if best < 0 {
		return lab.Announcement{}, false
	}

	return standings[best].Member, true
}

func morePreferred(a, b ReplicaState, region string) bool {
	if (a.Member.Region == region) != (b.Member.Region == region) {
		return a.Member.Region == region
	}

	return b.Received.Before(a.Received)
}

// HasNewestLog reports whether the candidate has received everything that the other replicas have.
func HasNewestLog(standings []ReplicaState, candidate string) bool {
	var have lab.CommitPosition

	for _, s := range standings {
		if s.Member.Member == candidate {
			have = s.Received
		}
	}

	for _, s := range standings {
		if s.Readable && have.Before(s.Received) {
			return false
		}
	}

	return !have.IsZero()
}
