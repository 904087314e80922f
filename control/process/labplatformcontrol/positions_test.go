package labplatformcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

// TestManyPositions checks that positions of many services reach the proxies of another instance, and that a proxy that
// doesn't know the compressed form gets them too.
func TestManyPositions(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()
	observer, other := (leader+1)%3, (leader+2)%3

	var a lab.WatchResponse

	c.eventually("an answer", func() bool {
		var err error

		a, err = c.watch(observer, lab.WatchRequest{Proxy: proxy("p")})

		return err == nil && a.Leader == ""
	})

	report := func() {
		r := lab.WatchRequest{Proxy: proxy("p"), ClockEpoch: a.ClockEpoch}
		for n := range 2 * manyPositions {
			r.Positions = append(r.Positions, lab.PositionReport{
				Service: fmt.Sprint("s", n), Position: lab.CommitPosition{Term: 1, Number: 7},
				RequestedAt: c.controllers[observer].Clock.Now(),
			})
		}

		_, err := c.watch(observer, r)
		assert.Check(t, err)
	}

	for _, accepts := range []bool{true, false} {
		c.eventually("all positions", func() bool {
			report()

			b, err := c.watch(other, lab.WatchRequest{Proxy: proxy("q"), AcceptsChanges: accepts})
			if err != nil {
				return false
			}

			if accepts {
				assert.Equal(t, len(b.Positions), 0)

				if len(b.PackedPositions) == 0 {
					return false
				}

				assert.NilError(t, labpack.Decode(b.PackedPositions, &b.Positions))
			}

			return len(b.Positions) == 2*manyPositions
		})
	}
}
