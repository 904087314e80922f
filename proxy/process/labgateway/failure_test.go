package labgateway

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against a wrong word about a request whose connection fails: the outcome given is compared with what the
// upstream ran.
func TestLostConnection(t *testing.T) {
	b := newBench(t)
	b.primary.set(func() {
		b.primary.hook = func(sql string) act {
			switch {
			case strings.HasPrefix(sql, "INSERT before"):
				return actDropBefore
			case strings.HasPrefix(sql, "INSERT after"):
				return actDropAfter
			case strings.HasPrefix(sql, "INSERT cross"):
				return actCross
			case strings.HasPrefix(sql, "INSERT silence"):
				return actSilence
			case strings.HasPrefix(sql, "INSERT late"):
				return actLate
			case strings.HasPrefix(sql, "INSERT leave"):
				return actLeave
			}

			return actRun
		}
	})

	unknown := func(sql, reason string, ran int) func(*testing.T) {
		return func(t *testing.T) {
			_, answer, err := b.do(within(write(), 500*time.Millisecond), query(sql, false))
			wantOutcome(t, err, lab.OutcomeUnknown, reason)
			assert.Equal(t, answer, "")
			assert.Equal(t, b.primary.has(sql), ran)
		}
	}

	t.Run("during the statement", unknown("INSERT before", lab.ReasonConnectionLost, 0))
	t.Run("after the commit", unknown("INSERT after", lab.ReasonConnectionLost, 1))
	t.Run("crossed answer", unknown("INSERT cross", lab.ReasonConnectionLost, 1))
	t.Run("silent connection", unknown("INSERT silence", lab.ReasonDeadline, 0))
	t.Run("before the commit of a transaction", func(t *testing.T) {
		_, _, err := b.do(write(), query("BEGIN", true), query("INSERT before", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
		assert.Equal(t, b.primary.has("INSERT before"), 0)
	})

	for _, sql := range []string{"INSERT late", "INSERT leave"} {
		t.Run(sql+" leaves the next answer alone", func(t *testing.T) {
			for _, next := range []string{sql, "INSERT next to " + sql} {
				_, answer, err := b.do(write(), query(next, false))
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(answer, "LATE"))
				assert.Equal(t, b.primary.has(next), 1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}

	t.Run("before sending", func(t *testing.T) {
		b.primary.set(func() {
			for c := range b.primary.conns {
				c.Close()
			}
		})

		_, _, err := b.do(write(), query("INSERT fresh", false))
		assert.NilError(t, err)
		assert.Equal(t, b.primary.has("INSERT fresh"), 1)
	})
	t.Run("no primary", func(t *testing.T) {
		b.primary.kill()
		_, _, err := b.do(within(write(), 300*time.Millisecond), query("INSERT none", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Equal(t, b.primary.has("INSERT none"), 0)
	})
}

// Guards against waiting for a member that no longer answers, and against sending a unit on a dead connection.
func TestSilentMember(t *testing.T) {
	b := newBench(t)
	done := b.holding(t, "HOLD INSERT frozen")
	started := time.Now()
	melt := b.primary.freeze()
	wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
	assert.Assert(t, time.Since(started) < 1900*time.Millisecond, "waited for the deadline")
	melt()
	close(b.primary.hold)

	t.Run("writes wait for it without a slot", func(t *testing.T) {
		b := newBench(t)
		melt := b.primary.freeze()
		wait(t, func() bool { return b.view("a").Lost })

		done := b.start(write(), query("INSERT patient", false))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(b.control.slots["rota/a"]), 0)
		melt()
		assert.NilError(t, (<-done).err)
	})
	t.Run("probe before reuse", func(t *testing.T) {
		b := newBench(t)
		b.gateway.duties[b.duty].pools["a"].probeAfter = 0

		busy := []<-chan outcome{b.holding(t, "HOLD INSERT 1"), b.holding(t, "HOLD INSERT 2"), b.holding(t, "HOLD INSERT 3")}
		close(b.primary.hold)
		for _, done := range busy {
			assert.NilError(t, (<-done).err)
		}

		b.blind(t)
		b.primary.silence(t)
		started := time.Now()
		_, _, err := b.do(write(), query("INSERT after", false))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < 400*time.Millisecond, "each silent connection was waited for")
		assert.Equal(t, b.primary.has("INSERT after"), 1)
	})
	t.Run("open connections only", func(t *testing.T) {
		b := newBench(t)
		idle, running := b.holding(t, "HOLD INSERT idle"), b.holding(t, "HOLD INSERT running")
		b.primary.hold <- struct{}{}
		wait(t, func() bool { return len(idle)+len(running) == 1 })

		kept := func() int {
			p, _ := b.gateway.duties[b.duty].pool("a")
			p.mu.Lock()
			defer p.mu.Unlock()

			return len(p.idle)
		}
		assert.Equal(t, kept(), 1)

		started := time.Now()
		b.primary.silence(t)
		wait(t, func() bool { return b.view("a").SilentAt > 0 })
		wait(t, func() bool { return kept() == 0 })
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
		close(b.primary.hold)
		wait(t, func() bool { return len(idle)+len(running) == 2 })
		assert.Assert(t, time.Since(started) < 1500*time.Millisecond, "waited for the deadline")

		for _, done := range []<-chan outcome{idle, running} {
			if o := <-done; o.err != nil {
				wantOutcome(t, o.err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
			}
		}
	})
}

// Guards against acknowledging a commit that a failover could lose.
func TestAcknowledge(t *testing.T) {
	b := newBench(t)
	stop := func(follows bool) {
		b.replica.set(func() { b.replica.follows = follows })
		b.replica2.set(func() { b.replica2.follows = follows })
	}

	t.Run("waits for a replica", func(t *testing.T) {
		b.replica.set(func() { b.replica.lag = 60 * time.Millisecond })
		b.replica2.set(func() { b.replica2.follows = false })

		started := time.Now()
		_, _, err := b.do(write(), query("INSERT slow", false))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) > 50*time.Millisecond)
	})
	t.Run("past the deadline", func(t *testing.T) {
		b.replica.set(func() { b.replica.lag = 300 * time.Millisecond })
		_, _, err := b.do(within(write(), 150*time.Millisecond), query("INSERT late", false))
		assert.NilError(t, err)
	})
	t.Run("no replica receives", func(t *testing.T) {
		stop(false)

		_, answer, err := b.do(within(write(), 200*time.Millisecond), query("INSERT lonely", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
		assert.Equal(t, answer, "")
		assert.Equal(t, b.primary.has("INSERT lonely"), 1)
	})
	t.Run("leaving replica does not count", func(t *testing.T) {
		stop(false)
		b.replica.set(func() { b.replica.received = 1 << 20 })
		b.control.change(func(d *lab.Database) { d.Members[1].Draining = true })
		wait(t, func() bool { return b.view("b").Member.Draining && b.view("b").Status.Received.Offset == 1<<20 })

		_, _, err := b.do(within(write(), 200*time.Millisecond), query("INSERT leaving", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
	})
}
