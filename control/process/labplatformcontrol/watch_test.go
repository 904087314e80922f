package labplatformcontrol

import (
	"context"
	"fmt"
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
		w.mergeInherited([]lab.Instance{proxy("a"), proxy("b"), proxy("c")}, true)
		w.record(lab.WatchRequest{Proxy: proxy("a")})
		assert.Equal(t, len(w.list()), 3)
	})

	t.Run("the list of the former leader expires like its proxies", func(t *testing.T) {
		w, c := start()
		assert.Assert(t, !w.inheritedValidAt(c.now), "a new deployment has no list")
		w.mergeInherited(nil, true)
		assert.Assert(t, !w.inheritedValidAt(c.now), "an empty list of the former leader doesn't count")
		// Replays the start of 300 proxies with a change of the leader: the list of the first leader had 88 of them, and
		// connections were placed on these.
		w.mergeInherited([]lab.Instance{proxy("a")}, false)
		assert.Assert(t, !w.inheritedValidAt(c.now), "an incomplete list doesn't count")
		w.mergeInherited([]lab.Instance{proxy("a")}, true)
		assert.Assert(t, w.inheritedValidAt(c.now+proxyExpiry-1))
		assert.Assert(t, !w.inheritedValidAt(c.now+proxyExpiry), "a list that was merged long ago has expired")
	})

	t.Run("silent proxies are removed", func(t *testing.T) {
		w, c := start()
		w.mergeInherited([]lab.Instance{proxy("a"), proxy("b")}, true)

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

	// Replays a loss of the link between a zone and a primary at 300 proxies: the observers of the other zones reach the
	// primary, but they are fewer than the proxies that report a failure.
	t.Run("observers represent all proxies", func(t *testing.T) {
		w, _ := start()
		report := func(id string, failing time.Duration, observer bool) {
			w.record(lab.WatchRequest{
				Proxy: proxy(id), Primaries: []lab.PrimaryReport{{Service: "s", Member: "m", UnreachableFor: failing, Observer: observer}},
			})
		}

		for n := range 50 {
			report(fmt.Sprintf("cut-%d", n), time.Second, n < 2)
		}

		for n := range 10 {
			report(fmt.Sprintf("observer-%d", n), 0, true)
		}

		failing, reaching := w.countReports("s", "m")
		assert.Assert(t, failing == 2 && reaching == 10, "%d %d", failing, reaching)
		assert.Assert(t, w.reportedUnreachable("s", "m"))
	})

	// Replays a restart of 300 proxies in turn: whole lists for every change filled the links.
	t.Run("changes of the list", func(t *testing.T) {
		w, c := start()
		w.record(lab.WatchRequest{Proxy: proxy("a")})

		first := w.removeSilent()

		w.record(lab.WatchRequest{Proxy: proxy("b")})
		w.record(lab.WatchRequest{Proxy: proxy("a"), Draining: true})
		w.record(lab.WatchRequest{Proxy: proxy("c")})
		w.record(lab.WatchRequest{Proxy: proxy("c"), Draining: true})
		w.record(lab.WatchRequest{Proxy: proxy("c")})

		got, ok := w.changesSince(first)
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, lab.ProxyChanges{Set: []lab.Instance{proxy("c"), proxy("b")}, Removed: []lab.InstanceID{"a"}})

		got, ok = w.changesSince(w.removeSilent())
		assert.Assert(t, ok && len(got.Set) == 0 && len(got.Removed) == 0)

		_, ok = w.changesSince(w.removeSilent() + 1)
		assert.Assert(t, !ok, "a revision of another leader")

		for n := range maxRecentChanges {
			c.now++
			w.record(lab.WatchRequest{Proxy: proxy("a"), Draining: n%2 == 1})
		}

		_, ok = w.changesSince(first)
		assert.Assert(t, !ok, "a list that is too old needs the whole list")
	})
}
