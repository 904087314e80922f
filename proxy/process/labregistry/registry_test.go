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

func startCluster(t *testing.T, configure func(*process)) *cluster {
	t.Helper()

	c := newCluster(t, configure)
	c.changePlacement("h1", "h2", "h3")
	c.reconcileUntilReady(t, "h1", "h2", "h3")

	return c
}

// Guards against a resent request that runs again, and against a key that stays reserved although its request never
// ran.
func TestOutcomes(t *testing.T) {
	c := startCluster(t, nil)

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
		_, err := c.processes["g"].registry.Reserve(t.Context(), "org 1", database, "a", 0)
		assert.NilError(t, err)

		r, err := c.processes["g"].registry.Reserve(t.Context(), "org", database, "1 a", 0)
		assert.NilError(t, err)
		assert.Equal(t, r.State, lab.IdempotencyNew)
	})
	t.Run("too long", func(t *testing.T) {
		_, err := c.reserve("g", strings.Repeat("x", 1000))
		assertNotRun(t, err, lab.ReasonRejected)
	})
	t.Run("failed reservation leaves the key free", func(t *testing.T) {
		c.isolate("h2", "h3")

		_, err := c.reserve("g", "again")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		c.reconnect("h2", "h3")
		assertState(t, c, "g", "again", lab.IdempotencyNew)
	})
	t.Run("one zone is not enough", func(t *testing.T) {
		c := newCluster(t, nil)
		c.changePlacement("h1", "h4", "h2")
		c.reconcileUntilReady(t, "h1", "h4", "h2")
		c.isolate("h2")

		_, err := c.reserve("g", "zone")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
}

// Guards against two processes that both dispatch a request with the same idempotency key.
func TestRacingReservations(t *testing.T) {
	for _, lost := range []string{"", "h1"} {
		t.Run("lost "+lost, func(t *testing.T) {
			c := startCluster(t, nil)
			if lost != "" {
				c.isolate(lost)
			}

			for i := range 200 {
				var (
					reserved atomic.Int64
					tasks    sync.WaitGroup
				)

				for _, g := range []string{"g", "g2", "h2", "g"} {
					tasks.Go(func() {
						r, err := c.reserve(g, fmt.Sprint(i))
						if err == nil && r.State == lab.IdempotencyNew {
							reserved.Add(1)
						}
					})
				}

				tasks.Wait()
				assert.Assert(t, reserved.Load() <= 1, "%d reservations of one key succeeded", reserved.Load())
			}
		})
	}
}

// Guards against losing an entry while one of the two replicas that recorded it still has it. The test runs for each
// pair of replicas.
func TestLosses(t *testing.T) {
	replicas := []string{"h1", "h2", "h3"}

	for i, isolated := range replicas {
		pair := []string{replicas[(i+1)%3], replicas[(i+2)%3]}

		// reserved returns a cluster in which only the two replicas of pair have recorded the key n.
		reserved := func(t *testing.T) *cluster {
			c := startCluster(t, nil)
			c.isolate(isolated)
			before := c.processes[isolated].completedCalls.Load()
			assertState(t, c, "g", "n", lab.IdempotencyNew)

			for c.processes[isolated].completedCalls.Load() == before {
				time.Sleep(time.Millisecond)
			}

			c.reconnect(isolated)

			return c
		}

		t.Run("first loss, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.isolate(pair[0])
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("second loss after repair, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.isolate(pair[0])
			c.changePlacement(isolated, pair[1], "h4")
			c.reconcileUntilReady(t, isolated, pair[1], "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
			c.isolate(pair[1])
			c.changePlacement(isolated, "h5", "h4")
			c.reconcileUntilReady(t, isolated, "h5", "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
			c.isolate(isolated)
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("second loss before repair, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.isolate(pair...)
			c.changePlacement(isolated, "h4", "h5")
			c.reconcile()

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.reconnect(pair[1])
			c.reconcileUntilReady(t, isolated, "h4", "h5")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("restart without disk and second loss, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.restart(t, pair[0])
			c.isolate(pair[1])
			c.changePlacement(pair[0], isolated, "h4")
			c.reconcile()

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.reconnect(pair[1])
			c.reconcileUntilReady(t, pair[0], isolated, "h4")
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
		t.Run("restart without disk, recorded by "+strings.Join(pair, " "), func(t *testing.T) {
			c := reserved(t)
			c.restart(t, pair[0])
			c.isolate(pair[1])

			_, err := c.reserve("g2", "n")
			assertNotRun(t, err, lab.ReasonNoRegistry)
			c.reconnect(pair[1])
			c.changePlacement(replicas...)
			c.reconcileUntilReady(t, replicas...)
			c.isolate(pair[1])
			assertState(t, c, "g2", "n", lab.IdempotencyPending)
		})
	}

	t.Run("all lost their entries", func(t *testing.T) {
		c := startCluster(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)

		for _, h := range replicas {
			c.restart(t, h)
		}

		c.changePlacement(replicas...)
		c.reconcileUntilReady(t, replicas...)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
	})
	t.Run("another instance at the address of a replica", func(t *testing.T) {
		c := startCluster(t, nil)
		c.isolate("h3")
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.reconnect("h3")
		c.isolate("h2")

		c.processes["h1"].substitute.Store(c.processes["h5"])
		c.changePlacement("h3", "h4", "h5")
		c.reconcile()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)

		c.processes["h1"].substitute.Store(nil)
		c.reconcileUntilReady(t, "h3", "h4", "h5")
		assertState(t, c, "g", "n", lab.IdempotencyPending)
	})
	t.Run("replica that never returns", func(t *testing.T) {
		c := startCluster(t, nil)
		c.isolate("h1", "h2")
		c.changePlacement("h3", "h4", "h5")
		c.reconcile()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		c.clock.now.Add(int64(8 * 24 * time.Hour))
		c.reconcileUntilReady(t, "h3", "h4", "h5")
		assertState(t, c, "g", "n", lab.IdempotencyNew)
	})
	t.Run("several pages", func(t *testing.T) {
		c := startCluster(t, nil)
		for i := range 5500 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		c.isolate("h1")
		c.changePlacement("h2", "h3", "h4")
		c.reconcileUntilReady(t, "h2", "h3", "h4")
		assert.Equal(t, c.processes["h4"].registry.EntryCount(), int64(5500))
	})
}

// Guards against replicas that record keys under a superseded epoch, or before they have all entries of earlier epochs.
func TestEpochs(t *testing.T) {
	c := startCluster(t, nil)
	oldPlacement := c.processes["g2"].placement.Load()
	c.changePlacement("h2", "h3", "h4")
	c.reconcileUntilReady(t, "h2", "h3", "h4")
	c.processes["g2"].placement.Store(oldPlacement)

	t.Run("stale", func(t *testing.T) {
		_, err := c.reserve("g2", "stale")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		assertState(t, c, "g", "stale", lab.IdempotencyNew)
	})
	t.Run("replica learns from a request", func(t *testing.T) {
		before := c.processes["h5"].placement.Load()
		c.changePlacement("h3", "h4", "h5")

		for _, h := range []string{"h3", "h4", "h5"} {
			c.processes[h].placement.Store(before)
		}

		assertState(t, c, "g", "learned", lab.IdempotencyNew)
	})
	t.Run("transfer ends earlier epochs", func(t *testing.T) {
		c := startCluster(t, nil)
		oldPlacement := c.processes["g2"].placement.Load()
		c.changePlacement("h1", "h4", "h5")

		for _, id := range []string{"h2", "h3", "g2"} {
			c.processes[id].placement.Store(oldPlacement)
		}

		c.reconcileUntilReady(t, "h1", "h4", "h5")

		_, err := c.reserve("g2", "late")
		assertNotRun(t, err, lab.ReasonNoRegistry)
		assertState(t, c, "g", "late", lab.IdempotencyNew)
	})
	t.Run("new replicas know only their own placement", func(t *testing.T) {
		c := startCluster(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.restart(t, "h3")
		c.changePlacement("h3", "h4", "h5")
		c.reconcileUntilReady(t, "h3", "h4", "h5")
		assertState(t, c, "g2", "n", lab.IdempotencyPending)
	})
	t.Run("placement without former replicas", func(t *testing.T) {
		c := startCluster(t, nil)
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		c.former = nil
		c.isolate("h1")
		c.changePlacement("h1", "h4", "h5")
		c.processes["h4"].registry.Ready(database)
		c.processes["h5"].registry.Ready(database)
		c.reconcile()
		c.restart(t, "g2")

		_, err := c.reserve("g2", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("former replica", func(t *testing.T) {
		assert.Assert(t, !c.processes["h1"].registry.Ready(database))
	})
}

// Guards against an unbounded number of entries, and against entries that are dropped too early or too late.
func TestBounds(t *testing.T) {
	t.Run("full", func(t *testing.T) {
		c := startCluster(t, func(n *process) { n.limit = 10 })
		for i := range 10 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		// The third replica may record a key after Reserve has returned.
		for _, h := range []string{"h1", "h2", "h3"} {
			for c.processes[h].registry.EntryCount() < 10 {
				time.Sleep(time.Millisecond)
			}
		}

		_, err := c.reserve("g", "more")
		assertNotRun(t, err, lab.ReasonOverload)
		assertState(t, c, "g", "0", lab.IdempotencyPending)
	})
	t.Run("expiry", func(t *testing.T) {
		c := startCluster(t, func(n *process) { n.limit = 10 })
		for i := range 10 {
			assertState(t, c, "g", fmt.Sprint(i), lab.IdempotencyNew)
		}

		c.clock.now.Store(int64(24*time.Hour - time.Second))
		assertState(t, c, "g", "0", lab.IdempotencyPending)
		c.clock.now.Store(int64(24 * time.Hour))
		assertState(t, c, "g", "0", lab.IdempotencyNew)
	})
}

// Guards against a restart that loses entries of a snapshot, and against damaged or outdated snapshots.
func TestDisk(t *testing.T) {
	replicas := []string{"h1", "h2", "h3"}
	withSnapshots := func(t *testing.T) *cluster {
		c := startCluster(t, func(n *process) { n.folder = t.TempDir() })
		assertState(t, c, "g", "n", lab.IdempotencyNew)
		assert.NilError(t, c.resolve("g", "n", lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: "UPDATE 1"}))

		return c
	}

	t.Run("all restart after close", func(t *testing.T) {
		c := withSnapshots(t)

		for _, h := range replicas {
			assert.NilError(t, c.processes[h].registry.Close())
			c.restart(t, h)
		}

		c.changePlacement(replicas...)
		c.reconcileUntilReady(t, replicas...)
		assert.Equal(t, assertState(t, c, "g", "n", lab.IdempotencyDone).CommandTag, "UPDATE 1")
	})
	t.Run("all crash after a snapshot", func(t *testing.T) {
		c := withSnapshots(t)

		for _, h := range replicas {
			ctx, cancel := context.WithCancel(t.Context())
			path := filepath.Join(c.processes[h].folder, "registry.snapshot")

			go func() {
				defer cancel()

				for _, err := os.Stat(path); err != nil && ctx.Err() == nil; _, err = os.Stat(path) {
					time.Sleep(time.Millisecond)
				}
			}()

			assert.NilError(t, c.processes[h].registry.Run(ctx))
			c.restart(t, h)
		}

		c.changePlacement(replicas...)
		c.reconcileUntilReady(t, replicas...)
		assertState(t, c, "g", "n", lab.IdempotencyDone)
	})
	t.Run("no space for a snapshot", func(t *testing.T) {
		c := withSnapshots(t)
		r := c.processes["h1"].registry
		r.Folder = filepath.Join(r.Folder, "missing")

		ctx, cancel := context.WithCancel(t.Context())
		failures := 0
		r.OnSnapshotError = func(error) {
			if failures++; failures == 2 {
				cancel()
			}
		}

		assert.NilError(t, r.Run(ctx))
		assert.Equal(t, failures, 2)
	})
	t.Run("closed replica counts as intact", func(t *testing.T) {
		c := withSnapshots(t)
		assert.NilError(t, c.processes["h1"].registry.Close())
		c.restart(t, "h1")
		c.isolate("h2")
		c.changePlacement("h1", "h3", "h4")
		c.reconcileUntilReady(t, "h1", "h3", "h4")
		assertState(t, c, "g", "n", lab.IdempotencyDone)
	})
	t.Run("crashed replica does not count as intact", func(t *testing.T) {
		c := withSnapshots(t)
		assert.NilError(t, c.processes["h1"].registry.Close())
		c.restart(t, "h1")
		c.restart(t, "h1")
		c.isolate("h2")
		c.changePlacement("h1", "h3", "h4")
		c.reconcile()

		_, err := c.reserve("g", "n")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("closed replica refuses", func(t *testing.T) {
		c := withSnapshots(t)
		assert.NilError(t, c.processes["h1"].registry.Close())
		assert.NilError(t, c.processes["h2"].registry.Close())

		_, err := c.reserve("g", "late")
		assertNotRun(t, err, lab.ReasonNoRegistry)
	})
	t.Run("damaged", func(t *testing.T) {
		c := withSnapshots(t)
		n := c.processes["h1"]
		assert.NilError(t, n.registry.Close())

		path := filepath.Join(n.folder, "registry.snapshot")
		data, err := os.ReadFile(path)
		assert.NilError(t, err)

		data[len(data)-1] ^= 1
		assert.NilError(t, os.WriteFile(path, data, 0o600))

		r := &labregistry.Registry{Self: n.self, Catalog: n, Clock: c.clock, Folder: n.folder}
		assert.ErrorContains(t, r.Open(), "damaged")
	})
}
