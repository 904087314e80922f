package labfailover

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// modelSequences are sequences that have lost acknowledged commits or have left a service without a primary.
func modelSequences() []modelSequence {
	return []modelSequence{
		// A replica that was down acknowledged a commit alone in a run that nobody saw.
		{"unseen_run", `write 0 800ms, crash 2 6s, write 0 5s, write 0 5s, unheard 2 5s, deaf 1 3.6s, write 0 100ms, crash 2 4s,
			dark 0 6s`},
		// A former primary whose later announcements were lost counted as the primary, and its log was not compared.
		{"stale_primary", `crash 0 700ms, unheard 0 5.9s, dark 2 3.3s, new_leader 0 600ms, write 0 100ms, leave 1 5.6s,
			unheard 1 100ms, dark 0 5.2s`},
		// A leader without memory had not heard of a replica.
		{"unknown_replica", `deaf 1 1.8s, write 0 100ms, unheard 2 5.3s, lost 0 200ms, empty_leader 0 400ms`},
		// A replica was lost for good, and the primary left.
		{"lost_replica", `write 0 600ms, write 0 5.6s, write 0 800ms, dark 2 3.3s, leave 0 600ms, new_leader 0 300ms,
			new_leader 0 400ms, lost 1 300ms`},
		// After its own order, an attempt took the former primary's log for complete, but the ordered member had led since.
		{"ordered_led_since", `cut_off 2 6s, write 0 3.2s, dark 0 3.7s, new_leader 1 5s, write 2 2.5s, write 0 1.1s, write 1 4.7s,
			cut_off 1 1.4s, write 1 4.6s, write 0 2.8s`},
		// The ordered member was lost for good before the order took effect, and the primary was back.
		{"lost_ordered", `crash 0 1.8s, lost 1 100ms, dark 0 1.5s`},
		{"lost_leading", `empty_leader 0 2.7s, write 2 100ms, deaf 1 100ms, empty_leader 0 1.8s, write 0 100ms, write 2 600ms,
			write 1 5s, crash 0 4s, empty_leader 0 1.5s, crash 2 600ms, lost 1 600ms, leave 1 1.6s, write 0 700ms, leave 2 200ms,
			new_leader 0 200ms, leave 1 1.1s, lost 2 1.7s, write 1 6s, suspended_leader 2 5.4s`},
		// The successor of a confirmed primary was never heard of, and another replica was lost.
		{"unknown_successor", `write 0 100ms, write 0 100ms, new_leader 0 100ms, leave 0 500ms, lost 1 100ms, write 0 2.3s, deaf 0 4.2s,
			clock_back 1 2.5s, clock_back 1 5.5s, leave 1 1.5s, write 1 100ms, write 2 800ms, write 0 3.3s, crash 2 1.1s,
			crash 2 400ms, unheard 1 1s`},
		// The successor of the primary was ordered, and another replica was lost before the promotion was confirmed.
		{"lost_after_order_for_successor", `cut_off 2 300ms, write 0 200ms, unheard 0 200ms, leave 2 5s, lost 2 4.7s, write 0 2.6s,
			write 0 500ms, write 2 200ms, dark 1 4.4s, late_orders 2 200ms, deaf 2 5.7s, leave 0 1.6s, lost 0 300ms,
			write 2 500ms, write 0 1.4s, unheard 1 700ms, write 1 100ms, deaf 0 2.6s, dark 0 200ms, unheard 2 300ms, lost 2 100ms,
			clock_back 1 3.1s, leave 2 4.8s, suspended_leader 0 100ms, lost 1 3.4s, deaf 0 300ms, dark 0 3.5s, write 2 3.3s,
			dark 1 1.4s`},
		// A deposed leader paused a former primary that its successor had resumed.
		{"former_paused_by_deposed", `write 0 4.4s, dark 0 200ms, cut_off 2 300ms, leave 1 1.6s, lost 2 1.3s, write 1 800ms, empty_leader 0 200ms,
			write 0 6s, write 2 700ms, leave 0 1.5s, leave 2 4.1s, write 2 2.3s, write 0 2.9s, write 0 200ms, lost 0 300ms,
			write 0 500ms, write 2 2.1s, series 2 1.5s, dark 1 4.9s, leave 2 200ms, suspended_leader 2 6s, dark 1 100ms,
			write 1 200ms, write 0 500ms`},
		// A replica that an earlier attempt had paused could not be read when a later attempt succeeded.
		{"paused_by_earlier_attempt", `leave 2 1s, write 1 4.4s, cut_off 1 300ms, write 2 200ms, write 2 500ms, clock_back 1 1.9s, write 0 100ms,
			write 2 100ms, clock_back 2 800ms, dark 2 1.1s, lost 2 100ms, write 1 4.7s, lost 1 200ms, clock_back 2 1s,
			write 0 100ms, cut_off 1 1.7s, series 0 6s, cut_off 2 3.1s, lost 2 300ms, write 2 3.6s, write 0 200ms,
			crash 0 200ms, lost 1 3.9s, write 0 300ms, write 0 1.4s, write 2 300ms, unheard 0 1.2s`},
		// A deposed leader paused the only other replica after its successor had ended the attempt.
		{"paused_by_deposed", `unheard 1 200ms, cut_off 2 4.5s, write 1 4.2s, leave 2 100ms, write 2 4.6s, deaf 2 100ms, dark 2 5.3s,
			leave 0 200ms, write 0 600ms, lost 1 200ms, suspended_leader 2 4.6s`},
		// The order for the one member with all commits was late, the successor of the former primary was read, and its last
		// commit counted as acknowledged.
		{"bound_by_successor", `leave 0 200ms, write 2 100ms, crash 1 4.9s, empty_leader 0 200ms, write 0 4.8s, lost 2 1.7s`},
		// Late orders for several members took effect in turn, and clients committed at each of them.
		{"late_orders_in_turn", `write 2 4.5s, silent_platform 1 5s, leave 0 5.5s, write 1 300ms`},
		{"late_after_answered", `write 0 4.5s, own_fates 2 4s, leave 0 1.7s, crash 1 1.1s`},
		{"late_after_crash", `write 0 200ms, own_fates 2 6s, write 2 1.7s, write 2 2s, silent_platform 0 1.6s, own_fates 0 4.3s, leave 0 6s,
			dark 2 300ms, late_orders 0 500ms, write 0 6s`},
		// A proxy without contact to control goes on committing. The replica that was paused started again and received the commits.
		{"cut_off_proxy", `silent_platform 1 5.2s, proxy_cut 0 2s, dark 0 1.5s, deaf 1 4s, crash 2 200ms, deaf 0 3s`},
		{"cut_off_proxy_for_long", `silent_platform 1 4.4s, proxy_cut 0 6s, dark 0 3s, write 0 4s, deaf 1 4s, crash 2 200ms, deaf 0 3s`},
		// A member that led by an earlier order was confirmed while an order for another one was open.
		{"confirmed_with_open_order", `silent_platform 0 6s, deaf 1 100ms, deaf 0 400ms, dark 0 900ms, deaf 1 5.7s, suspended_leader 1 5.9s,
			deaf 1 4.6s`},
		{"late_with_cut_off", `write 0 4s, cut_off 0 200ms, silent_platform 1 4.3s, write 0 400ms, write 0 1.5s, leave 2 300ms, write 2 4.2s,
			dark 0 1.2s, leave 0 200ms, late_orders 0 700ms, own_fates 0 4.5s, silent_platform 2 2.3s, cut_off 2 700ms, dark 1 5.4s,
			crash 2 3.3s, write 1 2.3s, write 1 3.2s, write 2 800ms, write 0 200ms`},
		{"late_with_suspended_leader", `suspended_leader 2 700ms, write 0 200ms, series 0 1.1s, leave 1 100ms, silent_platform 2 1.7s,
			write 1 100ms, suspended_leader 1 100ms, empty_leader 0 200ms, write 0 6s, empty_leader 2 600ms, write 1 200ms`},
		// The former primary stepped down, was ordered and led late. A replica without its last commits, read in the new term, was
		// taken to be ahead of what the former primary had reported before, and was ordered.
		{"promoted_after_step_down", `silent_platform 0 6s, dark 2 3.6s, crash 0 2.1s, deaf 0 100ms, deaf 0 4.7s, deaf 0 1.5s, leave 1 800ms,
			crash 1 1s, leave 0 100ms`},
		// The same on a platform that checks tokens: the order for the replica has the highest one.
		{"promoted_after_candidate_ended", `silent_platform 0 6s, dark 2 4.4s, deaf 0 100ms, deaf 0 100ms, crash 0 500ms, deaf 0 100ms,
			leave 1 2.6s, deaf 0 4.2s, dark 1 1.3s, deaf 1 4.3s`},
		{"late_with_successors", `leave 1 100ms, deaf 0 100ms, silent_platform 2 3.4s, deaf 2 2.7s, crash 0 200ms, own_fates 1 4.3s,
			leave 1 100ms, write 1 900ms, write 1 3.4s, write 2 1.5s, leave 0 800ms, new_leader 1 3.1s`},
	}
}

// modelSequence is a sequence with a name.
type modelSequence struct{ name, steps string }

func TestModelSequences(t *testing.T) {
	for _, s := range modelSequences() {
		t.Run(s.name, func(t *testing.T) {
			if v, trace := play(t, s.steps); len(v) > 0 {
				t.Errorf("%v\n%s", v, strings.Join(trace, "\n"))
			}
		})

		t.Run(s.name+"_fenced", func(t *testing.T) {
			if v, trace := playPrepared(t, s.steps, func(w *model) { w.fenced = true }); len(v) > 0 {
				t.Errorf("%v\n%s", v, strings.Join(trace, "\n"))
			}
		})
	}
}

// TestModelRepeats guards against sequences with another result in each run.
func TestModelRepeats(t *testing.T) {
	for _, s := range modelSequences() {
		t.Run(s.name, func(t *testing.T) {
			_, first := play(t, s.steps)
			for range 2 {
				_, again := play(t, s.steps)
				assert.DeepEqual(t, again, first)
			}
		})
	}
}

// TestModelLeaderChanges plays sequences of late orders in which the leader changes at any point.
func TestModelLeaderChanges(t *testing.T) {
	const limit = 10 * time.Second

	for _, s := range modelSequences() {
		if !strings.Contains(s.steps, "silent_platform") && !strings.Contains(s.steps, "own_fates") {
			continue
		}

		t.Run(s.name, func(t *testing.T) {
			for at := time.Duration(0); at < limit; at += modelTick {
				v, trace := playPrepared(t, s.steps, func(w *model) {
					w.after(modelStart+at, func() {
						w.note("new leader")
						w.leader.deposed.Store(true)
						w.replaceLeader(false)
					})
				})
				if len(v) > 0 {
					t.Fatalf("new leader after %s: %v\n%s", at, v, strings.Join(trace, "\n"))
				}
			}
		})
	}
}

// play plays a sequence and returns its violations and its trace.
func play(t *testing.T, steps string) (violations, trace []string) {
	t.Helper()

	return playPrepared(t, steps, func(*model) {})
}

func playPrepared(t *testing.T, steps string, prepare func(*model)) (violations, trace []string) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		w := newModel()
		w.locked(func() { prepare(w) })

		violations = w.run(parseSteps(t, steps))
		w.locked(func() { trace = w.trace })
	})

	return violations, trace
}

// parseSteps reads steps of the form "kind place pause".
func parseSteps(t *testing.T, list string) (out []modelStep) {
	t.Helper()

	for text := range strings.SplitSeq(list, ",") {
		var (
			s           modelStep
			name, pause string
		)

		if _, err := fmt.Sscan(text, &name, &s.place, &pause); err != nil {
			t.Fatalf("step %q: %v", text, err)
		}

		s.kind = kindNamed(name)

		d, err := time.ParseDuration(pause)
		if err != nil || s.kind < 0 {
			t.Fatalf("step %q: %v", text, err)
		}

		s.pause = d
		out = append(out, s)
	}

	return out
}

func TestModelStepDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newModel()
		l, m := w.leader, w.members[0]

		// A dial by address alone reaches whichever member is there.
		c, err := l.Dial(t.Context(), lab.Announcement{Address: m.announcement.Address}, "")
		assert.NilError(t, err)

		st, err := l.State(time.Time{}, c, lab.Operation{Kind: lab.OperationStepDown, Term: 1})
		assert.NilError(t, err)
		assert.Assert(t, st.Primary)

		st, err = l.State(time.Time{}, c, lab.Operation{Kind: lab.OperationStepDown, Term: 2})
		assert.NilError(t, err)
		assert.Assert(t, !st.Primary)

		w.locked(func() { w.write() })
		assert.Equal(t, w.commits, 0)

		w.locked(func() { w.restart(m) })
		assert.Equal(t, m.leads, *modelKinds&kindLeadsAgain != 0)
	})
}
