package labpositions

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

// TestPacked guards against a position that looks newer than it is, which would let a replica serve a stale read.
func TestPacked(t *testing.T) {
	const now = time.Minute

	var b Board

	at := now - 300*time.Millisecond - 1
	assertPacked := func(now time.Duration, want ...lab.PositionReport) {
		t.Helper()

		p, err := b.Packed(now)
		assert.NilError(t, err)

		var got []lab.PositionReport

		assert.NilError(t, labpack.Decode(p, &got))
		assert.Equal(t, fmt.Sprint(got), fmt.Sprint(want))
	}
	first := report("s", 1, now-301*time.Millisecond)

	b.Record([]lab.PositionReport{report("s", 1, at)}, now)
	assertPacked(now, first)
	b.Record([]lab.PositionReport{report("s", 2, now)}, now)
	assertPacked(now+packInterval-1, first)
	assertPacked(now+packInterval, report("s", 2, now))
}

// BenchmarkAnswers is the positions in the answers to 50 proxies, which one of six control instances sends twice a second.
func BenchmarkAnswers(b *testing.B) {
	const now = time.Hour

	var board Board

	for n := range 1000 {
		board.Record([]lab.PositionReport{report(fmt.Sprintf("service-%04d", n), uint64(n*7919), now-time.Duration(n)*317_123)}, now)
	}

	for name, get := range map[string]func(time.Duration) any{
		"single": func(now time.Duration) any { return board.Newest(now) },
		"shared": func(now time.Duration) any {
			p, err := board.Packed(now)
			assert.NilError(b, err)

			return p
		},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0

			for b.Loop() {
				board.packed = nil // the first of the 50 answers packs the list

				for range 50 {
					m, err := msgpack.Marshal(get(now))
					assert.NilError(b, err)

					size = len(m)
				}
			}

			b.ReportMetric(float64(size), "B/answer")
		})
	}
}
