package labmemberlogs

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmembers"
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
		l, c := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordAcknowledged("s", at(1, 6))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
		l.RecordAcknowledged("s", at(1, 8))
		assert.Equal(t, l.Bound("s"), Bound{at(1, 8), "proxies"})
		assert.Equal(t, l.Bound("t"), Bound{})
		c.now += labmembers.ExpireAfter
		l.RecordAcknowledged("s", at(1, 8))
		c.now++
		assert.Equal(t, l.Bound("s"), Bound{}, "the same report is not a newer observation")
	})

	t.Run("acknowledged in a term that has ended", func(t *testing.T) {
		l, _ := start()
		l.RecordPromotion("s", "b", lab.MemberState{Term: 2, Received: at(2, 5)})
		l.RecordAcknowledged("s", at(1, 9))
		assert.Equal(t, l.Bound("s"), Bound{at(2, 5), "b"})
	})

	t.Run("a promotion rolls back what is beyond it", func(t *testing.T) {
		l, _ := start()
		l.RecordReplica("s", "a", at(1, 7))
		l.RecordPromotion("s", "b", lab.MemberState{Term: 2, Received: at(1, 5)})
		assert.Equal(t, l.Bound("s"), Bound{at(1, 5), "b"})
	})

	t.Run("not after all members that had the position are lost", func(t *testing.T) {
		l, c := start()
		l.RecordReplica("s", "a", at(1, 7))
		c.now += labmembers.ExpireAfter
		assert.Equal(t, l.Bound("s"), Bound{at(1, 7), "a"})
		l.RecordOrder("s", "a", at(1, 7))
		c.now++
		assert.Equal(t, l.Bound("s"), Bound{}, "the order is not a newer observation")
	})
}

func TestEnded(t *testing.T) {
	replica := lab.Announcement{Database: "s", Member: "a", Address: "1:1", Incarnation: 3}
	start := func() (*Ledger, *manualClock) {
		c := &manualClock{now: time.Hour}
		l := &Ledger{Clock: c}
		l.RecordPrimary("s", at(1, 4), c.now)
		l.RecordEnd(replica)

		return l, c
	}

	assertCleared := func(t *testing.T, l *Ledger, want lab.CommitPosition) {
		t.Helper()

		e := l.Ended("s")
		assert.Equal(t, len(e), 1)
		assert.Equal(t, e[0].Cleared, !want.IsZero())
		assert.Equal(t, e[0].ClearedAt, want)
	}

	t.Run("a position from before the end proves nothing", func(t *testing.T) {
		l, c := start()
		c.now += time.Minute / 2
		l.RecordPrimary("s", at(1, 9), c.now-time.Minute/2+exitTime-1)
		assertCleared(t, l, lab.CommitPosition{})
	})

	t.Run("the first position after the end", func(t *testing.T) {
		l, c := start()
		c.now += exitTime
		l.RecordPrimary("s", at(1, 7), c.now)
		c.now += time.Second
		l.RecordPrimary("s", at(1, 9), c.now)
		assertCleared(t, l, at(1, 7))
	})

	t.Run("a former primary", func(t *testing.T) {
		l, c := start()
		l.RecordPromotion("s", "b", lab.MemberState{Term: 2, Received: at(1, 5)})
		c.now += time.Second
		l.RecordPrimary("s", at(1, 7), c.now)
		assertCleared(t, l, lab.CommitPosition{})
		c.now++
		l.RecordPrimary("s", at(2, 6), c.now)
		assertCleared(t, l, at(2, 6))
	})

	t.Run("a response from the future", func(t *testing.T) {
		l, c := start()
		l.RecordPrimary("s", at(1, 7), c.now+time.Second)
		assertCleared(t, l, lab.CommitPosition{})
	})

	t.Run("paused before", func(t *testing.T) {
		l, _ := start()
		other := replica
		other.Incarnation++
		l.RecordPaused(other, true)
		l.RecordEnd(other)
		assert.Assert(t, !l.Ended("s")[0].Paused && l.Ended("s")[1].Paused)
	})

	// Guards against counting a pause that the next leader has ended.
	t.Run("paused under an earlier leader", func(t *testing.T) {
		l, _ := start()
		other := replica
		other.Incarnation++
		l.RecordPaused(other, true)
		l.ForgetPauses()
		l.RecordEnd(other)
		assert.Assert(t, !l.Ended("s")[1].Paused)
	})

	t.Run("down, then running, then down again", func(t *testing.T) {
		l, c := start()
		other := replica
		other.Member = "b"
		l.RecordDown(other)
		c.now++
		l.RecordPrimary("s", at(1, 7), c.now)
		assert.Assert(t, l.Ended("s")[1].Cleared, "a replica that is down receives nothing")
		l.RecordRunning(other)
		assert.Equal(t, len(l.Ended("s")), 1)
		c.now++
		l.RecordDown(other)
		assert.Assert(t, !l.Ended("s")[1].Cleared)
		l.RecordEnd(other)
		l.RecordRunning(other)
		assert.Equal(t, len(l.Ended("s")), 2, "an end is final")
	})

	t.Run("long ago", func(t *testing.T) {
		l, c := start()
		c.now += labmembers.ExpireAfter + 1
		assert.Equal(t, len(l.Ended("s")), 0)
	})
}
