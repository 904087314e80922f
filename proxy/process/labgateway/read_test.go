package labgateway

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

// waitForObserved waits until the observer has read a member's current replayed position.
func (f *fixture) waitForObserved(t *testing.T, m *fakeMember) {
	t.Helper()

	m.mu.Lock()
	want := lab.WALPosition{Term: m.term, Offset: m.replayed}
	m.mu.Unlock()

	waitUntil(t, func() bool { return f.view(m.announcement.Member).Status.Replayed == want })
}

// stopObserving sets the observer's interval to one hour, so that its views stay as they are.
func (f *fixture) stopObserving(t *testing.T) {
	t.Helper()

	f.gateway.Observer.Unwatch("rota")
	f.gateway.Observer.Interval = time.Hour
	f.control.changeDatabase(func(*lab.Database) {})
	f.gateway.roles[f.role].applyCatalog()

	for _, m := range []*fakeMember{f.primary, f.replica, f.replica2} {
		f.waitForObserved(t, m)
	}
}

// Guards against reading from a member that lacks the session's writes, is too stale, has diverged, is draining or is a
// former primary.
func TestReadChoice(t *testing.T) {
	positionAt := func(term lab.PrimaryTerm, offset uint64) lab.WALPosition {
		return lab.WALPosition{Term: term, Offset: offset}
	}
	view := func(change func(*labobserver.View)) labobserver.View {
		v := labobserver.View{
			Member: lab.Announcement{Member: "b"}, PositionKnown: true, AgeKnown: true, Age: 100 * time.Millisecond,
			Status: lab.MemberStatus{InRecovery: true, Replayed: positionAt(2, 300)},
		}
		change(&v)

		return v
	}
	database := &lab.Database{Primary: "a", History: lab.TermHistory{{Term: 1}, {Term: 2, Offset: 200}}}
	check := func(want bool, minimum lab.WALPosition, maxStaleness time.Duration, change func(*labobserver.View)) func(*testing.T) {
		return func(t *testing.T) {
			assert.Equal(t, eligible(database, view(change), minimum, maxStaleness), want)
		}
	}
	unchanged := func(*labobserver.View) {}

	t.Run("minimum position covered", check(true, positionAt(2, 300), 0, unchanged))
	t.Run("behind the minimum position", check(false, positionAt(2, 301), 0, unchanged))
	t.Run("minimum position beyond the switch point", check(true, positionAt(1, 900), 0, unchanged))
	t.Run("minimum position of an unknown term", check(false, positionAt(3, 250), 0, unchanged))
	t.Run("within the maximum staleness", check(true, positionAt(2, 300), 100*time.Millisecond, unchanged))
	t.Run("beyond the maximum staleness", check(false, positionAt(2, 300), 99*time.Millisecond, unchanged))
	t.Run("staleness unknown", check(false, positionAt(2, 300), time.Hour, func(v *labobserver.View) { v.AgeKnown = false }))
	t.Run("no maximum staleness", check(true, positionAt(2, 300), 0, func(v *labobserver.View) { v.AgeKnown = false }))
	t.Run("draining", check(false, positionAt(2, 1), 0, func(v *labobserver.View) { v.Member.Draining = true }))
	t.Run("failing", check(false, positionAt(2, 1), 0, func(v *labobserver.View) { v.ConnectFailed = true }))
	t.Run("unknown", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.PositionKnown = false }))
	t.Run("former primary", check(false, positionAt(2, 1), 0, func(v *labobserver.View) { v.Status.InRecovery = false }))
	t.Run("diverged", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.Status.Replayed = positionAt(1, 201) }))
	t.Run("no timeline", check(false, lab.WALPosition{}, 0, func(v *labobserver.View) { v.Status.Replayed = positionAt(0, 0) }))

	t.Run("zone, load and staleness", func(t *testing.T) {
		near, far := view(unchanged), view(unchanged)
		near.Member.Member, near.Member.AvailabilityZone, far.Member.AvailabilityZone = "c", "hanko", "kotka"
		pick := func(nearLoad float64) string {
			best, _ := selectReplica(database, []labobserver.View{far, near}, "hanko", lab.TransactionHeader{}, "",
				func(member string) (float64, bool) { return map[string]float64{"c": nearLoad}[member], true })

			return best.view.Member.Member
		}
		assert.Equal(t, pick(0.4), "c")
		assert.Equal(t, pick(0.6), "b")
	})
}

// Guards against stale responses, and against reads that fail although another member could serve them.
func TestRead(t *testing.T) {
	assertServed := func(t *testing.T, f *fixture, h lab.TransactionHeader, sql, member string) {
		t.Helper()

		result, response, err := f.run(h, query(sql, true))
		assert.NilError(t, err)
		assert.Equal(t, result.Member, member)
		assert.Equal(t, strings.Count(response, "SELECT 1"), 1)
		assert.Assert(t, !result.Position.IsZero())
	}

	t.Run("waits briefly for a replica", func(t *testing.T) {
		f := newFixture(t)
		go func() {
			time.Sleep(20 * time.Millisecond)
			f.replica.update(func() { f.replica.replayed = 500 })
		}()
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		assertServed(t, f, h, "SELECT waited", "b")
	})
	t.Run("falls back to the primary", func(t *testing.T) {
		f := newFixture(t)
		f.primary.update(func() { f.primary.replayed = 500 })
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		started := time.Now()
		assertServed(t, f, h, "SELECT lagging", "a")
		assert.Assert(t, time.Since(started) >= 45*time.Millisecond)
	})
	t.Run("primary in another region", func(t *testing.T) {
		f := newFixture(t)
		f.control.changeDatabase(func(d *lab.Database) { d.Members[0].Region = "bothnia" })
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		_, _, err := f.run(h, query("SELECT elsewhere", true))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonMisrouted)
	})
	t.Run("a member whose position has gone back", func(t *testing.T) {
		f := newFixture(t)
		f.replica.update(func() { f.replica.replayed = 500 })
		f.waitForObserved(t, f.replica)
		f.replica.update(func() {
			f.replica.hook = func(string) action { f.replica.update(func() { f.replica.replayed = 50 }); return actRun }
		})
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}
		_, response, err := f.run(h, query("SELECT back", true))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonStale)
		assert.Equal(t, response, "")
	})
	t.Run("a hidden write on a replica", func(t *testing.T) {
		f := newFixture(t)
		_, response, err := f.run(readHeader(), query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonReadOnly)
		assert.Equal(t, response, "")
	})
	onPrimary := func(t *testing.T) (*fixture, lab.TransactionHeader) {
		f := newFixture(t)
		f.setReplication(false)
		f.primary.update(func() { f.primary.replayed = 500 })
		h := readHeader()
		h.MinPosition = lab.WALPosition{Term: 1, Offset: 500}

		return f, h
	}

	t.Run("a read-only block on the primary", func(t *testing.T) {
		f, h := onPrimary(t)
		f.replica.update(func() { f.replica.received = 500 })
		result, _, err := f.run(h, query("BEGIN READ ONLY", false), query("SELECT block", true), query("COMMIT", false))
		assert.NilError(t, err)
		assert.Equal(t, result.Member, "a")
	})
	t.Run("a hidden write on the primary waits for a replica", func(t *testing.T) {
		f, h := onPrimary(t)
		_, response, err := f.run(withDeadline(h, 500*time.Millisecond), query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeUnknown, lab.ReasonDeadline)
		assert.Equal(t, response, "")
	})
	t.Run("a hidden write on the primary needs a writable grant", func(t *testing.T) {
		f, h := onPrimary(t)
		f.renewLease(time.Hour, lab.Grant{Role: f.role, Epoch: 1, Term: 1})
		_, _, err := f.run(h, query("INSERT hidden", false))
		wantOutcome(t, err, lab.OutcomeNotRun, lab.ReasonNoPrimary)
		assert.Assert(t, !f.primary.wasSent("INSERT hidden"))
	})
	t.Run("the primary serves reads when no replica is reachable", func(t *testing.T) {
		f := newFixture(t)
		f.replica.kill()
		f.replica2.kill()
		waitUntil(t, func() bool { return f.view("b").Unreachable && f.view("c").Unreachable })
		assertServed(t, f, readHeader(), "SELECT alone", "a")
	})

	for name, failure := range map[string]action{"lost": actDropBefore, "silent": actStaySilent, "crossed": actCrossedResponse} {
		t.Run("another replica after a "+name+" connection", func(t *testing.T) {
			f := newFixture(t)
			f.replica2.update(func() { f.replica2.hook = func(string) action { return failure } })
			assertServed(t, f, readHeader(), "SELECT again", "b")
			assert.Assert(t, f.replica2.wasSent("SELECT again"), "the near replica was not tried first")
		})
	}

	t.Run("another replica when the first refuses connections", func(t *testing.T) {
		f := newFixture(t, time.Hour)
		f.stopObserving(t)
		f.replica2.kill()
		assertServed(t, f, readHeader(), "SELECT refused", "b")
	})
	t.Run("diverged replica", func(t *testing.T) {
		f := newFixture(t)
		f.control.changeDatabase(func(d *lab.Database) { d.History = lab.TermHistory{{Term: 1}, {Term: 2, Offset: 90}} })
		for _, m := range []*fakeMember{f.primary, f.replica} {
			m.update(func() { m.term = 2 })
			f.waitForObserved(t, m)
		}
		for range 5 {
			assertServed(t, f, readHeader(), "SELECT fits", "b")
		}
	})
}
