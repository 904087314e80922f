package labpermissionholders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func revision(term, number uint64) lab.PermissionRevision {
	return lab.PermissionRevision{Term: term, Number: number}
}

func confirmed(term, number uint64) lab.PermissionReport {
	return lab.PermissionReport{Confirmed: revision(term, number)}
}

func assertConfirmed(t *testing.T, h *Holders, r lab.PermissionRevision, now time.Duration, want bool) {
	t.Helper()
	assert.Equal(t, h.Confirmed(r, now), want, "%v at %s", r, now)
}

func TestHolders(t *testing.T) {
	const start = time.Minute

	t.Run("nobody holds anything", func(t *testing.T) {
		h := &Holders{}
		assertConfirmed(t, h, revision(1, 1), start, true)
		h.Record("a", confirmed(0, 0), start)
		assertConfirmed(t, h, revision(1, 1), start, true)
	})

	t.Run("until confirmed", func(t *testing.T) {
		h := &Holders{}
		h.Granted("a", start+time.Second)
		h.Granted("b", start+time.Second)
		assertConfirmed(t, h, revision(1, 2), start, false)
		h.Record("a", confirmed(1, 2), start)
		assertConfirmed(t, h, revision(1, 2), start, false)
		h.Record("b", confirmed(1, 1), start)
		assertConfirmed(t, h, revision(1, 2), start, false)
		h.Record("b", confirmed(2, 1), start)
		assertConfirmed(t, h, revision(1, 2), start, true)
	})

	t.Run("until the end of the grant and the margin", func(t *testing.T) {
		h := &Holders{Margin: 100}
		h.Granted("a", start+1000)
		h.Granted("a", start+900) // an earlier request that was answered late
		assertConfirmed(t, h, revision(1, 1), start+1099, false)
		assertConfirmed(t, h, revision(1, 1), start+1100, true)
	})

	t.Run("granted again", func(t *testing.T) {
		h := &Holders{}
		h.Granted("a", start+1000)
		assertConfirmed(t, h, revision(1, 1), start+1000, true)
		h.Granted("a", start+2000)
		assertConfirmed(t, h, revision(1, 1), start+1000, false)
	})

	t.Run("a receiver that starts again has confirmed nothing", func(t *testing.T) {
		h := &Holders{}
		h.Granted("a", start+1000)
		h.Record("a", confirmed(1, 4), start)
		assertConfirmed(t, h, revision(1, 4), start, true)
		h.Record("a", confirmed(0, 0), start)
		assertConfirmed(t, h, revision(1, 4), start, false)
	})

	t.Run("waiting", func(t *testing.T) {
		h := &Holders{}
		h.Granted("c", start+1000)
		h.Granted("b", start+3000)
		h.Granted("a", start+2000)
		h.Granted("d", start-1)
		h.Record("a", confirmed(1, 2), start)

		ids, end := h.Waiting(revision(1, 2), start, 1)
		assert.DeepEqual(t, ids, []string{"b"})
		assert.Equal(t, end, start+3000)

		ids, _ = h.Waiting(revision(1, 2), start, 5)
		assert.DeepEqual(t, ids, []string{"b", "c"})
	})

	t.Run("receivers that hold nothing are forgotten", func(t *testing.T) {
		h := &Holders{}
		h.Granted("a", start+1000)
		h.Granted("b", start+time.Hour)
		h.Record("c", confirmed(1, 1), start+time.Minute)
		h.Record("c", confirmed(1, 1), start+2*time.Minute)
		assert.Equal(t, len(h.receivers), 2)
		assertConfirmed(t, h, revision(1, 1), start+2*time.Minute, false)
	})
}

// TestSameAsAllReceivers compares the answers with those of a scan of all receivers after each of many random steps.
func TestSameAsAllReceivers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	h, now := &Holders{Margin: 3}, time.Duration(1)

	type state struct {
		confirmed lab.PermissionRevision
		end       time.Duration
	}

	all := map[lab.InstanceID]state{}

	for range 100000 {
		id := lab.InstanceID(fmt.Sprint(random.IntN(6)))
		s := all[id]

		switch random.IntN(4) {
		case 0:
			s.confirmed = revision(1+random.Uint64N(2), random.Uint64N(4))
			h.Record(id, lab.PermissionReport{Confirmed: s.confirmed}, now)
		case 1:
			end := now + time.Duration(random.IntN(40))
			s.end = max(s.end, end+h.Margin)
			h.Granted(id, end)
		case 2:
			now += time.Duration(random.IntN(12))
		}

		all[id] = s

		r, want := revision(1+random.Uint64N(2), random.Uint64N(4)), true
		for _, s := range all {
			want = want && (s.end <= now || !s.confirmed.Before(r))
		}

		assertConfirmed(t, h, r, now, want)
	}
}
