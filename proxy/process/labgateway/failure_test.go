package labgateway

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against reporting a wrong outcome for a request whose connection fails. The reported outcome is compared with
// what the upstream has run.
func TestLostConnection(t *testing.T) {
	f := newFixture(t)
	f.primary.update(func() {
		f.primary.hook = func(sql string) action {
			switch {
			case strings.HasPrefix(sql, "INSERT before"):
				return actDropBefore
			case strings.HasPrefix(sql, "INSERT after"):
				return actDropAfter
			case strings.HasPrefix(sql, "INSERT cross"):
				return actCrossedResponse
			case strings.HasPrefix(sql, "INSERT silence"):
				return actStaySilent
			case strings.HasPrefix(sql, "INSERT late"):
				return actLateResponse
			case strings.HasPrefix(sql, "INSERT leave"):
				return actCloseAfter
			}

			return actRun
		}
	})

	unknownOutcome := func(sql, reason string, ran int) func(*testing.T) {
		return func(t *testing.T) {
			_, response, err := f.run(withDeadline(writeHeader(), 500*time.Millisecond), query(sql, false))
			wantOutcome(t, err, lab.OutcomeUnknown, reason)
			assert.Equal(t, response, "")
			assert.Equal(t, f.primary.countCommitted(sql), ran)
		}
	}

	t.Run("during the statement", unknownOutcome("INSERT before", lab.ReasonConnectionLost, 0))
	t.Run("after the commit", unknownOutcome("INSERT after", lab.ReasonConnectionLost, 1))
	t.Run("response of another statement", unknownOutcome("INSERT cross", lab.ReasonConnectionLost, 1))
	t.Run("silent connection", unknownOutcome("INSERT silence", lab.ReasonDeadline, 0))
	t.Run("before the commit of a transaction", func(t *testing.T) {
		_, _, err := f.run(writeHeader(), query("BEGIN", true), query("INSERT before", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
		assert.Equal(t, f.primary.countCommitted("INSERT before"), 0)
	})

	for _, sql := range []string{"INSERT late", "INSERT leave"} {
		t.Run(sql+" does not affect the next response", func(t *testing.T) {
			for _, next := range []string{sql, "INSERT next to " + sql} {
				_, response, err := f.run(writeHeader(), query(next, false))
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(response, "LATE"))
				assert.Equal(t, f.primary.countCommitted(next), 1)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}

	t.Run("before sending", func(t *testing.T) {
		f.primary.update(func() {
			for c := range f.primary.conns {
				c.Close()
			}
		})

		_, _, err := f.run(writeHeader(), query("INSERT fresh", false))
		assert.NilError(t, err)
		assert.Equal(t, f.primary.countCommitted("INSERT fresh"), 1)
	})
	t.Run("no primary", func(t *testing.T) {
		f.primary.kill()
		_, _, err := f.run(withDeadline(writeHeader(), 300*time.Millisecond), query("INSERT none", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Equal(t, f.primary.countCommitted("INSERT none"), 0)
	})
}

// Guards against waiting for a member that no longer responds, and against sending a batch on a broken connection.
func TestSilentMember(t *testing.T) {
	f := newFixture(t)
	done := f.startHeldWrite(t, "HOLD INSERT frozen")
	started := time.Now()
	unblock := f.primary.block()
	wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
	assert.Assert(t, time.Since(started) < 1900*time.Millisecond, "waited for the deadline")
	unblock()
	close(f.primary.resumeHeld)

	t.Run("a write waits for the primary without a slot", func(t *testing.T) {
		f := newFixture(t)
		unblock := f.primary.block()
		waitUntil(t, func() bool { return f.view("a").Unreachable })

		done := f.startTransaction(writeHeader(), query("INSERT patient", false))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(f.control.slots["rota/a"]), 0)
		unblock()
		assert.NilError(t, (<-done).err)
	})
	t.Run("probe before reuse", func(t *testing.T) {
		f := newFixture(t)
		f.gateway.roles[f.role].pools["a"].probeAfterIdle = 0

		results := []<-chan transactionResult{
			f.startHeldWrite(t, "HOLD INSERT 1"), f.startHeldWrite(t, "HOLD INSERT 2"), f.startHeldWrite(t, "HOLD INSERT 3"),
		}
		close(f.primary.resumeHeld)
		for _, done := range results {
			assert.NilError(t, (<-done).err)
		}

		f.stopObserving(t)
		f.primary.blockOpenConnections(t)
		started := time.Now()
		_, _, err := f.run(writeHeader(), query("INSERT after", false))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < 400*time.Millisecond, "waited for each silent connection in turn")
		assert.Equal(t, f.primary.countCommitted("INSERT after"), 1)
	})
	t.Run("open connections are silent and new ones work", func(t *testing.T) {
		f := newFixture(t)
		idle, running := f.startHeldWrite(t, "HOLD INSERT idle"), f.startHeldWrite(t, "HOLD INSERT running")
		f.primary.resumeHeld <- struct{}{}
		waitUntil(t, func() bool { return len(idle)+len(running) == 1 })

		idleConnections := func() int {
			p, _ := f.gateway.roles[f.role].pool("a")
			p.mu.Lock()
			defer p.mu.Unlock()

			return len(p.idle)
		}
		assert.Equal(t, idleConnections(), 1)

		started := time.Now()
		f.primary.blockOpenConnections(t)
		waitUntil(t, func() bool { return f.view("a").UnresponsiveAt > 0 })
		waitUntil(t, func() bool { return idleConnections() == 0 })
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
		close(f.primary.resumeHeld)
		waitUntil(t, func() bool { return len(idle)+len(running) == 2 })
		assert.Assert(t, time.Since(started) < 1500*time.Millisecond, "waited for the deadline")

		for _, done := range []<-chan transactionResult{idle, running} {
			if o := <-done; o.err != nil {
				wantOutcome(t, o.err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
			}
		}
	})
}

// Guards against acknowledging a commit that a failover could lose.
func TestAcknowledge(t *testing.T) {
	f := newFixture(t)
	setReplication := func(enabled bool) {
		f.replica.update(func() { f.replica.replicates = enabled })
		f.replica2.update(func() { f.replica2.replicates = enabled })
	}

	t.Run("waits for a replica", func(t *testing.T) {
		f.replica.update(func() { f.replica.lag = 60 * time.Millisecond })
		f.replica2.update(func() { f.replica2.replicates = false })

		started := time.Now()
		_, _, err := f.run(writeHeader(), query("INSERT slow", false))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) > 50*time.Millisecond)
	})
	t.Run("past the deadline", func(t *testing.T) {
		f.replica.update(func() { f.replica.lag = 300 * time.Millisecond })
		_, _, err := f.run(withDeadline(writeHeader(), 150*time.Millisecond), query("INSERT late", false))
		assert.NilError(t, err)
	})
	t.Run("no replica receives", func(t *testing.T) {
		setReplication(false)

		_, response, err := f.run(withDeadline(writeHeader(), 200*time.Millisecond), query("INSERT lonely", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
		assert.Equal(t, response, "")
		assert.Equal(t, f.primary.countCommitted("INSERT lonely"), 1)
	})
	t.Run("a draining replica does not count", func(t *testing.T) {
		setReplication(false)
		f.replica.update(func() { f.replica.received = 1 << 20 })
		f.control.changeDatabase(func(d *lab.Database) { d.Members[1].Draining = true })
		waitUntil(t, func() bool { return f.view("b").Member.Draining && f.view("b").Status.Received.Offset == 1<<20 })

		_, _, err := f.run(withDeadline(writeHeader(), 200*time.Millisecond), query("INSERT leaving", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
	})
}
