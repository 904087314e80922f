package labmembers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
)

// TestIndex compares the indexes with a search of all entries, for random announcements that move, end and start again.
// Guards against a member that the leader doesn't find in its service any more, and a change that it doesn't notice.
func TestIndex(t *testing.T) {
	random := labrandom.NewSeeded(1)
	pick := func(n int) int { return int(random.Uint64() % uint64(n)) }
	c := &manualClock{}
	r := &Registry{Clock: c}
	known := map[string]lab.Announcement{} // announcements of a receiver that follows the changes
	revision := uint64(0)

	for range 3000 {
		c.now += time.Duration(pick(5)) * time.Second

		if pick(20) == 0 {
			r.RemoveSilent()
		}

		r.Apply(lab.Announcement{
			Database: fmt.Sprint("s", pick(3)), Member: fmt.Sprint("m", pick(8)), Address: fmt.Sprint("h:", pick(6)+1),
			Incarnation: uint64(pick(40)), Sequence: uint64(pick(10)), Draining: pick(4) == 0, Terminated: pick(8) == 0,
		}, 0)

		if pick(3) > 0 {
			continue
		}

		all := r.Entries()
		byService := map[string][]Entry{}
		leaving := 0

		for _, e := range all {
			byService[e.Announcement.Database] = append(byService[e.Announcement.Database], e)

			if e.Announcement.Draining && !e.Announcement.Terminated {
				leaving++
			}
		}

		services, _ := r.Services()
		assert.Equal(t, len(services), len(byService))
		assert.Equal(t, len(r.Leaving()), leaving)

		for s, want := range byService {
			assert.Assert(t, slices.Contains(services, s) && slices.Equal(r.Service(s), want))
		}

		members, now, ok := r.ChangesSince(revision)
		assert.Assert(t, ok)

		for _, m := range members {
			delete(known, m)

			if e, ok := r.Entry(m); ok {
				known[m] = e.Announcement
			}
		}

		revision = now

		assert.Equal(t, len(known), len(all))

		for _, e := range all {
			assert.Assert(t, equalExceptSequence(known[e.Announcement.Member], e.Announcement))
		}
	}
}
