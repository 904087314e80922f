package labpermission

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

const validFor = 2500 * time.Millisecond

// fakeClock is a clock that tests advance.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration                           { return c.now }
func (*fakeClock) Wall() time.Time                                { return time.Time{} }
func (*fakeClock) Sleep(_ context.Context, _ time.Duration) error { return nil }

type fixture struct {
	*Permissions

	t       *testing.T
	clock   *fakeClock
	drained int // number of calls of Drained
}

func newFixture(t *testing.T) *fixture {
	t.Helper()

	f := &fixture{t: t, clock: &fakeClock{now: time.Hour}}
	f.Permissions = &Permissions{Clock: f.clock, Log: zerolog.Nop(), Drained: func() { f.drained++ }}

	return f
}

func revision(n uint64) lab.PermissionRevision {
	return lab.PermissionRevision{Term: 1, Number: n}
}

// grant applies a list in a response to a request sent now. The list consists of services and their members in turn.
func (f *fixture) grant(number uint64, list ...string) bool {
	g := lab.PermissionGrant{Revision: revision(number), ValidFor: validFor}
	for i := 0; i < len(list); i += 2 {
		g.Permissions = append(g.Permissions, lab.CommitPermission{Service: list[i], Member: list[i+1]})
	}

	return f.Apply(g, f.clock.now)
}

func (f *fixture) begin(service, member string) *Commit {
	f.t.Helper()

	c, ok := f.Begin(service, member)
	assert.Assert(f.t, ok)

	return c
}

func (f *fixture) assertAllows(service, member string, want bool) {
	f.t.Helper()

	assert.Equal(f.t, f.Allows(service, member), want)

	c, ok := f.Begin(service, member)
	assert.Equal(f.t, ok, want)

	if ok {
		assert.Assert(f.t, c.End())
	}
}

func (f *fixture) assertReport(applied, confirmed uint64) {
	f.t.Helper()

	r := f.Report()
	assert.Equal(f.t, r.Applied, revision(applied))
	assert.Equal(f.t, r.Confirmed, revision(confirmed))
}

func TestGrants(t *testing.T) {
	t.Run("nothing is allowed without a grant", func(t *testing.T) {
		f := newFixture(t)
		f.assertAllows("s", "a", false)
		assert.Assert(t, !f.Apply(lab.PermissionGrant{
			Permissions: []lab.CommitPermission{{Service: "s", Member: "a"}}, ValidFor: validFor,
		}, f.clock.now))
		f.assertAllows("s", "a", false)
		assert.Equal(t, f.Report(), lab.PermissionReport{})
	})

	t.Run("list replaced", func(t *testing.T) {
		f := newFixture(t)
		assert.Assert(t, f.grant(1, "s", "a", "t", "b"))
		f.assertAllows("s", "a", true)
		f.assertAllows("s", "b", false)
		assert.Assert(t, f.grant(2, "s", "b"))
		f.assertAllows("s", "a", false)
		f.assertAllows("s", "b", true)
		f.assertAllows("t", "b", false)
		f.assertReport(2, 2)
	})

	t.Run("older revision ignored", func(t *testing.T) {
		f := newFixture(t)
		f.grant(2, "s", "b")
		assert.Assert(t, !f.grant(1, "s", "a"))
		f.assertAllows("s", "a", false)
		f.assertReport(2, 2)

		f.clock.now += validFor - 1
		assert.Assert(t, !f.grant(1, "s", "a"))
		f.clock.now++
		f.assertAllows("s", "b", false)
	})

	t.Run("later term before later number", func(t *testing.T) {
		f := newFixture(t)
		f.grant(5, "s", "a")
		assert.Assert(t, f.Apply(lab.PermissionGrant{
			Revision:    lab.PermissionRevision{Term: 2, Number: 1},
			Permissions: []lab.CommitPermission{{Service: "s", Member: "b"}}, ValidFor: validFor,
		}, f.clock.now))
		assert.Assert(t, !f.grant(6, "s", "a"))
		f.assertAllows("s", "b", true)
	})

	t.Run("same revision extends", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += validFor - 1
		assert.Assert(t, !f.grant(1)) // the list is empty since it was applied
		f.clock.now += validFor - 1
		f.assertAllows("s", "a", true)
		assert.Assert(t, c.End())
	})

	t.Run("same revision never shortens", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")
		f.Apply(lab.PermissionGrant{Revision: revision(1), ValidFor: validFor}, f.clock.now-time.Second)
		f.clock.now += validFor - 1
		f.assertAllows("s", "a", true)
	})

	t.Run("time counts from the request", func(t *testing.T) {
		f := newFixture(t)
		f.Apply(lab.PermissionGrant{
			Revision: revision(1), Permissions: []lab.CommitPermission{{Service: "s", Member: "a"}}, ValidFor: validFor,
		}, f.clock.now-time.Second)
		f.clock.now += validFor - time.Second - 1
		f.assertAllows("s", "a", true)
		f.clock.now++
		f.assertAllows("s", "a", false)
	})

	t.Run("grant without time", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")
		f.Apply(lab.PermissionGrant{
			Revision: revision(2), Permissions: []lab.CommitPermission{{Service: "s", Member: "a"}}, ValidFor: -time.Second,
		}, f.clock.now)
		f.assertAllows("s", "a", false)
		f.assertReport(2, 2)
	})
}

func TestLapse(t *testing.T) {
	t.Run("grant lapses", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += validFor
		f.assertAllows("s", "a", false)
		assert.Assert(t, !c.End())
		assert.Equal(t, f.lapses.Value(), int64(1))
	})

	for _, next := range []uint64{1, 2} {
		t.Run("renewal is another permission", func(t *testing.T) {
			f := newFixture(t)
			f.grant(1, "s", "a")

			c := f.begin("s", "a")
			f.clock.now += validFor
			assert.Assert(t, f.grant(next, "s", "a"))
			f.assertAllows("s", "a", true)
			assert.Assert(t, !c.End())
			f.assertAllows("s", "a", true)
		})
	}

	// The process is suspended after it has received a member's answer, and is resumed when another member leads.
	t.Run("suspended process", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += time.Hour
		assert.Assert(t, !c.End())
		f.assertAllows("s", "a", false)
	})

	// Another member may have been promoted and confirmed while the proxy was without contact.
	t.Run("lapsed commit whose list is replaced", func(t *testing.T) {
		for _, list := range [][]string{nil, {"s", "b"}, {"s", "a"}} {
			f := newFixture(t)
			f.grant(1, "s", "a")

			c := f.begin("s", "a")
			f.clock.now += validFor
			f.grant(2, list...)
			f.clock.now += drainTime / 2
			assert.Assert(t, !c.End(), "list %v", list)
		}
	})

	t.Run("withdrawn commit whose grant lapses", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += validFor - drainTime/2
		f.Apply(lab.PermissionGrant{Revision: revision(2), ValidFor: drainTime / 4}, f.clock.now)
		f.clock.now += drainTime / 2
		f.grant(3)
		assert.Assert(t, !c.End())
	})

	t.Run("lapsed commit still drains", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += validFor
		f.grant(1)
		f.grant(2)
		f.assertReport(2, 1)
		assert.Assert(t, !c.End())
		f.assertReport(2, 2)
	})
}

func TestWithdrawal(t *testing.T) {
	t.Run("closed while a commit is under way", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a", "t", "b")

		c, other := f.begin("s", "a"), f.begin("t", "b")
		f.grant(2, "t", "b")
		f.clock.now += drainTime
		assert.Assert(t, !c.End())
		assert.Assert(t, other.End())
	})

	t.Run("closed and reopened while a commit is under way", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.grant(2)
		f.grant(3, "s", "a")
		f.assertAllows("s", "a", true)
		f.clock.now += drainTime
		assert.Assert(t, !c.End())
	})

	// Control orders nothing before the list is confirmed, so the commit is among those that the next primary must have.
	t.Run("ended before the list is confirmed", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.grant(2)
		f.clock.now += drainTime - 1
		f.assertReport(2, 1)
		assert.Assert(t, c.End())
		f.assertReport(2, 2)
	})

	t.Run("grant ends before the list is confirmed", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.clock.now += validFor - drainTime/2
		f.Apply(lab.PermissionGrant{Revision: revision(2)}, f.clock.now)
		assert.Assert(t, !c.End())
	})

	t.Run("confirmed waits for commits under way", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c, d := f.begin("s", "a"), f.begin("s", "a")
		f.grant(2)
		f.assertReport(2, 1)
		c.End()
		f.assertReport(2, 1)
		assert.Equal(t, f.drained, 0)
		d.End()
		f.assertReport(2, 2)
		assert.Equal(t, f.drained, 1)
	})

	t.Run("confirmed waits at most drainTime", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a")

		c := f.begin("s", "a")
		f.grant(2)

		f.clock.now += drainTime - 1
		f.assertReport(2, 1)

		wait, ok := f.DrainsIn()
		assert.Assert(t, ok)
		assert.Equal(t, wait, time.Duration(1))

		f.clock.now++
		f.assertReport(2, 2)

		_, ok = f.DrainsIn()
		assert.Assert(t, !ok)
		assert.Assert(t, !c.End())
		assert.Equal(t, f.drained, 0)
	})

	t.Run("later lists wait too", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a", "t", "b")

		c := f.begin("s", "a")
		d := f.begin("t", "b")

		f.grant(2, "t", "b")
		f.grant(3, "s", "a")
		f.assertReport(3, 1)
		c.End()
		f.assertReport(3, 2)
		d.End()
		f.assertReport(3, 3)
		assert.Equal(t, f.drained, 2)
	})

	t.Run("commits that the list allows don't matter", func(t *testing.T) {
		f := newFixture(t)
		f.grant(1, "s", "a", "t", "b")

		c := f.begin("t", "b")
		f.grant(2, "t", "b")
		f.assertReport(2, 2)
		assert.Assert(t, c.End())
		assert.Equal(t, f.drained, 0)
	})
}

// TestLog checks that each change has one line, however many commits notice it.
func TestLog(t *testing.T) {
	f := newFixture(t)

	var b bytes.Buffer

	f.Log = zerolog.New(&b)
	assertLogged := func(want ...string) {
		t.Helper()

		assert.Equal(t, strings.Count(b.String(), "\n"), len(want), b.String())

		for _, w := range want {
			assert.Assert(t, strings.Contains(b.String(), w), "%s: %s", w, b.String())
		}

		b.Reset()
	}

	f.grant(1, "s", "a", "t", "b")
	assertLogged(`"term":1,"number":1,"opened":["s=a","t=b"],"closed":[],"message":"permissions_changed"`)
	f.grant(2, "s", "c", "t", "b")
	assertLogged(`"opened":["s=c"],"closed":["s=a"],"message":"permissions_changed"`)
	f.grant(2)
	f.grant(3, "s", "c", "t", "b")
	assertLogged()

	f.clock.now += validFor
	f.assertAllows("s", "c", false)
	f.assertAllows("s", "c", false)
	f.assertReport(3, 3)
	assertLogged(`"permissions_lapsed"`)

	f.clock.now += time.Second
	f.grant(3)
	assertLogged(`"after":1000,"message":"permissions_regained"`)
	assert.Equal(t, f.changes.Value(), int64(2))
	assert.Equal(t, f.lapses.Value(), int64(1))
}
