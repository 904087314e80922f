package lablatency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play adds a sample every interval for the given time. The samples are the statement kinds in turn, times the factor.
func play(l *Latency, now *time.Duration, d, interval time.Duration, factor int) {
	kinds := []time.Duration{3, 30, 8, 47, 15, 20, 24}

	for i := range int(d / interval) {
		*now += interval
		l.Add(*now, kinds[i%len(kinds)]*time.Duration(factor)*time.Millisecond)
	}
}

func assertBetween(t *testing.T, got, low, high time.Duration) {
	t.Helper()
	assert.Assert(t, got >= low && got <= high, "%v, not from %v to %v", got, low, high)
}

func TestLatency(t *testing.T) {
	start := func() (*Latency, time.Duration) {
		l, now := &Latency{}, time.Minute
		play(l, &now, 30*time.Second, 125*time.Millisecond, 1)

		return l, now
	}

	t.Run("normal operation", func(t *testing.T) {
		l, _ := start()
		assertBetween(t, l.Average(), 15*time.Millisecond, 35*time.Millisecond)
		assertBetween(t, l.Baseline(), 17*time.Millisecond, 25*time.Millisecond)
	})

	t.Run("one slow statement", func(t *testing.T) {
		l, now := start()
		before := l.Average()
		l.Add(now+time.Second, 3*time.Second)
		assertBetween(t, l.Average(), before, before*5/2)
	})

	// Guards against a baseline that drifts under sustained load: 5 minutes of overload must not become the norm.
	t.Run("sustained overload", func(t *testing.T) {
		l, now := start()
		play(l, &now, 5*time.Minute, 50*time.Millisecond, 6)
		assertBetween(t, l.Baseline(), 17*time.Millisecond, 42*time.Millisecond)
		assertBetween(t, l.Average(), 80*time.Millisecond, 200*time.Millisecond)
	})

	t.Run("started under overload", func(t *testing.T) {
		l, now := &Latency{}, time.Minute
		play(l, &now, 10*time.Second, 125*time.Millisecond, 6)
		play(l, &now, 60*time.Second, 125*time.Millisecond, 1)
		assertBetween(t, l.Baseline(), 15*time.Millisecond, 30*time.Millisecond)
	})

	t.Run("few samples", func(t *testing.T) {
		l, now := &Latency{}, time.Minute
		play(l, &now, 10*time.Minute, 3300*time.Millisecond, 1)
		assert.Assert(t, l.Samples(now) < 2)
	})

	t.Run("samples are forgotten", func(t *testing.T) {
		l, now := start()
		assert.Assert(t, l.Samples(now) > 10)
		assert.Assert(t, l.Samples(now+10*time.Second) < 1)
	})
}
