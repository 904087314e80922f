package labgateway

import (
	"context"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// transactionResult is the result of a transaction that runs in the background.
type transactionResult struct {
	result lab.BatchResult
	err    error
}

// startTransaction runs batches as one transaction in the background.
func (f *fixture) startTransaction(header lab.TransactionHeader, batches ...lab.MessageBatch) <-chan transactionResult {
	done := make(chan transactionResult, 1)

	go func() {
		result, _, err := f.run(header, batches...)
		done <- transactionResult{result: result, err: err}
	}()

	return done
}

// renewLease renews the lease with the given grants. The lease expires after ttl.
func (f *fixture) renewLease(ttl time.Duration, grants ...lab.Grant) {
	f.control.setGrants(grants...)
	f.gateway.Assign(grants, f.gateway.Clock.Now()+ttl)
}

// setReplication makes the replicas replicate from the primary or stop doing so.
func (f *fixture) setReplication(enabled bool) {
	f.replica.update(func() { f.replica.replicates = enabled })
	f.replica2.update(func() { f.replica2.replicates = enabled })
}

// startHeldWrite starts a write that the primary runs only when its resumeHeld channel is closed.
func (f *fixture) startHeldWrite(t *testing.T, sql string) <-chan transactionResult {
	t.Helper()

	done := f.startTransaction(writeHeader(), query(sql, false))
	waitUntil(t, func() bool { return f.primary.wasSent(sql) })

	return done
}

// startWaitingWrite starts a write and returns when its commit waits for a replica. By then the position of the write was
// read and its connection was released.
func (f *fixture) startWaitingWrite(t *testing.T, sql string) <-chan transactionResult {
	t.Helper()

	done := f.startTransaction(writeHeader(), query(sql, false))
	waitUntil(t, func() bool { return f.primary.countCommitted(sql) == 1 && f.releasedTransactions() == 1 })

	return done
}

// releasedTransactions returns the number of transactions that are registered and have no connection.
func (f *fixture) releasedTransactions() int {
	r := f.gateway.roles[f.role]
	r.mu.Lock()
	running := slices.Collect(maps.Keys(r.transactions))
	r.mu.Unlock()

	count := 0

	for _, tx := range running {
		tx.mu.Lock()
		if tx.conn == nil {
			count++
		}
		tx.mu.Unlock()
	}

	return count
}

// Guards against acknowledging a write to a primary that may have been superseded since the write was sent.
func TestSuperseded(t *testing.T) {
	t.Run("lease ends between sending and acknowledging", func(t *testing.T) {
		f := newFixture(t)
		f.renewLease(50*time.Millisecond, f.grant)
		done := f.startHeldWrite(t, "HOLD INSERT lease")
		f.control.setGrants()
		time.Sleep(60 * time.Millisecond)
		close(f.primary.resumeHeld)
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonNoLease)
		waitUntil(t, func() bool { return len(f.gateway.HeldGrants()) == 0 })
	})
	t.Run("lease ends before the gateway notices", func(t *testing.T) {
		f := newFixture(t, time.Hour)
		f.setReplication(false)

		done := f.startTransaction(writeHeader(), query("INSERT late", false))
		waitUntil(t, func() bool { return f.primary.countCommitted("INSERT late") == 1 })
		f.control.setGrants()
		r := f.gateway.roles[f.role]
		r.mu.Lock()
		r.current.expiry = 0
		r.mu.Unlock()
		f.replica.update(func() { f.replica.received = 110 })
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
	t.Run("term changes while the commit waits", func(t *testing.T) {
		f := newFixture(t)
		f.setReplication(false)

		done := f.startWaitingWrite(t, "INSERT waits")
		next := lab.Grant{Role: f.role, Epoch: 1, Term: 2, Writable: true}
		f.control.setGrants(next)
		f.gateway.Assign([]lab.Grant{next}, f.gateway.Clock.Now()+time.Hour)
		assert.Equal(t, len(f.gateway.HeldGrants()), 2, "the grant of the old term is still in use")
		f.primary.kill()
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
		f.setReplication(true)
		waitUntil(t, func() bool { return len(f.gateway.HeldGrants()) == 1 })
		assert.Equal(t, f.gateway.HeldGrants()[0], next)
	})
	t.Run("old lease ends while the commit waits", func(t *testing.T) {
		f := newFixture(t)
		f.setReplication(false)

		done := f.startWaitingWrite(t, "INSERT waits")
		f.renewLease(80*time.Millisecond, f.grant)
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 2})
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
	t.Run("old lease ends while the write runs", func(t *testing.T) {
		f := newFixture(t)
		f.renewLease(80*time.Millisecond, f.grant)
		done := f.startHeldWrite(t, "HOLD INSERT endless")
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 2})

		started := time.Now()
		wantOutcome(t, (<-done).err, lab.OutcomeUnknown, lab.ReasonSuperseded)
		assert.Assert(t, time.Since(started) < time.Second)
		close(f.primary.resumeHeld)
	})
	t.Run("grants are valid for their time only", func(t *testing.T) {
		f := newFixture(t)
		f.control.setGrants()
		r := newHeldRole(f.gateway, leasedGrant{
			grant: lab.Grant{Role: f.role, Epoch: 2}, expiry: f.gateway.Clock.Now() + time.Hour,
		})
		r.previous = []leasedGrant{{grant: f.grant, expiry: f.gateway.Clock.Now() + 20*time.Millisecond}}
		assert.Assert(t, r.grantValid(f.grant, true))
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, !r.grantValid(f.grant, true))
		assert.Assert(t, !r.grantValid(lab.Grant{Role: f.role, Epoch: 3}, true))
	})
	t.Run("write in progress finishes under the old lease", func(t *testing.T) {
		f := newFixture(t)
		done := f.startHeldWrite(t, "HOLD INSERT finishes")
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 2})
		f.control.changeDatabase(func(d *lab.Database) { d.Primary = "" })
		time.Sleep(300 * time.Millisecond) // longer than the progress timeout
		close(f.primary.resumeHeld)
		assert.NilError(t, (<-done).err)
	})
	t.Run("no new write without a writable grant", func(t *testing.T) {
		f := newFixture(t)
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 1})

		_, _, err := f.run(withDeadline(writeHeader(), 100*time.Millisecond), query("INSERT refused", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !f.primary.wasSent("INSERT refused"))
	})
	t.Run("no new work under another epoch", func(t *testing.T) {
		f := newFixture(t)
		f.control.setGrants(lab.Grant{Role: f.role, Epoch: 2, Term: 1, Writable: true})
		_, _, err := f.run(readHeader(), query("SELECT refused", true))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoLease)
	})
	t.Run("write waits for the next grant", func(t *testing.T) {
		f := newFixture(t)
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 1})

		done := f.startTransaction(writeHeader(), query("INSERT queued", false))
		time.Sleep(50 * time.Millisecond)
		f.renewLease(time.Hour, f.grant)
		assert.NilError(t, (<-done).err)
	})
	t.Run("no unit after the grant ended within a transaction", func(t *testing.T) {
		f := newFixture(t)
		tx := f.openTransactions(t, 1)[0]

		f.control.setGrants()
		r := f.gateway.roles[f.role]
		r.mu.Lock()
		r.current.expiry = 0
		r.mu.Unlock()
		_, err := tx.Run(context.Background(), query("INSERT after", false), io.Discard)
		outcome, _ := lab.OutcomeOf(err)
		assert.Equal(t, outcome, lab.OutcomeNotRun)
		assert.Assert(t, !f.primary.wasSent("INSERT after"))
	})
	t.Run("primary on another timeline gets nothing", func(t *testing.T) {
		f := newFixture(t)
		f.primary.update(func() { f.primary.term = 7 })

		_, _, err := f.run(withDeadline(writeHeader(), 100*time.Millisecond), query("INSERT elsewhere", false))
		outcome, _ := lab.OutcomeOf(err)
		assert.Equal(t, outcome, lab.OutcomeNotRun)
		assert.Assert(t, !f.primary.wasSent("INSERT elsewhere"))
	})
	t.Run("timeline changes under a pooled connection", func(t *testing.T) {
		f := newFixture(t)
		_, _, err := f.run(writeHeader(), query("INSERT first", false))
		assert.NilError(t, err)
		f.primary.update(func() { f.primary.term = 7 })
		_, _, err = f.run(writeHeader(), query("INSERT second", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonSuperseded)
	})
}

// Guards against starting transactions under a withdrawn gateway role, interrupting the running ones, and reporting the
// role as released while connections are open.
func TestWithdrawn(t *testing.T) {
	f := newFixture(t)
	_, _, err := f.run(readHeader(), query("SELECT r", true))
	assert.NilError(t, err)

	for _, m := range []*fakeMember{f.primary, f.replica, f.replica2} {
		m.update(func() { m.closeDelay = 100 * time.Millisecond })
	}

	done := f.startHeldWrite(t, "HOLD INSERT moving")
	f.renewLease(time.Hour)

	_, _, err = f.run(writeHeader(), query("INSERT new", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoLease)
	f.control.setGrants(f.grant) // a withdrawn role must reject transactions even if the lease still includes it
	_, _, err = f.run(writeHeader(), query("INSERT new", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
	f.control.setGrants()

	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(f.gateway.HeldGrants()), 1)
	close(f.primary.resumeHeld)
	assert.NilError(t, (<-done).err)

	waitUntil(t, func() bool {
		if len(f.gateway.HeldGrants()) > 0 {
			return false
		}

		assert.Equal(t, f.primary.openConnections()+f.replica.openConnections()+f.replica2.openConnections(), 0)

		return true
	})
	_, _, err = f.run(writeHeader(), query("INSERT gone", false))
	wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
}
