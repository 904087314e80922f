package labgateway

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// outcome is what a unit that runs in the background came to.
type outcome struct {
	result lab.BatchResult
	err    error
}

func (b *bench) start(header lab.TransactionHeader, units ...lab.MessageBatch) <-chan outcome {
	done := make(chan outcome, 1)

	go func() {
		result, _, err := b.do(header, units...)
		done <- outcome{result: result, err: err}
	}()

	return done
}

// assign renews the lease with these grants for a while.
func (b *bench) assign(until time.Duration, grants ...lab.Grant) {
	b.control.set(grants...)
	b.gateway.Assign(grants, b.gateway.Clock.Now()+until)
}

// follow lets the replicas follow the primary or not.
func (b *bench) follow(follows bool) {
	b.replica.set(func() { b.replica.follows = follows })
	b.replica2.set(func() { b.replica2.follows = follows })
}

// holding starts a write that the primary runs only when its hold is closed.
func (b *bench) holding(t *testing.T, sql string) <-chan outcome {
	t.Helper()

	done := b.start(write(), query(sql, false))
	wait(t, func() bool { return b.primary.wasAsked(sql) })

	return done
}

// Guards against acknowledging the write of a primary that may have been superseded since it was sent.
func TestSuperseded(t *testing.T) {
	t.Run("lease ends between sending and acknowledging", func(t *testing.T) {
		b := newBench(t)
		b.assign(50*time.Millisecond, b.grant)
		done := b.holding(t, "HOLD INSERT lease")
		b.control.set()
		time.Sleep(60 * time.Millisecond)
		close(b.primary.hold)
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonNoLease)
		wait(t, func() bool { return len(b.gateway.Held()) == 0 })
	})
	t.Run("lease ends before the gateway notices", func(t *testing.T) {
		b := newBench(t, time.Hour)
		b.follow(false)

		done := b.start(write(), query("INSERT late", false))
		wait(t, func() bool { return b.primary.has("INSERT late") == 1 })
		b.control.set()
		d := b.gateway.duties[b.duty]
		d.mu.Lock()
		d.current.until = 0
		d.mu.Unlock()
		b.replica.set(func() { b.replica.received = 110 })
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
	t.Run("term changes while the commit waits", func(t *testing.T) {
		b := newBench(t)
		b.follow(false)

		done := b.start(write(), query("INSERT waits", false))
		wait(t, func() bool { return b.primary.has("INSERT waits") == 1 })

		next := lab.Grant{Role: b.duty, Epoch: 1, Term: 2, Writable: true}
		b.control.set(next)
		b.gateway.Assign([]lab.Grant{next}, b.gateway.Clock.Now()+time.Hour)
		assert.Equal(t, len(b.gateway.Held()), 2, "the grant of the old term is still in use")
		b.primary.kill()
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
		b.follow(true)
		wait(t, func() bool { return len(b.gateway.Held()) == 1 })
		assert.Equal(t, b.gateway.Held()[0], next)
	})
	t.Run("old lease ends while the commit waits", func(t *testing.T) {
		b := newBench(t)
		b.follow(false)
		b.assign(80*time.Millisecond, b.grant)

		done := b.start(write(), query("INSERT waits", false))
		wait(t, func() bool { return b.primary.has("INSERT waits") == 1 })
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 2})
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
	t.Run("old lease ends while the write runs", func(t *testing.T) {
		b := newBench(t)
		b.assign(80*time.Millisecond, b.grant)
		done := b.holding(t, "HOLD INSERT endless")
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 2})

		started := time.Now()
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
		assert.Assert(t, time.Since(started) < time.Second)
		close(b.primary.hold)
	})
	t.Run("grants are valid for their time only", func(t *testing.T) {
		b := newBench(t)
		b.control.set()
		d := newDuty(b.gateway, hold{grant: lab.Grant{Role: b.duty, Epoch: 2}, until: b.gateway.Clock.Now() + time.Hour})
		d.previous = []hold{{grant: b.grant, until: b.gateway.Clock.Now() + 20*time.Millisecond}}
		assert.Assert(t, d.valid(b.grant, true))
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, !d.valid(b.grant, true))
		assert.Assert(t, !d.valid(lab.Grant{Role: b.duty, Epoch: 3}, true))
	})
	t.Run("write in progress finishes under the old lease", func(t *testing.T) {
		b := newBench(t)
		done := b.holding(t, "HOLD INSERT finishes")
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 2})
		b.control.change(func(d *lab.Database) { d.Primary = "" })
		time.Sleep(300 * time.Millisecond) // longer than the progress timeout
		close(b.primary.hold)
		assert.NilError(t, (<-done).err)
	})
	t.Run("no new write without a writable grant", func(t *testing.T) {
		b := newBench(t)
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 1})

		_, _, err := b.do(within(write(), 100*time.Millisecond), query("INSERT refused", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !b.primary.wasAsked("INSERT refused"))
	})
	t.Run("no new work under another epoch", func(t *testing.T) {
		b := newBench(t)
		b.control.set(lab.Grant{Role: b.duty, Epoch: 2, Term: 1, Writable: true})
		_, _, err := b.do(read(), query("SELECT refused", true))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoLease)
	})
	t.Run("write waits for the next grant", func(t *testing.T) {
		b := newBench(t)
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 1})

		done := b.start(write(), query("INSERT queued", false))
		time.Sleep(50 * time.Millisecond)
		b.assign(time.Hour, b.grant)
		assert.NilError(t, (<-done).err)
	})
	t.Run("no unit after the grant ended within a transaction", func(t *testing.T) {
		b := newBench(t)
		tx := b.open(t, 1)[0]

		b.control.set()
		d := b.gateway.duties[b.duty]
		d.mu.Lock()
		d.current.until = 0
		d.mu.Unlock()
		_, err := tx.Run(context.Background(), query("INSERT after", false), io.Discard)
		outcome, _ := lab.OutcomeOf(err)
		assert.Equal(t, outcome, lab.OutcomeNotRun)
		assert.Assert(t, !b.primary.wasAsked("INSERT after"))
	})
	t.Run("primary on another timeline gets nothing", func(t *testing.T) {
		b := newBench(t)
		b.primary.set(func() { b.primary.term = 7 })

		_, _, err := b.do(within(write(), 100*time.Millisecond), query("INSERT elsewhere", false))
		outcome, _ := lab.OutcomeOf(err)
		assert.Equal(t, outcome, lab.OutcomeNotRun)
		assert.Assert(t, !b.primary.wasAsked("INSERT elsewhere"))
	})
	t.Run("timeline changes under a pooled connection", func(t *testing.T) {
		b := newBench(t)
		_, _, err := b.do(write(), query("INSERT first", false))
		assert.NilError(t, err)
		b.primary.set(func() { b.primary.term = 7 })
		_, _, err = b.do(write(), query("INSERT second", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
}

// Guards against new work for a duty that was taken away, interrupted transactions, and a duty reported as released
// while connections are open.
func TestWithdrawn(t *testing.T) {
	b := newBench(t)
	_, _, err := b.do(read(), query("SELECT r", true))
	assert.NilError(t, err)

	for _, m := range []*fakeMember{b.primary, b.replica, b.replica2} {
		m.set(func() { m.slowClose = 100 * time.Millisecond })
	}

	done := b.holding(t, "HOLD INSERT moving")
	b.assign(time.Hour)

	_, _, err = b.do(write(), query("INSERT new", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoLease)
	b.control.set(b.grant) // a lease that is not yet updated must not let new work in either
	_, _, err = b.do(write(), query("INSERT new", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
	b.control.set()

	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(b.gateway.Held()), 1)
	close(b.primary.hold)
	assert.NilError(t, (<-done).err)

	wait(t, func() bool {
		if len(b.gateway.Held()) > 0 {
			return false
		}

		assert.Equal(t, b.primary.connections()+b.replica.connections()+b.replica2.connections(), 0)

		return true
	})
	_, _, err = b.do(write(), query("INSERT gone", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
}
