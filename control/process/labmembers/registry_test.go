package labmembers

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// manualClock is a clock that changes only when the test sets it.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                       { return c.now }
func (*manualClock) Wall() time.Time                            { return time.Time{} }
func (*manualClock) Sleep(context.Context, time.Duration) error { return nil }

func announcement(member, address string, incarnation, sequence uint64) lab.Announcement {
	return lab.Announcement{Database: "s", Member: member, Address: address, Incarnation: incarnation, Sequence: sequence}
}

func with(a lab.Announcement, change func(*lab.Announcement)) lab.Announcement {
	change(&a)

	return a
}

func leaving(a *lab.Announcement)    { a.Draining = true }
func terminated(a *lab.Announcement) { a.Terminated = true }

// TestApply covers announcements that are late, repeated, from another incarnation or from a reused address.
func TestApply(t *testing.T) {
	for _, c := range []struct {
		name    string
		in      []lab.Announcement
		alive   []string // members that may be used afterwards
		leaving []string // members in alive that are leaving
	}{
		{"known", []lab.Announcement{announcement("a", "1:1", 10, 1)}, []string{"a"}, nil},
		{
			"late announcement",
			[]lab.Announcement{with(announcement("a", "1:1", 10, 2), leaving), announcement("a", "1:1", 10, 1)},
			[]string{"a"},
			[]string{"a"},
		},
		{
			"new incarnation under the same name",
			[]lab.Announcement{with(announcement("a", "1:1", 10, 9), leaving), announcement("a", "1:1", 20, 1)},
			[]string{"a"},
			nil,
		},
		{
			"late announcement of the former incarnation",
			[]lab.Announcement{announcement("a", "1:1", 20, 1), with(announcement("a", "1:1", 10, 9), leaving)},
			[]string{"a"},
			nil,
		},
		{
			"address reused by a newer member",
			[]lab.Announcement{announcement("a", "1:1", 10, 1), announcement("b", "1:1", 20, 1)},
			[]string{"b"},
			nil,
		},
		{
			"late announcement of the address's former member",
			[]lab.Announcement{announcement("b", "1:1", 20, 1), announcement("a", "1:1", 10, 5)},
			[]string{"b"},
			nil,
		},
		{
			"terminated", []lab.Announcement{announcement("a", "1:1", 10, 1), {Member: "a", Terminated: true}}, nil, nil,
		},
		{
			"late announcement of a terminated member",
			[]lab.Announcement{
				announcement("a", "1:1", 10, 1), with(announcement("a", "1:1", 10, 2), terminated),
				announcement("a", "1:1", 10, 3),
			},
			nil, nil,
		},
		{
			"terminated and started again",
			[]lab.Announcement{announcement("a", "1:1", 10, 1), {Member: "a", Terminated: true}, announcement("a", "1:1", 20, 1)},
			[]string{"a"},
			nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Registry{Clock: &manualClock{}}
			for _, a := range c.in {
				r.Apply(a, 0)
			}

			var alive, leaving []string

			for _, e := range r.Entries() {
				if !e.Announcement.Terminated {
					alive = append(alive, e.Announcement.Member)
				}

				if e.Announcement.Draining && !e.Announcement.Terminated {
					leaving = append(leaving, e.Announcement.Member)
				}
			}

			assert.DeepEqual(t, alive, c.alive)
			assert.DeepEqual(t, leaving, c.leaving)
		})
	}
}

func TestRevision(t *testing.T) {
	r := &Registry{Clock: &manualClock{}}

	_, changed := r.Apply(announcement("a", "1:1", 10, 1), 0)
	assert.Assert(t, changed)

	before := r.Revision()
	newer, changed := r.Apply(announcement("a", "1:1", 10, 2), 0)
	assert.Assert(t, newer && !changed, "only the sequence has changed")
	assert.Equal(t, r.Revision(), before)
}

func TestRemoveSilent(t *testing.T) {
	c := &manualClock{}
	r := &Registry{Clock: c}
	r.Apply(announcement("a", "1:1", 10, 1), 0)

	c.now = ExpireAfter
	r.RemoveSilent()
	assert.Equal(t, len(r.Entries()), 1)

	c.now = ExpireAfter + 1
	r.RemoveSilent()
	assert.Equal(t, len(r.Entries()), 0)
}

// TestClockSetBack guards against ignoring a member that has started again with its clock set back: its leaving was
// acknowledged, and it went on getting requests. TestPromotionSoak in platform showed this with the seeds 321 and 322.
func TestClockSetBack(t *testing.T) {
	start := func() (*Registry, *manualClock) {
		c := &manualClock{now: time.Hour}
		r := &Registry{Clock: c}
		r.Apply(announcement("a", "1:1", 20, 5), 0)

		return r, c
	}

	restarted := with(announcement("a", "1:1", 10, 1), leaving)

	t.Run("the known incarnation was heard from", func(t *testing.T) {
		r, c := start()
		c.now += silentAfter
		newer, _ := r.Apply(restarted, 0)
		assert.Assert(t, !newer && r.Outdated(restarted))
	})

	t.Run("the known incarnation is silent", func(t *testing.T) {
		r, c := start()
		c.now += silentAfter + 1
		newer, changed := r.Apply(restarted, 0)
		assert.Assert(t, newer && changed && !r.Outdated(restarted))
		assert.Assert(t, r.Entries()[0].Announcement.Draining)

		restarted.Sequence++
		newer, _ = r.Apply(restarted, 0)
		assert.Assert(t, newer, "the next one follows")
	})

	t.Run("the member has ended", func(t *testing.T) {
		r, c := start()
		r.Apply(lab.Announcement{Member: "a", Terminated: true}, 0)
		c.now += silentAfter + 1
		newer, _ := r.Apply(restarted, 0)
		assert.Assert(t, !newer)
	})

	t.Run("passed on late by another instance", func(t *testing.T) {
		r, c := start()
		c.now += silentAfter + 1
		newer, _ := r.Apply(restarted, silentAfter)
		assert.Assert(t, !newer)
	})
}

func TestTerminated(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []lab.Announcement
		want []string // names of the members that have ended
	}{
		{"said by the member", []lab.Announcement{announcement("a", "1:1", 10, 1), {Member: "a", Terminated: true}}, []string{"a"}},
		{"started again", []lab.Announcement{announcement("a", "1:1", 10, 1), announcement("a", "1:1", 20, 1)}, nil},
		{"address reused", []lab.Announcement{announcement("a", "1:1", 10, 1), announcement("b", "1:1", 20, 1)}, []string{"a"}},
		{"still running", []lab.Announcement{announcement("a", "1:1", 10, 1), announcement("a", "1:1", 10, 2)}, nil},
		{
			"only once",
			[]lab.Announcement{
				announcement("a", "1:1", 10, 1),
				{Member: "a", Terminated: true},
				{Member: "a", Terminated: true},
				announcement("b", "1:1", 20, 1),
			},
			[]string{"a"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Registry{Clock: &manualClock{}}
			for _, a := range c.in {
				r.Apply(a, 0)
			}

			var ended []string

			for _, e := range r.Entries() {
				if e.Announcement.Terminated {
					ended = append(ended, e.Announcement.Member)
				}
			}

			assert.DeepEqual(t, ended, c.want)
		})
	}
}

func TestLeaving(t *testing.T) {
	c := &manualClock{now: time.Minute}
	r := &Registry{Clock: c}
	assertLeaving := func(want ...lab.LeavingMember) {
		t.Helper()
		assert.DeepEqual(t, r.Leaving(), want)
	}

	r.Apply(announcement("a", "1:1", 10, 1), 0)
	assertLeaving()

	r.Apply(with(announcement("a", "1:1", 10, 2), leaving), 0)

	c.now += time.Second
	r.Apply(with(announcement("a", "1:1", 10, 3), leaving), 0)
	assertLeaving(lab.LeavingMember{Member: "a", Incarnation: 10, For: time.Second})

	r.RecordLeaving("a", 10, c.now-2*time.Second)
	r.RecordLeaving("a", 10, c.now)
	r.RecordLeaving("a", 9, c.now-time.Minute)
	assertLeaving(lab.LeavingMember{Member: "a", Incarnation: 10, For: 2 * time.Second})

	// Guards against a member that crashes while it leaves, starts again and gets requests for a whole period once more:
	// TestPromotionSoak in platform showed this with seed 107.
	r.Apply(with(announcement("a", "1:1", 20, 1), leaving), 0)
	assertLeaving(lab.LeavingMember{Member: "a", Incarnation: 20, For: 2 * time.Second})

	r.Apply(announcement("a", "1:1", 30, 1), 0)
	assertLeaving()

	r.Apply(with(announcement("a", "1:1", 30, 2), leaving), 0)
	assertLeaving(lab.LeavingMember{Member: "a", Incarnation: 30})

	r.Apply(lab.Announcement{Member: "a", Terminated: true}, 0)
	assertLeaving()
}
