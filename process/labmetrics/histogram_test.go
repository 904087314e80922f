package labmetrics_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/labmetrics"
)

// Guards against dropping latencies above the maximum of the histogram, which occur in a failover.
func TestHistogramKeepsLongLatencies(t *testing.T) {
	h := labmetrics.NewHistogram()
	h.Record(time.Millisecond)
	h.Record(5 * time.Minute)

	m := h.Merged()
	assert.Equal(t, m.TotalCount(), int64(2))
	assert.Assert(t, m.Max() >= int64(59*time.Second/time.Microsecond))
}
