package labpositions

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func report(service string, number uint64, at time.Duration) lab.PositionReport {
	return lab.PositionReport{Service: service, Position: lab.CommitPosition{Term: 1, Number: number}, RequestedAt: at}
}

func TestBoard(t *testing.T) {
	const now = time.Minute

	t.Run("newest of several observers", func(t *testing.T) {
		var b Board

		b.Record([]lab.PositionReport{report("t", 1, now), report("s", 2, now)}, now)
		b.Record([]lab.PositionReport{report("s", 1, now-time.Second)}, now)
		assert.Assert(t, slices.Equal(b.Newest(now), []lab.PositionReport{report("s", 2, now), report("t", 1, now)}))
	})

	t.Run("old positions are dropped", func(t *testing.T) {
		var b Board

		b.Record([]lab.PositionReport{report("s", 1, now)}, now)
		assert.Equal(t, len(b.Newest(now+maxAge)), 1)
		assert.Equal(t, len(b.Newest(now+maxAge+1)), 0)
	})

	t.Run("some services", func(t *testing.T) {
		var b Board

		b.Record([]lab.PositionReport{report("s", 1, now), report("t", 2, now), report("old", 3, now-maxAge-1)}, now)
		assert.Assert(t, slices.Equal(b.NewestOf([]string{"old", "t", "unknown"}, now), []lab.PositionReport{report("t", 2, now)}))
	})

	t.Run("a report from the future is ignored", func(t *testing.T) {
		var b Board

		b.Record([]lab.PositionReport{report("s", 9, now+1)}, now)
		assert.Equal(t, len(b.Newest(now)), 0)
	})
}
