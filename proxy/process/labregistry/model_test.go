package labregistry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// Guards against any order of partitions, placement changes and restarts in which a key can be reserved twice. The test
// keeps to the limits in the package comment: a replica restarts without its entries only while all replicas are ready,
// and until all replicas are ready again, placements change at most lab.MaxFormerEpochs times.
func TestAtMostOnce(t *testing.T) {
	ids := []string{"h1", "h2", "h3", "h4", "h5"}

	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, nil)
		c.jitter = 300 * time.Microsecond
		reserved, placements := map[string]int{}, 0
		current := []string{"h1", "h2", "h3"}
		c.changePlacement(current...)

		ready := func() bool {
			for _, h := range current {
				if !c.processes[h].registry.Ready(database) {
					return false
				}
			}

			return true
		}

		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				gateway := rapid.SampledFrom([]string{"g", "g2", "h1"}).Draw(t, "gateway")

				if r, err := c.reserve(gateway, key); err == nil && r.State == lab.IdempotencyNew {
					reserved[key]++
				}

				assert.Assert(t, reserved[key] <= 1, "key %s was reserved twice", key)
			},
			"isolate":   func(t *rapid.T) { c.isolate(rapid.SampledFrom(ids).Draw(t, "replica")) },
			"reconnect": func(t *rapid.T) { c.reconnect(rapid.SampledFrom(ids).Draw(t, "replica")) },
			"reconnect all": func(*rapid.T) {
				c.reconnect(ids...)
				c.reconcile()
				time.Sleep(time.Millisecond)
			},
			"change placement": func(t *rapid.T) {
				if ready() {
					placements = 0
				}

				if placements == lab.MaxFormerEpochs {
					return
				}

				placements++
				current = rapid.Permutation(ids).Draw(t, "replicas")[:3]
				c.changePlacement(current...)
				c.reconcile()
			},
			"restart": func(t *rapid.T) {
				if ready() {
					c.restart(t, rapid.SampledFrom(current).Draw(t, "replica"))
				}
			},
			"wait": func(*rapid.T) {
				c.reconcile()
				time.Sleep(200 * time.Microsecond)
			},
		})
	})
}
