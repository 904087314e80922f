package labmemberlogs

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

func at(term, number uint64) lab.CommitPosition {
	return lab.CommitPosition{Term: term, Number: number}
}

func TestBound(t *testing.T) {
	start := func() (*Ledger, *manualClock) {
		c := &manualClock{now: time.Hour}

		return &Ledger{Clock: c}, c
	}

	t.Run("highest position of any replica", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordReplica("s", "b", at(1, 4))
		l.RecordReplica("t", "c", at(1, 9))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
	})

	t.Run("order of another leader", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordOrder("s", "b", at(1, 8))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 8), "b"})
	})

	t.Run("acknowledged at proxies", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordAcknowledged("s", at(1, 6))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
		l.RecordAcknowledged("s", at(1, 8))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 8), "proxies"})
		assert.Equal(t, l.Bound("t"), Bound{})
	})

	t.Run("acknowledged in a term that has ended", func(t *testing.T) {
		l, _ := start()
		l.RecordPromotion("s", "b", at(1, 5), 2)
		l.RecordAcknowledged("s", at(1, 9))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 5), "b"})
	})

	t.Run("a promotion rolls back what is beyond it", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordPromotion("s", "b", at(1, 5), 2)
		assert.Equal(t, l.Bound("s"), Bound{at(1, 5), "b"})
	})

	// Guards against promoting a member without acknowledged commits after a minute: the bound was dropped then.
	t.Run("however long ago", func(t *testing.T) {
		l, c := start()
		l.RecordReplica("s", "a", at(1, 7))
		c.now += 24 * time.Hour
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
		l.RecordOrder("s", "a", at(1, 6))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
	})

	// A replica that has learned of a new term may lack commits that were kept when it began. Its position took the place of
	// the higher number then, and the replica itself was promoted (labfailover TestModelOrders).
	t.Run("a new term with fewer commits", func(t *testing.T) {
		for _, positions := range [][]lab.CommitPosition{{at(1, 24), at(2, 15)}, {at(2, 15), at(1, 24)}} {
			l, _ := start()
			for _, p := range positions {
				l.RecordReplica("s", "a", p)
			}

			assert.Equal(t, l.Bound("s").Position, at(2, 24))
		}
	})

	t.Run("a new primary rolls back what is beyond it", func(t *testing.T) {
		l, c := start()
		l.RecordReplica("s", "a", at(1, 24))
		l.RecordReplica("s", "b", at(2, 15))
		l.RecordLeading("s", "p", at(1, 20))
		assert.Equal(t, l.Bound("s").Position, at(2, 24), "a primary of the same term may have answered before")
		l.RecordLeading("s", "m", at(2, 20))
		assert.Equal(t, l.Bound("s"), Bound{at(2, 20), "m"})
		l.RecordPrimary("s", at(2, 18), c.now)
		assert.Equal(t, l.Bound("s"), Bound{at(2, 18), "primary"})
	})

	t.Run("a new primary with commits of its own", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(2, 24))
		l.RecordLeading("s", "m", at(2, 20))
		assert.Equal(t, l.Bound("s"), Bound{at(2, 24), "a"})
	})

	// Guards against a service without a candidate. A model in which members learn of a term late showed this.
	t.Run("a former primary that has not learned of a confirmed promotion", func(t *testing.T) {
		l, _ := start()
		l.RecordPromotion("s", "m", at(1, 15), 3)
		l.RecordReplica("s", "p", at(2, 17))
		l.RecordReplica("s", "b", at(3, 16))
		assert.Equal(t, l.Bound("s"), Bound{at(3, 16), "b"})
	})

	t.Run("a replica that has not learned of the new term", func(t *testing.T) {
		l, _ := start()
		l.RecordPromotion("s", "m", at(1, 20), 2)
		l.RecordReplica("s", "b", at(2, 21))
		l.RecordReplica("s", "a", at(1, 24))
		assert.Equal(t, l.Bound("s"), Bound{at(2, 21), "b"})
	})

	t.Run("forgotten service", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.Retain(func(name string) bool { return name != "s" })
		assert.Equal(t, l.Bound("s"), Bound{})
	})
}

func TestPrimarySince(t *testing.T) {
	start := func() (*Ledger, *manualClock) {
		c := &manualClock{now: time.Hour}

		return &Ledger{Clock: c}, c
	}

	assertPosition := func(t *testing.T, l *Ledger, since time.Duration, want lab.CommitPosition) {
		t.Helper()

		p, ok := l.PrimarySince("s", since)
		assert.Equal(t, ok, !want.IsZero())

		if ok {
			assert.Equal(t, p, want)
		}
	}

	t.Run("none", func(t *testing.T) {
		l, _ := start()
		assertPosition(t, l, 0, lab.CommitPosition{})
	})

	t.Run("requested before", func(t *testing.T) {
		l, c := start()
		l.RecordPrimary("s", at(1, 9), c.now-1)
		assertPosition(t, l, c.now, lab.CommitPosition{})
		assertPosition(t, l, c.now-1, at(1, 9))
	})

	t.Run("the newest", func(t *testing.T) {
		l, c := start()
		l.RecordPrimary("s", at(1, 9), c.now-1)
		l.RecordPrimary("s", at(1, 7), c.now-2)
		assertPosition(t, l, c.now-5, at(1, 9))
	})

	t.Run("a former primary", func(t *testing.T) {
		l, c := start()
		l.RecordPromotion("s", "b", at(1, 5), 2)
		l.RecordPrimary("s", at(1, 7), c.now)
		assertPosition(t, l, 0, lab.CommitPosition{})
		c.now++
		l.RecordPrimary("s", at(2, 6), c.now)
		assertPosition(t, l, c.now, at(2, 6))
	})

	t.Run("a response from the future", func(t *testing.T) {
		l, c := start()
		l.RecordPrimary("s", at(1, 7), c.now+time.Second)
		assertPosition(t, l, 0, lab.CommitPosition{})
	})
}
