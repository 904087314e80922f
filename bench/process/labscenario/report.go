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

// Report holds the figures of one run.
type Report struct {
	Scenario                     string  `json:"scenario"`
	Deployment                   string  `json:"deployment"`
	Seed                         uint64  `json:"seed"`
	Seconds                      float64 `json:"seconds"`
	OfferedPerS                  float64 `json:"offered_per_s"`
	GoodputPerS                  float64 `json:"goodput_per_s"` // answered without an error within the deadline
	ReadP50MS                    float64 `json:"read_p50_ms"`
	ReadP99MS                    float64 `json:"read_p99_ms"`
	WriteP50MS                   float64 `json:"write_p50_ms"`
	WriteP99MS                   float64 `json:"write_p99_ms"`
	BoundedStalenessReplicaShare float64 `json:"replica_share_aged"`
	OtherReplicaShare            float64 `json:"replica_share_others"`
	FailoverGapMS                int64   `json:"failover_gap_ms"`            // -1 when the primary was not lost
	FailoverWriteErrors          int     `json:"failover_write_errors"`      // writes due after the loss that ended with an error
	CapacityPerS                 float64 `json:"capacity_per_s,omitempty"`   // goodput at the load that the members can just carry
	GoodputRatio                 float64 `json:"goodput_ratio_3x,omitempty"` // goodput at three times that load
	MaxSlots                     int     `json:"max_slots"`                  // most statements at once at one member
	MaxConnections               int     `json:"max_connections"`            // most connections at once at one member
	SlotLimit                    int     `json:"slot_limit"`
	ConnectionLimit              int     `json:"connection_limit"`

	labhistory.Counts
	labhistory.Violations
}

// Passed reports whether every invariant held and no limit of a member was exceeded.
func (r *Report) Passed() bool {
	return !r.Any() && r.MaxSlots <= r.SlotLimit && r.MaxConnections <= r.ConnectionLimit
}

// Print writes a table and one JSON line.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, a ...any) { _, _ = fmt.Fprintf(t, name+"\t"+format+"\n", a...) }

	row("scenario", "%s, %s, seed %d, %.0f s", r.Scenario, r.Deployment, r.Seed, r.Seconds)
	row("offered, goodput", "%.0f/s, %.0f/s", r.OfferedPerS, r.GoodputPerS)
	row("writes acknowledged, reads", "%d, %d", r.Acknowledged, r.Reads)
	row("not run, outcome unknown", "%d, %d", r.NotRun, r.Unknown)
	row("read p50, p99", "%.1f ms, %.1f ms", r.ReadP50MS, r.ReadP99MS)
	row("write p50, p99", "%.1f ms, %.1f ms", r.WriteP50MS, r.WriteP99MS)
	row("replica share aged, others", "%.3f, %.3f", r.BoundedStalenessReplicaShare, r.OtherReplicaShare)
	row("failover gap, write errors", "%d ms, %d", r.FailoverGapMS, r.FailoverWriteErrors)
	row("slots, connections at most", "%d of %d, %d of %d", r.MaxSlots, r.SlotLimit, r.MaxConnections, r.ConnectionLimit)
	row("violations", "%+v", r.Violations)

	if err := t.Flush(); err != nil {
		return errors.Newf("write report: %w", err)
	}

	if err := json.NewEncoder(w).Encode(r); err != nil {
		return errors.Newf("write report: %w", err)
	}

	return nil
}

// goodput returns the operations per second that were answered without an error within the deadline.
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
