package labfailover

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// ReplicaState is the last known state of one replica.
type ReplicaState struct {
	Member   lab.Announcement
	Readable bool               // the last status request to the replica succeeded
	Received lab.CommitPosition // position of the last commit that the replica has received
	Term     uint64             // latest term that the replica knows
	Primary  bool               // the replica says that it is the primary, so an earlier order has taken effect
	Ordered  bool               // an earlier order for the replica may still take effect
	Paused   bool               // the replica receives nothing
	ReadAt   time.Duration      // time of the last state, on the clock of the replacement
	// Former is true for the former primary, and for its successor at the address.
	Former bool
	// SteppedDown is true for the former primary itself once it acknowledges nothing more. That ends with an order for it, and
	// with any promotion.
	SteppedDown bool
	// PrimaryLog is true if the member has the log of the former primary, which acknowledges nothing more: it is the former
	// primary itself, or its successor. It has every acknowledged commit.
	PrimaryLog bool
}

// Complete reports whether the readable replicas together have every acknowledged commit. A commit is acknowledged once
// one replica has received it, and it stays in the log of the primary. So one place may be left out, that of the former
// primary or, if that one is among the replicas, any other. If a replica has the log of the former primary, it is enough by
// itself. That a replica is silent, refuses connections or has ended doesn't show what it has received.
func Complete(replicas []ReplicaState) bool {
	if slices.ContainsFunc(replicas, func(s ReplicaState) bool { return s.PrimaryLog && HasNewestLog(replicas, s.Member.Member) }) {
		return true
	}

	unread, limit := 0, 0

	for _, s := range replicas {
		if !s.Readable {
			unread++
		}

		if s.Former || s.SteppedDown {
			limit = 1
		}
	}

	return unread <= limit
}

// Choose returns the replica to promote, which must have received at least as much as every other replica. Nothing is
// chosen until the replicas are complete. Among equally advanced replicas, one that already leads is preferred, then one
// for which an order is open: if that order takes effect later, nothing is lost. One that is not leaving follows, then one
// in the given region.
func Choose(replicas []ReplicaState, region string) (lab.Announcement, bool) {
	c, ok := newest(replicas, region)
	if !ok || !Complete(replicas) || !HasNewestLog(replicas, c.Member) {
		return lab.Announcement{}, false
	}

	return c, true
}

// newest returns the most advanced of the readable replicas.
func newest(replicas []ReplicaState, region string) (lab.Announcement, bool) {
	best := -1

	for i, s := range replicas {
		if s.Readable && (best < 0 || moreAdvanced(s, replicas[best], region)) {
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

// HasNewestLog reports whether the candidate is readable and has received everything that the other readable replicas
// have. Positions of different terms are read before and after a promotion, or at a replica that lacks commits of the
// new primary. A position of a later term with a lower number shows nothing about the missing commits.
func HasNewestLog(replicas []ReplicaState, candidate string) bool {
	have := receivedBy(replicas, candidate)

	for _, s := range replicas {
		if s.Member.Member == candidate && !s.Readable {
			return false
		}

		if s.Readable && !have.Covers(s.Received) {
			return false
		}
	}

	return !have.IsZero()
}

// leading returns a replica that says that it is the primary, unless it is the former one and has to be replaced.
func leading(replicas []ReplicaState) (lab.Announcement, bool) {
	i := slices.IndexFunc(replicas, func(s ReplicaState) bool {
		return s.Readable && s.Primary && (!s.Former || !s.Member.Draining)
	})
	if i < 0 {
		return lab.Announcement{}, false
	}

	return replicas[i].Member, true
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
