package labfailover

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestPromotedAfterStepDown guards against losing commits when the former primary steps down, is ordered and leads late. A
// replica that lacks commits has learned of the new term by then. Its position, of the new term with a lower number, was
// taken to be ahead of the position that the former primary had reported when it stepped down. TestModelOrders showed this.
func TestPromotedAfterStepDown(t *testing.T) {
	const ended, behind = 7, 4 // the numbers of commits of the members before the promotion

	start := func(w *orderTest, promoted func()) func() {
		return func() {
			w.received = map[string]uint64{"a": behind, "p": ended}
			w.down["b"], w.dead["p"] = true, false
			w.logs.RecordReplica("s", "b", lab.CommitPosition{Term: 1, Number: ended})
			w.lostCalls = 1
			w.onRecord = func() {
				if w.lastToken == 0 {
					return
				}

				w.term, w.primary, w.paused, w.onRecord = 2, "p", map[string]bool{}, nil

				promoted()
			}
		}
	}

	t.Run("it can be read", func(t *testing.T) {
		var w orderTest

		m, err := w.run(t, false, start(&w, func() {}))
		assert.NilError(t, err)
		assert.Equal(t, m, "p")
		assert.DeepEqual(t, w.ordered, []string{"p"})
		assert.Equal(t, w.received[w.primary], uint64(ended))
	})

	t.Run("it can't be read", func(t *testing.T) {
		var w orderTest

		_, err := w.run(t, false, start(&w, func() { w.dead["p"], w.connections["p"].lost = true, true }))
		assert.Assert(t, err != nil)
		assert.Equal(t, len(w.ordered), 0, "only the order without a response was sent")
	})

	// The place of the former primary may be left out, not those of two members.
	t.Run("it has ended without a successor", func(t *testing.T) {
		var w orderTest

		_, err := w.run(t, false, start(&w, func() { w.down["p"], w.connections["p"].lost, w.primary = true, true, "" }))
		assert.Assert(t, err != nil)
		assert.Equal(t, len(w.ordered), 0, "only the order without a response was sent")
	})
}

// TestPromotedMeanwhile guards against pauses that replicas of a new term ignore: the attempt that sent them must end.
func TestPromotedMeanwhile(t *testing.T) {
	var w orderTest

	_, err := w.run(t, true, func() {
		w.onWithdraw = func() { w.term, w.paused = 2, map[string]bool{} }
	})
	assert.ErrorIs(t, err, errSuperseded)
	assert.Equal(t, len(w.calls), 0)
}

// TestBoundAfterRollback guards against a service without a candidate, after a promotion has rolled back commits that a replica
// had received between the order and its effect: no member reaches their number any more.
func TestBoundAfterRollback(t *testing.T) {
	var w orderTest

	m, err := w.run(t, false, func() {
		w.logs.RecordReplica("s", "b", lab.CommitPosition{Term: 1, Number: 9})
		w.term, w.primary = 2, "b"
	})
	assert.NilError(t, err)
	assert.Equal(t, m, "b")
	assert.Equal(t, w.bound, lab.CommitPosition{Term: 2, Number: 7})
	assert.Equal(t, w.logs.Bound("s").Position, lab.CommitPosition{Term: 2, Number: 7})
}

// TestGivenUp guards against a service that stays without a primary although the missing members are given up.
func TestGivenUp(t *testing.T) {
	t.Run("replicas of different terms", func(t *testing.T) {
		s := &Replacement{Replicas: []ReplicaState{replicaState("a", 24), replicaState("b", 15, inTerm(2))}}
		assert.Assert(t, !s.hasNewestLog("a") && !s.hasNewestLog("b"))

		s.GivenUp = true
		assert.Assert(t, !s.hasNewestLog("a") && s.hasNewestLog("b"))
	})

	// The order is in the replicated log, and its bound would hold for the next leader.
	t.Run("the order doesn't ask for the commits that are given up", func(t *testing.T) {
		w := newFakeService(map[string]uint64{"a": 4, "b": 7})
		w.logs.RecordReplica("s", "gone", lab.CommitPosition{Term: 1, Number: 9})

		s := w.replacement(false)
		s.GivenUp = true

		m, err := s.Run(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, m.Member, "b")
		assert.Equal(t, w.bound, lab.CommitPosition{Term: 1, Number: 7})
	})
}
