package labplatformcontrol

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// manualClock is a clock that changes only when the test sets it.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                       { return c.now }
func (*manualClock) Wall() time.Time                            { return time.Time{} }
func (*manualClock) Sleep(context.Context, time.Duration) error { return nil }

func proxy(id string) lab.Instance { return lab.Instance{ID: lab.InstanceID(id)} }

func TestProxyRegistry(t *testing.T) {
	start := func() (*proxyRegistry, *manualClock) {
		c := &manualClock{now: time.Minute}

		return &proxyRegistry{clock: c}, c
	}

	// Guards against a new leader that considers its proxy list complete once the first proxies have sent a watch. With
	// so short a list, every proxy opened connections of its own to every member. The scenario rantavahti-rota-grown
	// trouble-1 showed this.
	t.Run("a new leader keeps the proxies of the former one", func(t *testing.T) {
		w, _ := start()
		w.mergeInherited([]lab.Instance{proxy("a"), proxy("b"), proxy("c")})
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		assert.Equal(t, len(w.list()), 3)
	})

	t.Run("the list of the former leader expires like its proxies", func(t *testing.T) {
		w, c := start()
		assert.Assert(t, !w.inheritedValidAt(c.now), "a new deployment has no list")
		w.mergeInherited(nil)
		assert.Assert(t, !w.inheritedValidAt(c.now), "an empty list of the former leader doesn't count")
		w.mergeInherited([]lab.Instance{proxy("a")})
		assert.Assert(t, w.inheritedValidAt(c.now+proxyExpiry-1))
		assert.Assert(t, !w.inheritedValidAt(c.now+proxyExpiry), "a list that was merged long ago has expired")
	})

	t.Run("silent proxies are removed", func(t *testing.T) {
		w, c := start()
		w.mergeInherited([]lab.Instance{proxy("a"), proxy("b")})

		before := w.removeSilent()
		c.now += proxyExpiry
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		c.now++
		assert.Assert(t, w.removeSilent() > before)
		assert.DeepEqual(t, w.list(), []lab.Instance{proxy("a")})
	})

	t.Run("time since the last new proxy", func(t *testing.T) {
		w, c := start()
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		c.now += proxyQuietTime
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		assert.Equal(t, w.sinceLastNew(), proxyQuietTime)
		w.record(lab.WatchRequest{Proxy: proxy("b")})
		assert.Equal(t, w.sinceLastNew(), time.Duration(0))
	})

	t.Run("a draining proxy is removed at once", func(t *testing.T) {
		w, _ := start()
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		w.record(lab.WatchRequest{Proxy: proxy("a"), Draining: true})
		assert.Equal(t, len(w.list()), 0)
	})

	t.Run("reports are counted", func(t *testing.T) {
		w, c := start()
		report := func(id string, failing time.Duration) {
			w.record(lab.WatchRequest{
				Proxy: proxy(id), Primaries: []lab.PrimaryReport{{Service: "s", Member: "m", UnreachableFor: failing}},
			})
		}

		report("a", time.Second)
		report("b", 0)
		report("c", 0)

		failing, reaching := w.countReports("s", "m")
		assert.Assert(t, failing == 1 && reaching == 2)

		c.now += 2 * time.Second
		failing, reaching = w.countReports("s", "m")
		assert.Assert(t, failing == 0 && reaching == 0, "old reports don't count")
	})
}
