package labscenario

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

// Report holds the measured values of one run.
type Report struct {
	Scenario    string  `json:"scenario"`
	Deployment  string  `json:"deployment"`
	Seed        uint64  `json:"seed"`
	Seconds     float64 `json:"seconds"`
	OfferedPerS float64 `json:"offered_per_s"`
	// GoodputPerS is the number of operations per second that succeeded within the deadline.
	GoodputPerS float64 `json:"goodput_per_s"`
	ReadP50MS   float64 `json:"read_p50_ms"`
	ReadP99MS   float64 `json:"read_p99_ms"`
	WriteP50MS  float64 `json:"write_p50_ms"`
	WriteP99MS  float64 `json:"write_p99_ms"`
	// BoundedStalenessReplicaShare is the share of bounded-staleness reads that ran on replicas. OtherReplicaShare is the
	// share of all other reads that ran on replicas.
	BoundedStalenessReplicaShare float64 `json:"replica_share_aged"`
	OtherReplicaShare            float64 `json:"replica_share_others"`
	// FailoverGapMS is the time from the loss of the primary to the next acknowledged write. It is -1 if the primary was
	// not lost, and 0 if no later write was acknowledged.
	FailoverGapMS int64 `json:"failover_gap_ms"`
	// FailoverWriteErrors is the number of writes that ended with an error after the loss of the primary.
	FailoverWriteErrors int `json:"failover_write_errors"`
	// CapacityPerS is the goodput at a load equal to the estimated capacity of the members. GoodputRatio is the share of
	// this goodput that remains at three times the load.
	CapacityPerS float64 `json:"capacity_per_s,omitempty"`
	GoodputRatio float64 `json:"goodput_ratio_3x,omitempty"`
	// MaxSlots and MaxConnections are the highest numbers of concurrent statements and of open connections at one member.
	MaxSlots       int `json:"max_slots"`
	MaxConnections int `json:"max_connections"`
	// SlotLimit and ConnectionLimit are the limits for MaxSlots and MaxConnections that the deployment file states.
	SlotLimit       int `json:"slot_limit"`
	ConnectionLimit int `json:"connection_limit"`

	labhistory.Counts
	labhistory.Violations
}

// Passed reports whether no invariant was violated and no limit of a member was exceeded.
func (r *Report) Passed() bool {
	return !r.Any() && r.MaxSlots <= r.SlotLimit && r.MaxConnections <= r.ConnectionLimit
}

// Print writes the report as a table and as one line of JSON.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, a ...any) { _, _ = fmt.Fprintf(t, name+"\t"+format+"\n", a...) }

	row("scenario", "%s, %s, seed %d, %.0f s", r.Scenario, r.Deployment, r.Seed, r.Seconds)
	row("offered, goodput", "%.0f/s, %.0f/s", r.OfferedPerS, r.GoodputPerS)
	row("writes acknowledged, reads", "%d, %d", r.Acknowledged, r.Reads)
	row("not run, outcome unknown", "%d, %d", r.NotRun, r.Unknown)
	row("read p50, p99", "%.1f ms, %.1f ms", r.ReadP50MS, r.ReadP99MS)
	row("write p50, p99", "%.1f ms, %.1f ms", r.WriteP50MS, r.WriteP99MS)
	row("replica share bounded staleness, others", "%.3f, %.3f", r.BoundedStalenessReplicaShare, r.OtherReplicaShare)
	row("failover gap, write errors", "%d ms, %d", r.FailoverGapMS, r.FailoverWriteErrors)
	row("maximum slots, connections", "%d of %d, %d of %d", r.MaxSlots, r.SlotLimit, r.MaxConnections, r.ConnectionLimit)
	row("violations", "%+v", r.Violations)

	if err := t.Flush(); err != nil {
		return errors.Newf("write report: %w", err)
	}

	if err := json.NewEncoder(w).Encode(r); err != nil {
		return errors.Newf("write report: %w", err)
	}

	return nil
}

// goodput returns the number of operations per second that succeeded. An operation counts only if the time from its due
// time to its completion is at most the deadline.
func goodput(operations []labhistory.Operation, deadline time.Duration, seconds float64) float64 {
	completed := 0

	for _, o := range operations {
		if o.Result == labhistory.ResultDone && o.CompletedAt-o.DueAt <= deadline {
			completed++
		}
	}

	return float64(completed) / seconds
}

func quantileMilliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
