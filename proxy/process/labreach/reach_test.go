package labreach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
)

// stopped is a clock that the test moves.
type stopped struct {
	lab.Clock

	now time.Duration
}

func (s *stopped) Now() time.Duration { return s.now }

func TestReach(t *testing.T) {
	clock := labclock.NewBootClock()

	t.Run("unknown", func(t *testing.T) {
		r := &Reach{Clock: clock}
		assert.Assert(t, r.Usable("a"))
	})

	t.Run("lost power", func(t *testing.T) {
		r := &Reach{Clock: clock}
		r.Heard("a")
		time.Sleep(time.Millisecond)

		assert.Assert(t, r.Missed("a", clock.Now()))
		assert.Assert(t, !r.Usable("a"))
		assert.Assert(t, r.Usable("b"))
	})

	t.Run("busy: one answer is late, others arrive", func(t *testing.T) {
		r := &Reach{Clock: clock}
		asked := clock.Now()
		time.Sleep(time.Millisecond)
		r.Heard("a")

		assert.Assert(t, !r.Missed("a", asked))
		assert.Assert(t, r.Usable("a"))
	})

	t.Run("attempts to connect are few", func(t *testing.T) {
		c := &stopped{now: time.Minute}
		r := &Reach{Clock: c}

		attempts := map[lab.InstanceID]int{}

		// Six proxies are down for ten seconds, and a statement that needs one comes every millisecond.
		for range 10_000 {
			c.now += time.Millisecond

			for _, id := range []lab.InstanceID{"a", "b", "c", "d", "e", "f"} {
				if r.Probe(id) {
					attempts[id]++
				}
			}
		}

		for id, n := range attempts {
			assert.Assert(t, n >= 3 && n <= 4, "%s: %d", id, n)
		}

		assert.Equal(t, len(attempts), 6)
		r.Heard("a")

		c.now += probeEvery
		assert.Assert(t, r.Probe("a"), "one that was heard is connected to at once when it is lost again")
	})

	t.Run("back again", func(t *testing.T) {
		r := &Reach{Clock: clock}
		r.Missed("a", clock.Now())
		r.Heard("a")
		assert.Assert(t, r.Usable("a"))
	})
}
