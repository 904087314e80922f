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

func (c *manualClock) Now() time.Duration { return c.now }

func TestTracker(t *testing.T) {
	clock := labclock.NewBootClock()

	t.Run("no requests yet", func(t *testing.T) {
		tracker := &Tracker{Clock: clock}
		assert.Assert(t, tracker.Reachable("a"))
	})

	t.Run("lost power", func(t *testing.T) {
		tracker := &Tracker{Clock: clock}
		tracker.RecordResponse("a")
		time.Sleep(time.Millisecond)

		assert.Assert(t, tracker.RecordTimeout("a", clock.Now()))
		assert.Assert(t, !tracker.Reachable("a"))
		assert.Assert(t, tracker.Reachable("b"))
	})

	t.Run("busy: one response is late, others arrive", func(t *testing.T) {
		tracker := &Tracker{Clock: clock}
		sentAt := clock.Now()
		time.Sleep(time.Millisecond)
		tracker.RecordResponse("a")

		assert.Assert(t, !tracker.RecordTimeout("a", sentAt))
		assert.Assert(t, tracker.Reachable("a"))
	})

	t.Run("attempts to connect are limited", func(t *testing.T) {
		c := &manualClock{now: time.Minute}
		tracker := &Tracker{Clock: c}

		attempts := map[lab.InstanceID]int{}

		// Six proxies are down for ten seconds, and a statement needs a connection to each of them every millisecond.
		for range 10_000 {
			c.now += time.Millisecond

			for _, id := range []lab.InstanceID{"a", "b", "c", "d", "e", "f"} {
				if tracker.AllowConnect(id) {
					attempts[id]++
				}
			}
		}

		for id, n := range attempts {
			assert.Assert(t, n >= 3 && n <= 4, "%s: %d", id, n)
		}

		assert.Equal(t, len(attempts), 6)
		tracker.RecordResponse("a")

		c.now += connectSpacing
		assert.Assert(t, tracker.AllowConnect("a"), "a proxy that responded may be reconnected to at once after the next loss")
	})

	t.Run("response after a timeout", func(t *testing.T) {
		tracker := &Tracker{Clock: clock}
		tracker.RecordTimeout("a", clock.Now())
		tracker.RecordResponse("a")
		assert.Assert(t, tracker.Reachable("a"))
	})
}
