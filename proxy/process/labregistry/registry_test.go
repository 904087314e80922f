package labregistry_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labregistry"
)

func started(t *testing.T, change func(*node)) *cluster {
	t.Helper()

	c := newCluster(t, change)
	c.place("h1", "h2", "h3")
	c.repair(t, "h1", "h2", "h3")

	return c
}

// Guards against a resent request that runs again, and against a name that stays taken though its request never ran.
func TestOutcomes(t *testing.T) {
	c := started(t, nil)

	t.Run("pending", func(t *testing.T) {
		assertState(t, c, "g", "pending", lab.IdempotencyNew)
		assertState(t, c, "g", "pending", lab.IdempotencyPending)
		assertState(t, c, "g2", "pending", lab.IdempotencyPending)
	})
	t.Run("done", func(t *testing.T) {
		assertState(t, c, "g", "done", lab.IdempotencyNew)
		assert.NilError(t, c.resolve("g", "done", lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: "INSERT 0 1"}))
		assert.Equal(t, assertState(t, c, "g2", "done", lab.IdempotencyDone).CommandTag, "INSERT 0 1")
	})
	t.Run("not run", func(t *testing.T) {
		assertState(t, c, "g", "free", lab.IdempotencyNew)
		assert.NilError(t, c.resolve("g", "free", lab.IdempotencyRecord{State: lab.IdempotencyNotRun}))
		assertState(t, c, "g2", "free", lab.IdempotencyNew)
	})
	t.Run("not run by another process", func(t *testing.T) {
		assertState(t, c, "g", "other", lab.IdempotencyNew)
		assert.Assert(t, c.resolve("g2", "other", lab.IdempotencyRecord{State: lab.IdempotencyNotRun}) != nil)
		assertState(t, c, "g", "other", lab.IdempotencyPending)
	})
	t.Run("organisations are separate", func(t *testing.T) {
		_, err := c.nodes["g"].registry.Reserve(t.Context(), "org 1", database, "a", 0)
		assert.NilError(t, err)

		r, err := c.nodes["g"].registry.Reserve(t.Context(), "org", database, "1 a", 0)
		assert.NilError(t, err)
		assert.Equal(t, r.State, lab.IdempotencyNew)
	})
	t.Run("too long", func(t *testing.T) {
		_, err := c.reserve("g", strings.Repeat("x", 1000))
		assertNotRun(t, err, lab.ReasonRejected)
	})
	t.Run("failed reservation leaves the name free", func(t *testing.T) {
		c.fail("h2", "h3")

		_, err := c.reserve("g", "again")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		c.heal("h2", "h3")
		assertState(t, c, "g", "again", lab.IdempotencyNew)
	})
	t.Run("one zone is not enough", func(t *testing.T) {
		c := newCluster(t, nil)
		c.place("h1", "h4", "h2")
		c.repair(t, "h1", "h4", "h2")
		c.fail("h2")

		_, err := c.reserve("g", "zone")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
}

// Guards against two processes that both dispatch a request of the same name.
func TestRacingReservations(t *testing.T) {
	for _, lost := range []string{"", "h1"} {
		t.Run("lost "+lost, func(t *testing.T) {
			c := started(t, nil)
			if lost != "" {
				c.fail(lost)
			}

			for i := range 200 {
				var (
					won   atomic.Int64
					tasks sync.WaitGroup
				)

				for _, g := range []string{"g", "g2", "h2", "g"} {
					tasks.Go(func() {
						r, err := c.reserve(g, fmt.Sprint(i))
						if err == nil && r.State == lab.IdempotencyNew {
							won.Add(1)
						}
					})
				}

				tasks.Wait()
				assert.Assert(t, won.Load() <= 1, "%d reservations of one name succeeded", won.Load())
			}
		})
	}
}

// Guards against a name being forgotten while one of its two holders survives, whichever holders recorded it.
func TestLosses(t *testing.T) {
	holders := []string{"h1", "h2", "h3"}

	for i, away := range holders {
		pair := []string{holders[(i+1)%3], holders[(i+2)%3]}

		// reserved returns a cluster in which only the pair has the name.
		reserved := func(t *testing.T) *cluster {
			c := started(t, nil)
			c.fail(away)
			before := c.nodes[away].calls.Load()
			assertState(t, c, "g", "n", lab.IdempotencyNew)

			for c.nodes[away].calls.Load() == before {
				time.Sleep(time.Millisecond)
			}

			c.heal(away)

			return c
		}

		t.Run("first loss, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.fail(pair[0])
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("second loss after repair, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.fail(pair[0])
			c.place(away, pair[1], "h4")
			c.repair(t, away, pair[1], "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
			c.fail(pair[1])
			c.place(away, "h5", "h4")
			c.repair(t, away, "h5", "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
			c.fail(away)
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("second loss before repair, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.fail(pair...)
			c.place(away, "h4", "h5")
			c.check()

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.heal(pair[1])
			c.repair(t, away, "h4", "h5")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("restart without disk and second loss, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.restart(t, pair[0])
			c.fail(pair[1])
			c.place(pair[0], away, "h4")
			c.check()

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.heal(pair[1])
			c.repair(t, pair[0], away, "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("restart without disk, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.restart(t, pair[0])
			c.fail(pair[1])

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.heal(pair[1])
			c.place(holders...)
			c.repair(t, holders...)
			c.fail(pair[1])
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
	}

	t.Run("all lost their memory", func(t *testing.T) {
		c := started(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)

		for _, h := range holders {
			c.restart(t, h)
		}

		c.place(holders...)
		c.repair(t, holders...)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
	})
	t.Run("another instance at the address of a holder", func(t *testing.T) {
		c := started(t, nil)
		c.fail("h3")
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.heal("h3")
		c.fail("h2")

		c.nodes["h1"].replaced.Store(c.nodes["h5"])
		c.place("h3", "h4", "h5")
		c.check()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)

		c.nodes["h1"].replaced.Store(nil)
		c.repair(t, "h3", "h4", "h5")
		assertState(t, c, "g", "n", lab.IdempotencyPending)
	})
	t.Run("holder that never returns", func(t *testing.T) {
		c := started(t, nil)
		c.fail("h1", "h2")
		c.place("h3", "h4", "h5")
		c.check()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		c.clock.now.Add(int64(8 * 24 * time.Hour))
		c.repair(t, "h3", "h4", "h5")
		assertState(t, c, "g", "n", lab.IdempotencyNew)
	})
	t.Run("several pages", func(t *testing.T) {
		c := started(t, nil)
		for i := range 5500 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		c.fail("h1")
		c.place("h2", "h3", "h4")
		c.repair(t, "h2", "h3", "h4")
		assert.Equal(t, c.nodes["h4"].registry.Names(), int64(5500))
	})
}

// Guards against holders that answer under a placement that is no longer, or not yet, in force.
func TestEpochs(t *testing.T) {
	c := started(t, nil)
	old := c.nodes["g2"].placement.Load()
	c.place("h2", "h3", "h4")
	c.repair(t, "h2", "h3", "h4")
	c.nodes["g2"].placement.Store(old)

	t.Run("stale", func(t *testing.T) {
		_, err := c.reserve("g2", "stale")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		assertState(t, c, "g", "stale", lab.IdempotencyNew)
	})
	t.Run("holder learns from a request", func(t *testing.T) {
		before := c.nodes["h5"].placement.Load()
		c.place("h3", "h4", "h5")

		for _, h := range []string{"h3", "h4", "h5"} {
			c.nodes[h].placement.Store(before)
		}

		assertState(t, c, "g", "learned", lab.IdempotencyNew)
	})
	t.Run("transfer ends earlier epochs", func(t *testing.T) {
		c := started(t, nil)
		old := c.nodes["g2"].placement.Load()
		c.place("h1", "h4", "h5")

		for _, id := range []string{"h2", "h3", "g2"} {
			c.nodes[id].placement.Store(old)
		}

		c.repair(t, "h1", "h4", "h5")

		_, err := c.reserve("g2", "late")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		assertState(t, c, "g", "late", lab.IdempotencyNew)
	})
	t.Run("new holders know only their own placement", func(t *testing.T) {
		c := started(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.restart(t, "h3")
		c.place("h3", "h4", "h5")
		c.repair(t, "h3", "h4", "h5")
		assertState(t, c, "g2", "n", lab.IdempotencyPending)
	})
	t.Run("placement without former holders", func(t *testing.T) {
		c := started(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.former = nil
		c.fail("h1")
		c.place("h1", "h4", "h5")
		c.nodes["h4"].registry.Ready(database)
		c.nodes["h5"].registry.Ready(database)
		c.check()
		c.restart(t, "g2")

		_, err := c.reserve("g2", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("former holder", func(t *testing.T) {
		assert.Assert(t, !c.nodes["h1"].registry.Ready(database))
	})
}

// Guards against unbounded memory and against names that are forgotten or kept at the wrong time.
func TestBounds(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		c := started(t, func(n *node) { n.limit = 10 })
		for i := range 10 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		// The third holder records a name after the reservation has ended.
		for _, h := range []string{"h1", "h2", "h3"} {
			for c.nodes[h].registry.Names() < 10 {
				time.Sleep(time.Millisecond)
			}
		}

		_, err := c.reserve("g", "more")
		assertNotRun(t, err, lab.ReasonOverload)
		assertState(t, c, "g", "0", lab.IdempotencyPending)
	})
	t.Run("expiry", func(t *testing.T) {
		c := started(t, func(n *node) { n.limit = 10 })
		for i := range 10 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		c.clock.now.Store(int64(24*time.Hour - time.Second))
		assertState(t, c, "g", "0", lab.IdempotencyPending)
		c.clock.now.Store(int64(24 * time.Hour))
		assertState(t, c, "g", "0", lab.IdempotencyNew)
	})
}

// Guards against names that a restart loses though they were on disk, and against damaged or outdated snapshots.
func TestDisk(t *testing.T) {
	holders := []string{"h1", "h2", "h3"}
	withDisk := func(t *testing.T) *cluster {
		c := started(t, func(n *node) { n.folder = t.TempDir() })
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		assert.NilError(t, c.resolve("g", "n", lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: "UPDATE 1"}))

		return c
	}

	t.Run("all restart after close", func(t *testing.T) {
		c := withDisk(t)

		for _, h := range holders {
			assert.NilError(t, c.nodes[h].registry.Close())
			c.restart(t, h)
		}

		c.place(holders...)
		c.repair(t, holders...)
		assert.Equal(t, assertState(t, c, "g", "n", lab.IdempotencyDone).CommandTag, "UPDATE 1")
	})
	t.Run("all crash after a snapshot", func(t *testing.T) {
		c := withDisk(t)

		for _, h := range holders {
			ctx, cancel := context.WithCancel(t.Context())
			path := filepath.Join(c.nodes[h].folder, "registry.snapshot")

			go func() {
				defer cancel()

				for _, err := os.Stat(path); err != nil && ctx.Err() == nil; _, err = os.Stat(path) {
					time.Sleep(time.Millisecond)
				}
			}()

			assert.NilError(t, c.nodes[h].registry.Run(ctx))
			c.restart(t, h)
		}

		c.place(holders...)
		c.repair(t, holders...)
		assertState(t, c, "g", "n", lab.IdempotencyDone)
	})
	t.Run("no space for a snapshot", func(t *testing.T) {
		c := withDisk(t)
		r := c.nodes["h1"].registry
		r.Folder = filepath.Join(r.Folder, "missing")

		ctx, cancel := context.WithCancel(t.Context())
		failures := 0
		r.Failed = func(error) {
			if failures++; failures == 2 {
				cancel()
			}
		}

		assert.NilError(t, r.Run(ctx))
		assert.Equal(t, failures, 2)
	})
	t.Run("closed holder counts as intact", func(t *testing.T) {
		c := withDisk(t)
		assert.NilError(t, c.nodes["h1"].registry.Close())
		c.restart(t, "h1")
		c.fail("h2")
		c.place("h1", "h3", "h4")
		c.repair(t, "h1", "h3", "h4")
		assertState(t, c, "g", "n", lab.IdempotencyDone)
	})
	t.Run("crashed holder does not count as intact", func(t *testing.T) {
		c := withDisk(t)
		assert.NilError(t, c.nodes["h1"].registry.Close())
		c.restart(t, "h1")
		c.restart(t, "h1")
		c.fail("h2")
		c.place("h1", "h3", "h4")
		c.check()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("closed holder refuses", func(t *testing.T) {
		c := withDisk(t)
		assert.NilError(t, c.nodes["h1"].registry.Close())
		assert.NilError(t, c.nodes["h2"].registry.Close())

		_, err := c.reserve("g", "late")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("damaged", func(t *testing.T) {
		c := withDisk(t)
		n := c.nodes["h1"]
		assert.NilError(t, n.registry.Close())

		path := filepath.Join(n.folder, "registry.snapshot")
		data, err := os.ReadFile(path)
		assert.NilError(t, err)

		data[len(data)-1] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o600))

		r := &labregistry.Registry{Self: n.self, Routes: n, Clock: c.clock, Folder: n.folder}
		assert.ErrorContains(t, r.Open(), "damaged")
	})
}
