package labfailover

import (
	"time"

	"laburnumlock.dev/lab"
)

// ReplicaState is the last known state of one replica.
type ReplicaState struct {
	Member   lab.Announcement
	Readable bool               // the last status request to the replica succeeded
	Received lab.CommitPosition // position of the last commit that the replica has received
	Down     bool               // the last status request showed that the replica doesn't run
	Primary  bool               // the replica says that it is the primary, so an earlier order has taken effect
	Ordered  bool               // an earlier order for the replica may still take effect
	Paused   bool               // the replica receives nothing
	ReadAt   time.Duration      // time of the last state, on the clock of the replacement
}

// Choose returns the replica to promote, which must have received at least as much as every other replica. An
// unreadable replica could be the only one with an acknowledged commit, so nothing is chosen until every replica is
// readable or known to be down. What a replica that is down may have received is checked before the order. Among equally advanced replicas, one that already leads is preferred, then one for which
// an order is open: if that order takes effect later, nothing is lost. One that is not leaving follows, then one in the
// given region.
func Choose(replicas []ReplicaState, region string) (lab.Announcement, bool) {
	best := -1

	for i, s := range replicas {
		if !s.Readable {
			if s.Down {
				continue
			}

			return lab.Announcement{}, false
		}

		if best < 0 || moreAdvanced(s, replicas[best], region) {
			best = i
		}
	}

	if best < 0 {
		return lab.Announcement{}, false
	}

	return replicas[best].Member, true
}

func moreAdvanced(a, b ReplicaState, region string) bool {
	if a.Received != b.Received {
		return b.Received.Before(a.Received)
	}

	for _, preferred := range []func(ReplicaState) bool{
		func(s ReplicaState) bool { return s.Primary },
		func(s ReplicaState) bool { return s.Ordered },
		func(s ReplicaState) bool { return !s.Member.Draining },
		func(s ReplicaState) bool { return s.Member.Region == region },
	} {
		if preferred(a) != preferred(b) {
			return preferred(a)
		}
	}

	return false
}

// ChoosePreferred returns the replica for a planned replacement, where the primary still serves and can bring any
// replica up to date. It prefers a replica for which an order is open, then one in the given region, then the one with
// the newest log, and ignores leaving replicas.
func ChoosePreferred(replicas []ReplicaState, region string) (lab.Announcement, bool) {
	best := -1

	for i, s := range replicas {
		if !s.Readable || s.Member.Draining {
			continue
		}

		if best < 0 || morePreferred(s, replicas[best], region) {
			best = i
		}
	}

	if best < 0 {
		return lab.Announcement{}, false
	}

	return replicas[best].Member, true
}

func morePreferred(a, b ReplicaState, region string) bool {
	if a.Ordered != b.Ordered {
		return a.Ordered
	}

	if (a.Member.Region == region) != (b.Member.Region == region) {
		return a.Member.Region == region
	}

	return b.Received.Before(a.Received)
}

// HasNewestLog reports whether the candidate has received everything that the other readable replicas have.
func HasNewestLog(replicas []ReplicaState, candidate string) bool {
	have := receivedBy(replicas, candidate)

	for _, s := range replicas {
		if s.Readable && have.Before(s.Received) {
			return false
		}
	}

	return !have.IsZero()
}

// receivedBy returns the position of a replica, or the zero position if it is not among the replicas.
func receivedBy(replicas []ReplicaState, member string) lab.CommitPosition {
	for _, s := range replicas {
		if s.Member.Member == member {
			return s.Received
		}
	}

	return lab.CommitPosition{}
}
