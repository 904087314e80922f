package labgateway

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

// reached waits until the observer knows a member's replayed position.
func (b *bench) reached(t *testing.T, m *fakeMember) {
	t.Helper()

	m.mu.Lock()
	want := lab.WALPosition{Term: m.term, Offset: m.replayed}
	m.mu.Unlock()

	wait(t, func() bool { return b.view(m.announcement.Member).Status.Replayed == want })
}

// blind leaves the observer's views as they are from now on.
func (b *bench) blind(t *testing.T) {
	t.Helper()

	b.gateway.Observer.Unwatch("rota")
	b.gateway.Observer.Interval = time.Hour
	b.control.change(func(*lab.Database) {})
	b.gateway.duties[b.duty].follow()

	for _, m := range []*fakeMember{b.primary, b.replica, b.replica2} {
		b.reached(t, m)
	}
}

// Guards against reads of a member that lacks the session's writes, is too old, divergent, leaving or a former primary.
func TestReadChoice(t *testing.T) {
	at := func(term lab.PrimaryTerm, offset uint64) lab.WALPosition {
		return lab.WALPosition{Term: term, Offset: offset}
	}
	view := func(change func(*labobserver.View)) labobserver.View {
		v := labobserver.View{
			Member: lab.Announcement{Member: "b"}, Known: true, AgeKnown: true, Age: 100 * time.Millisecond,
			Status: lab.MemberStatus{InRecovery: true, Replayed: at(2, 300)},
		}
		change(&v)

		return v
	}
	database := &lab.Database{Primary: "a", History: lab.TermHistory{{Term: 1}, {Term: 2, Offset: 200}}}
	check := func(want bool, floor lab.WALPosition, maxAge time.Duration, change func(*labobserver.View)) func(*testing.T) {
		return func(t *testing.T) {
			assert.Equal(t, eligible(database, view(change), floor, maxAge), want)
		}
	}
	same := func(*labobserver.View) {}

	t.Run("floor covered", check(true, at(2, 300), 0, same))
	t.Run("behind the floor", check(false, at(2, 301), 0, same))
	t.Run("abandoned floor", check(true, at(1, 900), 0, same))
	t.Run("floor of an unknown term", check(false, at(3, 250), 0, same))
	t.Run("young enough", check(true, at(2, 300), 100*time.Millisecond, same))
	t.Run("too old", check(false, at(2, 300), 99*time.Millisecond, same))
	t.Run("age unknown", check(false, at(2, 300), time.Hour, func(v *labobserver.View) { v.AgeKnown = false }))
	t.Run("no age stated", check(true, at(2, 300), 0, func(v *labobserver.View) { v.AgeKnown = false }))
	t.Run("leaving", check(false, at(2, 1), 0, func(v *labobserver.View) { v.Member.Draining = true }))
	t.Run("failing", check(false, at(2, 1), 0, func(v *labobserver.View) { v.Failing = true }))
	t.Run("unknown", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.Known = false }))
	t.Run("former primary", check(false, at(2, 1), 0, func(v *labobserver.View) { v.Status.InRecovery = false }))
	t.Run("divergent", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.Status.Replayed = at(1, 201) }))
	t.Run("no timeline", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.Status.Replayed = at(0, 0) }))

	t.Run("zone, load and age", func(t *testing.T) {
		near, far := view(same), view(same)
		near.Member.Member, near.Member.AvailabilityZone, far.Member.AvailabilityZone = "c", "hanko", "kotka"
		pick := func(nearLoad float64) string {
			best, _ := choose(database, []labobserver.View{far, near}, "hanko", lab.TransactionHeader{}, "",
				func(member string) (float64, bool) { return map[string]float64{"c": nearLoad}[member], true })

			return best.view.Member.Member
		}
		assert.Equal(t, pick(0.4), "c")
		assert.Equal(t, pick(0.6), "b")
	})
}

// Guards against stale answers, and against reads that fail although another member could serve them.
func TestRead(t *testing.T) {
	served := func(t *testing.T, b *bench, h lab.TransactionHeader, sql, member string) {
		t.Helper()

		result, answer, err := b.do(h, query(sql, true))
		assert.NilError(t, err)
		assert.Equal(t, result.Member, member)
		assert.Equal(t, strings.Count(answer, "SELECT 1"), 1)
		assert.Assert(t, !result.Position.IsZero())
	}

	t.Run("waits briefly for a replica", func(t *testing.T) {
		b := newBench(t)
		go func() {
			time.Sleep(20 * time.Millisecond)
			b.replica.set(func() { b.replica.replayed = 500 })
		}()
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		served(t, b, h, "SELECT waited", "b")
	})
	t.Run("then takes the primary", func(t *testing.T) {
		b := newBench(t)
		b.primary.set(func() { b.primary.replayed = 500 })
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		started := time.Now()
		served(t, b, h, "SELECT lagging", "a")
		assert.Assert(t, time.Since(started) >= 45*time.Millisecond)
	})
	t.Run("primary in another region", func(t *testing.T) {
		b := newBench(t)
		b.control.change(func(d *lab.Database) { d.Members[0].Region = "bothnia" })
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		_, _, err := b.do(h, query("SELECT elsewhere", true))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
	})
	t.Run("a member that went back is found out", func(t *testing.T) {
		b := newBench(t)
		b.replica.set(func() { b.replica.replayed = 500 })
		b.reached(t, b.replica)
		b.replica.set(func() {
			b.replica.hook = func(string) act { b.replica.set(func() { b.replica.replayed = 50 }); return actRun }
		})
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		_, answer, err := b.do(h, query("SELECT back", true))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonStale)
		assert.Equal(t, answer, "")
	})
	t.Run("a refused write", func(t *testing.T) {
		b := newBench(t)
		_, answer, err := b.do(read(), query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonReadOnly)
		assert.Equal(t, answer, "")
	})
	onPrimary := func(t *testing.T) (*bench, lab.TransactionHeader) {
		b := newBench(t)
		b.follow(false)
		b.primary.set(func() { b.primary.replayed = 500 })
		h := read()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}

		return b, h
	}

	t.Run("a read-only block on the primary", func(t *testing.T) {
		b, h := onPrimary(t)
		b.replica.set(func() { b.replica.received = 500 })
		result, _, err := b.do(h, query("BEGIN READ ONLY", false), query("SELECT block", true), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, result.Member, "a")
	})
	t.Run("a hidden write on the primary waits for a replica", func(t *testing.T) {
		b, h := onPrimary(t)
		_, answer, err := b.do(within(h, 500*time.Millisecond), query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
		assert.Equal(t, answer, "")
	})
	t.Run("and needs a writable grant", func(t *testing.T) {
		b, h := onPrimary(t)
		b.assign(time.Hour, lab.Grant{Role: b.duty, Epoch: 1, Term: 1})
		_, _, err := b.do(h, query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !b.primary.wasAsked("INSERT hidden"))
	})
	t.Run("a lone primary serves reads", func(t *testing.T) {
		b := newBench(t)
		b.replica.kill()
		b.replica2.kill()
		wait(t, func() bool { return b.view("b").Lost && b.view("c").Lost })
		served(t, b, read(), "SELECT alone", "a")
	})

	for name, what := range map[string]act{"lost": actDropBefore, "silent": actSilence, "crossed": actCross} {
		t.Run("another replica after a "+name+" connection", func(t *testing.T) {
			b := newBench(t)
			b.replica2.set(func() { b.replica2.hook = func(string) act { return what } })
			served(t, b, read(), "SELECT again", "b")
			assert.Assert(t, b.replica2.wasAsked("SELECT again"), "the near replica was not tried first")
		})
	}

	t.Run("another replica when the first refuses connections", func(t *testing.T) {
		b := newBench(t, time.Hour)
		b.blind(t)
		b.replica2.kill()
		served(t, b, read(), "SELECT refused", "b")
	})
	t.Run("divergent replica", func(t *testing.T) {
		b := newBench(t)
		b.control.change(func(d *lab.Database) { d.History = lab.TermHistory{{Term: 1}, {Term: 2, Offset: 90}} })
		for _, m := range []*fakeMember{b.primary, b.replica} {
			m.set(func() { m.term = 2 })
			b.reached(t, m)
		}
		for range 5 {
			served(t, b, read(), "SELECT fits", "b")
		}
	})
}
