package labscenario

import "fmt"

// The bounds that a run must meet. They follow from the users' targets.
const (
	maxFailoverGapMS                = 10_000 // time from the loss of the primary to the next acknowledged write: 10 s
	minBoundedStalenessReplicaShare = 0.95   // share of bounded-staleness reads that run on replicas
	minOtherReplicaShare            = 0.80   // share of other reads that run on replicas, at a replication lag of 50 ms
	minGoodputRatio                 = 0.95   // share of the goodput at capacity that remains at three times that load
)

// MissedBounds describes each bound of the scenario that was missed in the run.
func (r *Report) MissedBounds() []string {
	var missed []string

	check := func(met bool, format string, a ...any) {
		if !met {
			missed = append(missed, fmt.Sprintf(format, a...))
		}
	}

	switch r.Scenario {
	case PrimaryLost:
		check(r.FailoverGapMS >= 0 && r.FailoverGapMS <= maxFailoverGapMS,
			"failover gap %d ms, bound %d ms", r.FailoverGapMS, maxFailoverGapMS)
	case Overload:
		check(r.GoodputRatio >= minGoodputRatio, "goodput ratio %.3f, bound %.2f", r.GoodputRatio, minGoodputRatio)
	case Steady:
		check(r.BoundedStalenessReplicaShare >= minBoundedStalenessReplicaShare,
			"replica share of reads that accept an age %.3f, bound %.2f",
			r.BoundedStalenessReplicaShare, minBoundedStalenessReplicaShare)
		check(r.OtherReplicaShare >= minOtherReplicaShare,
			"replica share of other reads %.3f, bound %.2f", r.OtherReplicaShare, minOtherReplicaShare)
	}

	return missed
}
