package labplatformcontrol

import (
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestForwardedTogether checks that each member whose announcement reaches another instance gets an answer of its own,
// after the leader has the announcement.
func TestForwardedTogether(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()
	k := c.controllers[(leader+1)%3]
	announcement := func(n int, incarnation, sequence uint64) lab.Announcement {
		return lab.Announcement{
			Database: "s", Member: fmt.Sprint("m", n), Address: fmt.Sprint("127.0.0.1:", n+1), Incarnation: incarnation, Sequence: sequence,
		}
	}

	c.eventually("announcement accepted", func() bool { return k.Announce(t.Context(), announcement(0, 5, 1)) == nil })
	assert.NilError(t, k.Announce(t.Context(), announcement(1, 5, 1)))

	before := c.controllers[leader].Counters.Announcements.Value()

	var wait sync.WaitGroup

	for n := range 20 {
		wait.Go(func() {
			a := announcement(n, 5, 2)
			if n == 1 {
				a.Incarnation = 4
			}

			err := k.Announce(t.Context(), a)
			assert.Check(t, (err == nil) == (n != 1), "%d: %v", n, err)

			e, known := c.controllers[leader].registry.Entry(a.Member)
			assert.Check(t, known && (n == 1 || e.Announcement.Sequence == 2))
		})
	}

	wait.Wait()
	assert.Equal(t, c.controllers[leader].Counters.Announcements.Value(), before+20)

	c.stop(leader)
	c.stop((leader + 2) % 3)

	err := k.Announce(t.Context(), announcement(0, 5, 3))
	assert.Assert(t, err != nil && !errors.Is(err, ErrInvalid), "there is no leader that could have it")
}
