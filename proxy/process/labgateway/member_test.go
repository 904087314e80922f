package labgateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// usableConnections is the maximum number of connections to a fake member that the gateway and its observer may have
// open together. Each fake member announces 8 connections.
const usableConnections = 8 - lab.ReservedConnections

func (f *fixture) assertConnectionLimit(t *testing.T) {
	t.Helper()

	for _, m := range []*fakeMember{f.primary, f.replica, f.replica2} {
		m.mu.Lock()
		peak := m.maxOpen
		m.mu.Unlock()
		assert.Assert(t, peak <= usableConnections, "%d connections to %s, %d allowed",
			peak, m.announcement.Member, usableConnections)
	}
}

// cancelAll cancels all registered transactions.
func (f *fixture) cancelAll() {
	r := f.gateway.roles[f.role]
	r.mu.Lock()
	running := slices.Collect(maps.Keys(r.transactions))
	r.mu.Unlock()

	for _, tx := range running {
		tx.Cancel()
	}
}

// Guards against opening more connections than a member accepts: under load, with failing connections, open
// transactions and cancel requests, and while a gateway role moves to another proxy.
func TestBudget(t *testing.T) {
	t.Run("load", func(t *testing.T) {
		f := newFixture(t)
		f.primary.update(func() {
			f.primary.closeDelay = 10 * time.Millisecond
			f.primary.hook = func(sql string) action {
				if strings.HasSuffix(sql, "7") {
					return actDropAfter
				}

				return actRun
			}
		})

		var work sync.WaitGroup

		for n := range 40 {
			work.Go(func() {
				for i := range 5 {
					switch {
					case n%2 == 0:
						_, _, _ = f.run(readHeader(), query(fmt.Sprintf("SELECT %d %d", n, i), true))
					case n%5 == 0: // the client disconnects before COMMIT
						_, _, _ = f.run(writeHeader(),
							query("BEGIN", true), query(fmt.Sprintf("INSERT %d %d", i, n), false))
					default:
						_, _, _ = f.run(writeHeader(),
							query("BEGIN", true), query(fmt.Sprintf("INSERT %d %d", i, n), false), query("COMMIT", false))
					}
				}
			})
		}

		work.Wait()
		f.assertConnectionLimit(t)
		assert.Assert(t, f.primary.countCommitted("INSERT 0 1") == 1)
	})
	t.Run("open transactions and cancel", func(t *testing.T) {
		f := newFixture(t)

		open := f.openTransactions(t, usableConnections-2)

		held := f.startHeldWrite(t, "HOLD INSERT last")
		_, _, err := f.run(withDeadline(writeHeader(), 100*time.Millisecond), query("INSERT none left", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDeadline)

		f.cancelAll()

		for _, tx := range open {
			tx.Close()
		}

		close(f.primary.resumeHeld)
		<-held
		f.assertConnectionLimit(t)
	})
	t.Run("cancel while a connection is opened", func(t *testing.T) {
		f := newFixture(t)
		f.primary.update(func() { f.primary.closeDelay = 50 * time.Millisecond })

		open := f.openTransactions(t, usableConnections-3)

		held := f.startHeldWrite(t, "HOLD INSERT cancelled")
		cancelled := make(chan struct{})

		go func() {
			defer close(cancelled)
			f.cancelAll()
		}()

		time.Sleep(10 * time.Millisecond)
		_, _, err := f.run(writeHeader(), query("INSERT beside", false))
		assert.NilError(t, err)
		close(f.primary.resumeHeld)
		<-held
		<-cancelled

		for _, tx := range open {
			tx.Close()
		}

		f.assertConnectionLimit(t)
	})
	t.Run("gateway role moves", func(t *testing.T) {
		f := newFixture(t)
		next := &Gateway{
			Self: lab.Instance{ID: "p2", Region: "coast"}, Clock: f.gateway.Clock, Catalog: f.control, Lease: f.control,
			Admission: f.control, IdempotencyRegistry: f.registry, Dialer: f.gateway.Dialer,
			CheckInterval: 10 * time.Millisecond, Observer: f.gateway.Observer,
		}
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})

		go func() { defer close(stopped); _ = next.Run(ctx) }()

		defer func() { cancel(); <-stopped }()

		var work sync.WaitGroup

		for range 12 {
			work.Go(func() { _, _, _ = f.run(writeHeader(), query("INSERT old", false)) })
		}

		work.Wait()
		f.gateway.Assign(nil, f.gateway.Clock.Now()+time.Hour)
		waitUntil(t, func() bool { return len(f.gateway.HeldGrants()) == 0 })
		next.Assign([]lab.Grant{f.grant}, next.Clock.Now()+time.Hour)

		f.gateway = next
		for range 12 {
			work.Go(func() { _, _, _ = f.run(writeHeader(), query("INSERT new", false)) })
		}

		work.Wait()
		assert.Equal(t, f.primary.countCommitted("INSERT new"), 12)
		f.assertConnectionLimit(t)
	})
}

// Guards against starting transactions on a draining member, and against terminating its running transactions before
// the drain grace period has passed.
func TestDrainingMember(t *testing.T) {
	startDraining := func(f *fixture, member int) {
		f.control.changeDatabase(func(d *lab.Database) { d.Members[member].Draining = true })
		time.Sleep(30 * time.Millisecond)
	}

	t.Run("no new reads", func(t *testing.T) {
		f := newFixture(t)
		startDraining(f, 2)

		for range 5 {
			result, _, err := f.run(readHeader(), query("SELECT staying", true))
			assert.NilError(t, err)
			assert.Equal(t, result.Member, "b")
		}

		waitUntil(t, func() bool { return f.replica2.openConnections() == 1 }) // only the observer's connection is left
	})
	t.Run("no new writes", func(t *testing.T) {
		f := newFixture(t)
		startDraining(f, 0)

		_, _, err := f.run(withDeadline(writeHeader(), 50*time.Millisecond), query("INSERT refused", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !f.primary.wasSent("INSERT refused"))
	})
	t.Run("a transaction finishes within the grace", func(t *testing.T) {
		f := newFixture(t)
		done := f.startHeldWrite(t, "HOLD INSERT finishes")
		startDraining(f, 0)
		close(f.primary.resumeHeld)
		assert.NilError(t, (<-done).err)
	})
	t.Run("a transaction is terminated after the grace", func(t *testing.T) {
		f := newFixture(t)
		started := time.Now()
		tx := f.openTransactions(t, 1)[0]
		running := f.startHeldWrite(t, "HOLD INSERT endless")
		startDraining(f, 0)
		wantOutcome(t, (<-running).err, lab.OutcomeUnknown, lab.ReasonDraining)
		assert.Assert(t, time.Since(started) > 200*time.Millisecond && time.Since(started) < time.Second)

		_, err := tx.Run(context.Background(), query("INSERT idle", false), io.Discard)
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDraining)
		close(f.primary.resumeHeld)
	})
}

// Guards against running a request with an idempotency key twice, and against a key that stays reserved although
// nothing has run.
func TestIdempotencyKey(t *testing.T) {
	f := newFixture(t)
	headerWithKey := func(name string) lab.TransactionHeader {
		h := writeHeader()
		h.IdempotencyKey = name

		return h
	}
	state := func(name string) lab.IdempotencyState {
		f.registry.mu.Lock()
		defer f.registry.mu.Unlock()

		return f.registry.records[name].State
	}

	t.Run("repeated", func(t *testing.T) {
		for n := range 2 {
			result, response, err := f.run(headerWithKey("n1"), query("INSERT once", false))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(response, "INSERT 0 1"))
			assert.Equal(t, strings.Contains(response, lab.SQLStateDuplicate), n == 1)
			assert.Equal(t, result.Position.Offset, uint64(110))
		}

		assert.Equal(t, f.primary.countCommitted("INSERT once"), 1)
	})
	t.Run("repeated transaction", func(t *testing.T) {
		batches := []lab.MessageBatch{query("BEGIN", true), query("INSERT block", false), query("COMMIT", false)}
		_, _, err := f.run(headerWithKey("n2"), batches...)
		assert.NilError(t, err)
		_, _, err = f.run(headerWithKey("n2"), batches...)
		wantOutcome(t, err, lab.OutcomeDuplicate, lab.ReasonDuplicate)
		assert.Equal(t, f.primary.countCommitted("INSERT block"), 1)
	})
	t.Run("in doubt", func(t *testing.T) {
		f.primary.update(func() { f.primary.hook = func(string) action { return actDropAfter } })
		_, _, err := f.run(headerWithKey("n3"), query("INSERT doubt", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
		f.primary.update(func() { f.primary.hook = nil })
		_, _, err = f.run(headerWithKey("n3"), query("INSERT doubt", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDuplicate)
		assert.Equal(t, f.primary.countCommitted("INSERT doubt"), 1)
		assert.Equal(t, f.registry.resolveCalls["n3"], 0)
	})

	keyFreedAfter := func(name string, batches ...lab.MessageBatch) func(*testing.T) {
		return func(t *testing.T) {
			_, _, _ = f.run(headerWithKey(name), batches...)
			assert.Equal(t, state(name), lab.IdempotencyNotRun)
			_, _, err := f.run(headerWithKey(name), query("INSERT "+name, false))
			assert.NilError(t, err)
			assert.Equal(t, f.primary.countCommitted("INSERT "+name), 1)
		}
	}

	t.Run("failed statement", keyFreedAfter("n4", query("FAIL", false)))
	t.Run("rolled back", keyFreedAfter("n5", query("BEGIN", true), query("INSERT n5", false), query("ROLLBACK", true)))
	t.Run("abandoned", keyFreedAfter("n6", query("BEGIN", true), query("INSERT n6", false)))
	t.Run("malformed", keyFreedAfter("n7", lab.MessageBatch{Messages: []byte("x")}))
	t.Run("no registry", func(t *testing.T) {
		f := newFixture(t)
		f.gateway.IdempotencyRegistry = nil
		_, _, err := f.run(headerWithKey("n9"), query("INSERT n9", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoRegistry)
	})
	t.Run("not admitted", func(t *testing.T) {
		h := headerWithKey("n8")
		h.TimeLeft = 50 * time.Millisecond
		f.control.setGrants(lab.Grant{Role: f.role, Epoch: 1, Term: 1})
		_, _, err := f.run(h, query("INSERT n8", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Equal(t, state("n8"), lab.IdempotencyNotRun)
	})
}

// Guards against reusing a connection for another client when its session is not reset, or when a transaction or a
// cancel request on it may not have ended.
func TestReuse(t *testing.T) {
	f := newFixture(t)
	f.replica.kill() // the subtests count only connections to the primary

	t.Run("client disconnects", func(t *testing.T) {
		before := f.primary.openConnections()
		tx := f.openTransactions(t, 1)[0]
		_, err := tx.Run(context.Background(), query("INSERT vanished", false), io.Discard)
		assert.NilError(t, err)
		tx.Close()
		waitUntil(t, func() bool { return f.primary.openConnections() <= before })
		_, _, err = f.run(writeHeader(), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, f.primary.countCommitted("INSERT vanished"), 0)
	})
	t.Run("changed session", func(t *testing.T) {
		batch := query("SET x", false)
		batch.ChangesSession = true
		_, _, err := f.run(writeHeader(), batch)
		assert.NilError(t, err)
		waitUntil(t, func() bool { return f.primary.wasSent("DISCARD ALL") })
	})
	t.Run("cancelled", func(t *testing.T) {
		tx, err := f.gateway.Begin(context.Background(), writeHeader())
		assert.NilError(t, err)

		done := make(chan error, 1)
		go func() {
			_, err := tx.Run(context.Background(), query("HOLD INSERT cancelled", false), &bytes.Buffer{})
			done <- err
		}()
		waitUntil(t, func() bool { return f.primary.wasSent("HOLD INSERT cancelled") })

		inner := tx.(*transaction)
		inner.mu.Lock()
		conn := inner.conn
		inner.mu.Unlock()
		tx.Cancel()
		close(f.primary.resumeHeld)
		assert.NilError(t, <-done)
		waitUntil(t, conn.Broken)
	})
	t.Run("resets within the slots", func(t *testing.T) {
		f := newFixture(t)
		f.primary.update(func() {
			f.primary.hook = func(string) action { time.Sleep(5 * time.Millisecond); return actRun }
		})

		var work sync.WaitGroup

		for range 12 {
			work.Go(func() {
				batch := query("SET x", false)
				batch.ChangesSession = true
				_, _, err := f.run(writeHeader(), batch)
				assert.Check(t, err)
			})
		}

		work.Wait()
		waitUntil(t, func() bool { return f.primary.wasSent("DISCARD ALL") })
		f.primary.update(func() { assert.Check(t, f.primary.maxRunning <= 3, "%d statements at once", f.primary.maxRunning) })
	})
	t.Run("no slot is held between batches", func(t *testing.T) {
		open := f.openTransactions(t, 4) // one more than the member has slots

		for _, tx := range open {
			tx.Close()
		}
	})
}
