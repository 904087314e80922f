package labquotaledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestLedger guards against tokens that are accounted for twice or never.
func TestLedger(t *testing.T) {
	source := lab.QuotaToken{Number: 7}

	var l Ledger

	report := func(holder lab.InstanceID, number uint64, totals [2]int, want [2]int) {
		t.Helper()

		s, spent, returned := l.Report(holder, lab.QuotaReport{Number: number, Spent: totals[0], Returned: totals[1]})
		assert.Equal(t, [2]int{spent, returned}, want)
		assert.Equal(t, s == source, want != [2]int{} || totals == [2]int{2, 1})
	}

	l.Grant("a", 1, source, 5, time.Second)
	l.Grant("b", 1, source, 4, 3*time.Second)
	l.Grant("a", 2, source, 2, 2*time.Second)
	report("a", 1, [2]int{2, 0}, [2]int{2, 0})
	report("a", 1, [2]int{2, 1}, [2]int{0, 1})
	report("a", 1, [2]int{2, 1}, [2]int{0, 0}) // again
	report("a", 3, [2]int{1, 0}, [2]int{0, 0}) // unknown
	report("b", 1, [2]int{9, 9}, [2]int{4, 0}) // more than granted
	assert.Equal(t, l.Outstanding(), 4)

	dropped := 0
	drop := func(now time.Duration) {
		l.Drop(now, func(s lab.QuotaToken, n int) {
			assert.Equal(t, s, source)

			dropped += n
		})
	}

	drop(time.Second - 1)
	assert.Equal(t, dropped, 0)
	drop(time.Second)
	assert.Equal(t, dropped, 2)
	report("a", 1, [2]int{5, 0}, [2]int{0, 0}) // too late
	drop(2 * time.Second)
	assert.Equal(t, dropped, 4)
	assert.Equal(t, l.Outstanding(), 0)
}
