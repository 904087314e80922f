package labdemo

import (
	"time"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

// Report is the outcome of a check; its JSON is one line.
type Report struct {
	Seed          uint64  `json:"seed"`
	ReplicaShare  float64 `json:"replica_read_share"`
	FailoverGapMS int64   `json:"failover_gap_ms"` // from the primary's loss to the first acknowledged write sent after it
	ActiveMS      int64   `json:"in_force_ms"`     // from the acceptance of a change until every proxy has it in force
	Reverted      int     `json:"reverted"`        // configuration changes that were gone after the restart

	labhistory.Counts
	labhistory.Violations

	primaryKilledAt time.Duration // when the primary was lost, since the load began
}

// Passed reports whether every invariant held and the deployment came back within the targets.
func (r *Report) Passed() bool {
	return !r.Any() && r.Reverted == 0 && r.Acknowledged > 0 && r.Reads > 0 &&
		r.FailoverGapMS >= 0 && r.FailoverGapMS <= maxFailoverGapMS && r.ActiveMS <= maxActiveMS
}

// The targets for a primary change and a configuration change, in milliseconds.
const (
	maxFailoverGapMS = 10_000
	maxActiveMS      = 10_000
)
