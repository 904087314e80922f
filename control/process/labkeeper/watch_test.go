package labkeeper

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// stoppedClock stands still until it is set.
type stoppedClock struct{ now time.Duration }

func (c *stoppedClock) Now() time.Duration                       { return c.now }
func (*stoppedClock) Wall() time.Time                            { return time.Time{} }
func (*stoppedClock) Sleep(context.Context, time.Duration) error { return nil }

func proxy(id string) lab.Instance { return lab.Instance{ID: lab.InstanceID(id)} }

func TestWatchers(t *testing.T) {
	start := func() (*watchers, *stoppedClock) {
		c := &stoppedClock{now: time.Minute}

		return &watchers{clock: c}, c
	}

	// On rantavahti-rota-grown trouble-1 a new leader took the first proxies that found it for all; with so few, each
	// proxy opened connections of its own to every member.
	t.Run("a new leader knows the proxies of the former one", func(t *testing.T) {
		w, _ := start()
		w.inherit([]lab.Instance{proxy("a"), proxy("b"), proxy("c")})
		w.note(lab.WatchRequest{Proxy: proxy("a")})
		assert.Equal(t, len(w.all()), 3)
	})

	t.Run("the list of the former leader holds while its proxies would", func(t *testing.T) {
		w, c := start()
		assert.Assert(t, !w.heir(c.now), "a new deployment has no list")
		w.inherit(nil)
		assert.Assert(t, !w.heir(c.now), "nor has one whose leader had none")
		w.inherit([]lab.Instance{proxy("a")})
		assert.Assert(t, w.heir(c.now+proxyAge-1))
		assert.Assert(t, !w.heir(c.now+proxyAge), "an instance that was cut off for long asks anew")
	})

	t.Run("silent proxies are forgotten", func(t *testing.T) {
		w, c := start()
		w.inherit([]lab.Instance{proxy("a"), proxy("b")})

		before := w.sweep()
		c.now += proxyAge
		w.note(lab.WatchRequest{Proxy: proxy("a")})
		c.now++
		assert.Assert(t, w.sweep() > before)
		assert.DeepEqual(t, w.all(), []lab.Instance{proxy("a")})
	})

	t.Run("quiet only when no new one comes", func(t *testing.T) {
		w, c := start()
		w.note(lab.WatchRequest{Proxy: proxy("a")})
		c.now += proxyQuietTime
		w.note(lab.WatchRequest{Proxy: proxy("a")})
		assert.Equal(t, w.quiet(), proxyQuietTime)
		w.note(lab.WatchRequest{Proxy: proxy("b")})
		assert.Equal(t, w.quiet(), time.Duration(0))
	})

	t.Run("a draining proxy leaves at once", func(t *testing.T) {
		w, _ := start()
		w.note(lab.WatchRequest{Proxy: proxy("a")})
		w.note(lab.WatchRequest{Proxy: proxy("a"), Draining: true})
		assert.Equal(t, len(w.all()), 0)
	})

	t.Run("votes", func(t *testing.T) {
		w, c := start()
		report := func(id string, failing time.Duration) {
			w.note(lab.WatchRequest{Proxy: proxy(id), Primaries: []lab.PrimaryReport{{Service: "s", Member: "m", UnreachableFor: failing}}})
		}

		report("a", time.Second)
		report("b", 0)
		report("c", 0)

		failing, reaching := w.votes("s", "m")
		assert.Assert(t, failing == 1 && reaching == 2)

		c.now += 2 * time.Second
		failing, reaching = w.votes("s", "m")
		assert.Assert(t, failing == 0 && reaching == 0, "old reports don't count")
	})
}
