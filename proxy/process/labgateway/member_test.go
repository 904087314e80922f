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

// limit is how many connections a fake member grants this proxy.
const limit = 8 - lab.ReservedConnections

func (b *bench) withinBudget(t *testing.T) {
	t.Helper()

	for _, m := range []*fakeMember{b.primary, b.replica, b.replica2} {
		m.mu.Lock()
		peak := m.peak
		m.mu.Unlock()
		assert.Assert(t, peak <= limit, "%d connections to %s, %d allowed", peak, m.announcement.Member, limit)
	}
}

// cancelAll cancels whatever runs.
func (b *bench) cancelAll() {
	d := b.gateway.duties[b.duty]
	d.mu.Lock()
	running := slices.Collect(maps.Keys(d.transactions))
	d.mu.Unlock()

	for _, tx := range running {
		tx.Cancel()
	}
}

// Guards against more connections than a member accepts: under load, with connections that fail, open transactions
// and cancel requests, and while a duty moves.
func TestBudget(t *testing.T) {
	t.Run("load", func(t *testing.T) {
		b := newBench(t)
		b.primary.set(func() {
			b.primary.slowClose = 10 * time.Millisecond
			b.primary.hook = func(sql string) act {
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
						_, _, _ = b.do(read(), query(fmt.Sprintf("SELECT %d %d", n, i), true))
					case n%5 == 0: // the caller vanishes
						_, _, _ = b.do(write(), query("BEGIN", true), query(fmt.Sprintf("INSERT %d %d", i, n), false))
					default:
						_, _, _ = b.do(write(), query("BEGIN", true), query(fmt.Sprintf("INSERT %d %d", i, n), false), query("COMMIT", false))
					}
				}
			})
		}

		work.Wait()
		b.withinBudget(t)
		assert.Assert(t, b.primary.has("INSERT 0 1") == 1)
	})
	t.Run("open transactions and cancel", func(t *testing.T) {
		b := newBench(t)

		open := b.open(t, limit-2)

		held := b.holding(t, "HOLD INSERT last")
		_, _, err := b.do(within(write(), 100*time.Millisecond), query("INSERT none left", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDeadline)

		b.cancelAll()

		for _, tx := range open {
			tx.Close()
		}

		close(b.primary.hold)
		<-held
		b.withinBudget(t)
	})
	t.Run("cancel beside a new connection", func(t *testing.T) {
		b := newBench(t)
		b.primary.set(func() { b.primary.slowClose = 50 * time.Millisecond })

		open := b.open(t, limit-3)

		held := b.holding(t, "HOLD INSERT cancelled")
		cancelled := make(chan struct{})

		go func() {
			defer close(cancelled)
			b.cancelAll()
		}()

		time.Sleep(10 * time.Millisecond)
		_, _, err := b.do(write(), query("INSERT beside", false))
		assert.NilError(t, err)
		close(b.primary.hold)
		<-held
		<-cancelled

		for _, tx := range open {
			tx.Close()
		}

		b.withinBudget(t)
	})
	t.Run("moving duty", func(t *testing.T) {
		b := newBench(t)
		next := &Gateway{
			Self: lab.Instance{ID: "p2", Region: "coast"}, Clock: b.gateway.Clock, Routes: b.control, Lease: b.control,
			Admission: b.control, Once: b.once, Dialer: b.gateway.Dialer, Tick: 10 * time.Millisecond,
			Observer: b.gateway.Observer,
		}
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})

		go func() { defer close(stopped); _ = next.Run(ctx) }()

		defer func() { cancel(); <-stopped }()

		var work sync.WaitGroup

		for range 12 {
			work.Go(func() { _, _, _ = b.do(write(), query("INSERT old", false)) })
		}

		work.Wait()
		b.gateway.Assign(nil, b.gateway.Clock.Now()+time.Hour)
		wait(t, func() bool { return len(b.gateway.Held()) == 0 })
		next.Assign([]lab.Grant{b.grant}, next.Clock.Now()+time.Hour)

		b.gateway = next
		for range 12 {
			work.Go(func() { _, _, _ = b.do(write(), query("INSERT new", false)) })
		}

		work.Wait()
		assert.Equal(t, b.primary.has("INSERT new"), 12)
		b.withinBudget(t)
	})
}

// Guards against new work for a leaving member, and against cutting off what it still runs.
func TestLeaving(t *testing.T) {
	leave := func(b *bench, member int) {
		b.control.change(func(d *lab.Database) { d.Members[member].Draining = true })
		time.Sleep(30 * time.Millisecond)
	}

	t.Run("no new reads", func(t *testing.T) {
		b := newBench(t)
		leave(b, 2)

		for range 5 {
			result, _, err := b.do(read(), query("SELECT staying", true))
			assert.NilError(t, err)
			assert.Equal(t, result.Member, "b")
		}

		wait(t, func() bool { return b.replica2.connections() == 1 }) // the observer's
	})
	t.Run("no new writes", func(t *testing.T) {
		b := newBench(t)
		leave(b, 0)

		_, _, err := b.do(within(write(), 50*time.Millisecond), query("INSERT refused", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !b.primary.wasAsked("INSERT refused"))
	})
	t.Run("a transaction finishes within the grace", func(t *testing.T) {
		b := newBench(t)
		done := b.holding(t, "HOLD INSERT finishes")
		leave(b, 0)
		close(b.primary.hold)
		assert.NilError(t, (<-done).err)
	})
	t.Run("and is ended after it", func(t *testing.T) {
		b := newBench(t)
		started := time.Now()
		tx := b.open(t, 1)[0]
		running := b.holding(t, "HOLD INSERT endless")
		leave(b, 0)
		wantOutcome(t, (<-running).err, lab.OutcomeUnknown, lab.ReasonDraining)
		assert.Assert(t, time.Since(started) > 200*time.Millisecond && time.Since(started) < time.Second)

		_, err := tx.Run(context.Background(), query("INSERT idle", false), io.Discard)
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonDraining)
		close(b.primary.hold)
	})
}

// Guards against a named request that runs twice, or a name that stays taken although nothing ran.
func TestOnce(t *testing.T) {
	b := newBench(t)
	named := func(name string) lab.TransactionHeader {
		h := write()
		h.IdempotencyKey = name

		return h
	}
	state := func(name string) lab.IdempotencyState {
		b.once.mu.Lock()
		defer b.once.mu.Unlock()

		return b.once.records[name].State
	}

	t.Run("repeated", func(t *testing.T) {
		for n := range 2 {
			result, answer, err := b.do(named("n1"), query("INSERT once", false))
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(answer, "INSERT 0 1"))
			assert.Equal(t, strings.Contains(answer, lab.SQLStateDuplicate), n == 1)
			assert.Equal(t, result.Position.Offset, uint64(110))
		}

		assert.Equal(t, b.primary.has("INSERT once"), 1)
	})
	t.Run("repeated transaction", func(t *testing.T) {
		units := []lab.MessageBatch{query("BEGIN", true), query("INSERT block", false), query("COMMIT", false)}
		_, _, err := b.do(named("n2"), units...)
		assert.NilError(t, err)
		_, _, err = b.do(named("n2"), units...)
		wantOutcome(t, err, lab.OutcomeDuplicate, lab.ReasonDuplicate)
		assert.Equal(t, b.primary.has("INSERT block"), 1)
	})
	t.Run("in doubt", func(t *testing.T) {
		b.primary.set(func() { b.primary.hook = func(string) act { return actDropAfter } })
		_, _, err := b.do(named("n3"), query("INSERT doubt", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonConnectionLost)
		b.primary.set(func() { b.primary.hook = nil })
		_, _, err = b.do(named("n3"), query("INSERT doubt", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDuplicate)
		assert.Equal(t, b.primary.has("INSERT doubt"), 1)
		assert.Equal(t, b.once.settled["n3"], 0)
	})

	free := func(name string, units ...lab.MessageBatch) func(*testing.T) {
		return func(t *testing.T) {
			_, _, _ = b.do(named(name), units...)
			assert.Equal(t, state(name), lab.IdempotencyNotRun)
			_, _, err := b.do(named(name), query("INSERT "+name, false))
			assert.NilError(t, err)
			assert.Equal(t, b.primary.has("INSERT "+name), 1)
		}
	}

	t.Run("failed statement", free("n4", query("FAIL", false)))
	t.Run("rolled back", free("n5", query("BEGIN", true), query("INSERT n5", false), query("ROLLBACK", true)))
	t.Run("abandoned", free("n6", query("BEGIN", true), query("INSERT n6", false)))
	t.Run("malformed", free("n7", lab.MessageBatch{Messages: []byte("x")}))
	t.Run("no registry", func(t *testing.T) {
		b := newBench(t)
		b.gateway.Once = nil
		_, _, err := b.do(named("n9"), query("INSERT n9", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoRegistry)
	})
	t.Run("not admitted", func(t *testing.T) {
		h := named("n8")
		h.TimeLeft = 50 * time.Millisecond
		b.control.set(lab.Grant{Role: b.duty, Epoch: 1, Term: 1})
		_, _, err := b.do(h, query("INSERT n8", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Equal(t, state("n8"), lab.IdempotencyNotRun)
	})
}

// Guards against a connection that another caller gets in a state that is in doubt or not reset.
func TestReuse(t *testing.T) {
	b := newBench(t)
	b.replica.kill() // leaves the connections of the primary to count

	t.Run("vanished caller", func(t *testing.T) {
		before := b.primary.connections()
		tx := b.open(t, 1)[0]
		_, err := tx.Run(context.Background(), query("INSERT vanished", false), io.Discard)
		assert.NilError(t, err)
		tx.Close()
		wait(t, func() bool { return b.primary.connections() <= before })
		_, _, err = b.do(write(), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, b.primary.has("INSERT vanished"), 0)
	})
	t.Run("changed session", func(t *testing.T) {
		unit := query("SET x", false)
		unit.ChangesSession = true
		_, _, err := b.do(write(), unit)
		assert.NilError(t, err)
		wait(t, func() bool { return b.primary.wasAsked("DISCARD ALL") })
	})
	t.Run("cancelled", func(t *testing.T) {
		tx, err := b.gateway.Begin(context.Background(), write())
		assert.NilError(t, err)

		done := make(chan error, 1)
		go func() {
			_, err := tx.Run(context.Background(), query("HOLD INSERT cancelled", false), &bytes.Buffer{})
			done <- err
		}()
		wait(t, func() bool { return b.primary.wasAsked("HOLD INSERT cancelled") })

		inner := tx.(*transaction)
		inner.mu.Lock()
		conn := inner.conn
		inner.mu.Unlock()
		tx.Cancel()
		close(b.primary.hold)
		assert.NilError(t, <-done)
		wait(t, conn.Broken)
	})
	t.Run("resets within the slots", func(t *testing.T) {
		b := newBench(t)
		b.primary.set(func() {
			b.primary.hook = func(string) act { time.Sleep(5 * time.Millisecond); return actRun }
		})

		var work sync.WaitGroup

		for range 12 {
			work.Go(func() {
				unit := query("SET x", false)
				unit.ChangesSession = true
				_, _, err := b.do(write(), unit)
				assert.Check(t, err)
			})
		}

		work.Wait()
		wait(t, func() bool { return b.primary.wasAsked("DISCARD ALL") })
		b.primary.set(func() { assert.Check(t, b.primary.busiest <= 3, "%d statements at once", b.primary.busiest) })
	})
	t.Run("slot between units", func(t *testing.T) {
		open := b.open(t, 4) // one more than the member has slots

		for _, tx := range open {
			tx.Close()
		}
	})
}
