package labregistry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// Guards against any order of partitions, placement changes and restarts in which a name can be reserved twice. Between
// two complete repairs, at most one holder loses its memory and placements change at most lab.MaxFormerEpochs times.
func TestAtMostOnce(t *testing.T) {
	holders := []string{"h1", "h2", "h3", "h4", "h5"}

	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, nil)
		c.jitter = 300 * time.Microsecond
		won, places := map[string]int{}, 0
		current := []string{"h1", "h2", "h3"}
		c.place(current...)

		ready := func() bool {
			for _, h := range current {
				if !c.nodes[h].registry.Ready(database) {
					return false
				}
			}

			return true
		}

		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
				gateway := rapid.SampledFrom([]string{"g", "g2", "h1"}).Draw(t, "gateway")

				if r, err := c.reserve(gateway, name); err == nil && r.State == lab.IdempotencyNew {
					won[name]++
				}

				assert.Assert(t, won[name] <= 1, "name %s was reserved twice", name)
			},
			"fail": func(t *rapid.T) { c.fail(rapid.SampledFrom(holders).Draw(t, "holder")) },
			"heal": func(t *rapid.T) { c.heal(rapid.SampledFrom(holders).Draw(t, "holder")) },
			"heal all": func(*rapid.T) {
				c.heal(holders...)
				c.check()
				time.Sleep(time.Millisecond)
			},
			"place": func(t *rapid.T) {
				if ready() {
					places = 0
				}

				if places == lab.MaxFormerEpochs {
					return
				}

				places++
				current = rapid.Permutation(holders).Draw(t, "holders")[:3]
				c.place(current...)
				c.check()
			},
			"restart": func(t *rapid.T) {
				if ready() {
					c.restart(t, rapid.SampledFrom(current).Draw(t, "holder"))
				}
			},
			"wait": func(*rapid.T) {
				c.check()
				time.Sleep(200 * time.Microsecond)
			},
		})
	})
}
