package labreachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
)

// manualClock is a clock whose time the test sets.
type manualClock struct {
	lab.Clock

	now time.Duration
}

func (s *manualClock) Now() time.Duration { return s.now }

func TestTracker(t *testing.T) {
	clock := labclock.NewBootClock()

	t.Run("no requests yet", func(t *testing.T) {
		r := &Tracker{Clock: clock}
		assert.Assert(t, r.Reachable("a"))
	})

	t.Run("lost power", func(t *testing.T) {
		r := &Tracker{Clock: clock}
		r.RecordResponse("a")
		time.Sleep(time.Millisecond)

		assert.Assert(t, r.RecordTimeout("a", clock.Now()))
		assert.Assert(t, !r.Reachable("a"))
		assert.Assert(t, r.Reachable("b"))
	})

	t.Run("busy: one response is late, others arrive", func(t *testing.T) {
		r := &Tracker{Clock: clock}
		asked := clock.Now()
		time.Sleep(time.Millisecond)
		r.RecordResponse("a")

		assert.Assert(t, !r.RecordTimeout("a", asked))
		assert.Assert(t, r.Reachable("a"))
	})

	t.Run("attempts to connect are limited", func(t *testing.T) {
		c := &manualClock{now: time.Minute}
		r := &Tracker{Clock: c}

		attempts := map[lab.InstanceID]int{}

		// Six proxies are down for ten seconds, and a statement needs a connection to each of them every millisecond.
		for range 10_000 {
			c.now += time.Millisecond

			for _, id := range []lab.InstanceID{"a", "b", "c", "d", "e", "f"} {
				if r.AllowConnect(id) {
					attempts[id]++
				}
			}
		}

		for id, n := range attempts {
			assert.Assert(t, n >= 3 && n <= 4, "%s: %d", id, n)
		}

		assert.Equal(t, len(attempts), 6)
		r.RecordResponse("a")

		c.now += connectSpacing
		assert.Assert(t, r.AllowConnect("a"), "a proxy that responded may be reconnected to at once after the next loss")
	})

	t.Run("response after a timeout", func(t *testing.T) {
		r := &Tracker{Clock: clock}
		r.RecordTimeout("a", clock.Now())
		r.RecordResponse("a")
		assert.Assert(t, r.Reachable("a"))
	})
}
