package labfailover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

const orderTestLimit = 5 * time.Second // longer than an order without a result, and than settleTime

// orderTest is a replacement of a primary, in which replica b has the newest log.
type orderTest struct {
	*fakeService

	ordered []string // members of the orders that the platform has received
	took    time.Duration
}

// run replaces the primary, after prepare has changed the service.
func (w *orderTest) run(t *testing.T, serves bool, prepare func()) (member string, err error) {
	t.Helper()

	synctest.Test(t, func(*testing.T) {
		w.fakeService = newFakeService(map[string]uint64{"a": 4, "b": 7})
		w.logs.Clock = bubbleClock{time.Now()}
		w.onOrder = func(m string) bool { w.ordered = append(w.ordered, m); return true }

		prepare()

		ctx, cancel := context.WithTimeout(context.Background(), orderTestLimit)
		defer cancel()

		started := time.Now()

		var m lab.Announcement

		m, err = w.replacement(serves).Run(ctx)
		member, w.took = m.Member, time.Since(started)
	})

	return member, err
}

// TestWithdrawal guards against commits that proxies acknowledge while an order is on its way.
func TestWithdrawal(t *testing.T) {
	for _, c := range []struct {
		name   string
		serves bool
	}{{"primary lost", false}, {"primary leaves", true}} {
		t.Run(c.name+", before the order", func(t *testing.T) {
			var (
				w      orderTest
				before int
			)

			_, err := w.run(t, c.serves, func() {
				w.onRecord = func() { before = w.withdrawals }
			})
			assert.NilError(t, err)
			assert.Equal(t, before, 1)
		})

		t.Run(c.name+", it fails", func(t *testing.T) {
			var w orderTest

			_, err := w.run(t, c.serves, func() { w.withdrawErr = errNoResponse })
			assert.ErrorIs(t, err, errNoResponse)
			assert.Equal(t, w.lastToken, uint64(0))
			assert.Equal(t, len(w.calls), 0)
		})
	}

	t.Run("a replica has received more before it ends", func(t *testing.T) {
		var w orderTest

		_, err := w.run(t, true, func() {
			w.received["a"] = 7
			w.onWithdraw = func() {
				for _, m := range []string{"a", "b"} {
					if w.paused[m] {
						w.received[m] = 9
					}
				}
			}
		})
		assert.ErrorIs(t, err, ErrNoCandidate)
		assert.Equal(t, w.lastToken, uint64(0), "no order is recorded")
		assert.Equal(t, len(w.calls), 0)
	})
}

// TestOpenOrders guards against commits at a member that an order for another one still deposes.
func TestOpenOrders(t *testing.T) {
	// leadsEarlier lets b lead by an earlier order, while no order gets a response.
	leadsEarlier := func(w *orderTest) {
		w.lostCalls = 1 << 30
		w.onRecord = func() { w.primary = "b" }
	}

	t.Run("another one without an answer", func(t *testing.T) {
		var w orderTest

		_, err := w.run(t, false, func() { leadsEarlier(&w); w.open = []string{"b", "a"} })
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, w.confirmedToken, uint64(0))
	})

	t.Run("no other one without an answer", func(t *testing.T) {
		var w orderTest

		m, err := w.run(t, false, func() { leadsEarlier(&w); w.open = []string{"b"} })
		assert.NilError(t, err)
		assert.Equal(t, m, "b")
		assert.Equal(t, w.confirmedToken, uint64(10))
		assert.Assert(t, !w.answered)
	})

	t.Run("another one and an answer", func(t *testing.T) {
		var w orderTest

		m, err := w.run(t, false, func() { w.open = []string{"b", "a"} })
		assert.NilError(t, err)
		assert.Equal(t, m, "b")
		assert.Assert(t, w.answered)
		assert.Assert(t, w.took >= settleTime, "confirmed after %s", w.took)
	})

	t.Run("another one takes effect after the answer", func(t *testing.T) {
		var w orderTest

		m, err := w.run(t, false, func() {
			w.received["a"], w.open = 7, []string{"a"}
			w.onOrder = func(m string) bool {
				w.ordered = append(w.ordered, m)
				if m == "b" {
					w.open = []string{"a", "b"}

					time.AfterFunc(settleTime/2, func() {
						w.mutex.Lock()
						defer w.mutex.Unlock()

						w.primary, w.open = "a", []string{"a"}
					})
				}

				return true
			}
			w.paused["a"], w.received["b"] = true, 8
		})
		assert.NilError(t, err)
		assert.Equal(t, m, "a")
		assert.DeepEqual(t, w.ordered, []string{"b", "a"})
	})

	t.Run("refused", func(t *testing.T) {
		var w orderTest

		_, err := w.run(t, false, func() { w.rejectOrders = true })
		assert.ErrorContains(t, err, "not running")
		assert.Equal(t, w.refusedToken, uint64(10))
	})
}

// TestLeadLostWhileRecorded guards against recording orders without end for a member that has led when it was read, and against
// an order that stays open though it was never sent.
func TestLeadLostWhileRecorded(t *testing.T) {
	var w orderTest

	m, err := w.run(t, false, func() {
		w.primary = "a"
		w.onRecord = func() { w.primary, w.onRecord = "b", nil }
	})
	assert.NilError(t, err)
	assert.Equal(t, m, "b")
	assert.DeepEqual(t, w.calls, []uint64{20})
	assert.Equal(t, w.refusedToken, uint64(10))
}
