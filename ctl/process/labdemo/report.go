package labdemo

import (
	"time"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

// Report is the result of a check. It is printed as one line of JSON.
type Report struct {
	Seed          uint64  `json:"seed"`
	ReplicaShare  float64 `json:"replica_read_share"` // share of the reads that replicas served, 0 to 1
	FailoverGapMS int64   `json:"failover_gap_ms"`    // time from the primary's loss until a later write is acknowledged
	ActiveMS      int64   `json:"in_force_ms"`        // time from the acceptance of a change until all proxies apply it
	Reverted      int     `json:"reverted"`           // number of configuration changes lost when control was restarted

	labhistory.Counts
	labhistory.Violations

	primaryKilledAt time.Duration // when the primary was killed, relative to the start of the load
}

// Passed reports whether every invariant held and the deployment recovered within the limits.
func (r *Report) Passed() bool {
	return !r.Any() && r.Reverted == 0 && r.Acknowledged > 0 && r.Reads > 0 &&
		r.FailoverGapMS >= 0 && r.FailoverGapMS <= maxFailoverGapMS && r.ActiveMS <= maxActiveMS
}

// Limits for the interruption by a failover and for the time until a configuration change is active, in milliseconds.
const (
	maxFailoverGapMS = 10_000
	maxActiveMS      = 10_000
)
