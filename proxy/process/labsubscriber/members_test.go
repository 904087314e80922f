package labsubscriber

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// TestMemberChanges covers the changes of the list of members. Guards against a member that stays in use after it has
// ended, and against one that is dropped because a new leader has not heard from it yet.
func TestMemberChanges(t *testing.T) {
	d := &labdirectory.Directory{Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop()}
	d.OnPrimaryUnreachable = func() {}
	s := &Subscriber{Directory: d, Clock: d.Clock, Log: zerolog.Nop()}
	s.prepare()
	d.Install(&lab.Configuration{Version: 1})

	members := func(names ...string) []lab.Announcement {
		var out []lab.Announcement
		for _, n := range names {
			out = append(out, lab.Announcement{Database: "s", Member: n, Address: "127.0.0.1:1", Incarnation: 1})
		}

		return out
	}
	apply := func(a lab.WatchResponse, list any) {
		t.Helper()

		b, err := labpack.Encode(list)
		assert.NilError(t, err)

		if _, whole := list.(lab.MemberList); whole {
			a.Members = b
		} else {
			a.MemberChanges = b
		}

		assert.NilError(t, s.apply(a, 0))
		assert.Equal(t, s.request(0).MembersRevision, a.MembersRevision)
	}
	assertKnown := func(want ...string) {
		t.Helper()

		for _, n := range []string{"a", "b", "c", "d"} {
			a := members(n)[0]
			d.RecordUnreachable(a) // has no effect on a member that is not known
			assert.Equal(t, d.Unreachable(a), slices.Contains(want, n), n)
		}
	}

	apply(lab.WatchResponse{MembersRevision: 1}, lab.MemberList{Members: members("a", "b", "c")})
	assertKnown("a", "b", "c")

	apply(lab.WatchResponse{MembersRevision: 2}, lab.MemberChanges{
		Removed: []lab.MemberName{{Service: "s", Member: "a"}}, Primaries: map[string]string{"s": "b"},
	})
	assertKnown("a", "b", "c")

	apply(lab.WatchResponse{MembersRevision: 3, MembersComplete: true}, lab.MemberChanges{})
	assertKnown("b", "c")

	ended := members("c")
	ended[0].Terminated = true
	apply(lab.WatchResponse{MembersRevision: 4, MembersComplete: true}, lab.MemberChanges{Set: append(members("d"), ended...)})
	assertKnown("b", "d")

	apply(lab.WatchResponse{MembersRevision: 5, MembersComplete: true}, lab.MemberChanges{
		Removed: []lab.MemberName{{Service: "s", Member: "b"}},
	})
	assertKnown("d")

	assert.NilError(t, s.apply(lab.WatchResponse{MembersRevision: 4}, 0))
	assert.Equal(t, s.request(0).MembersRevision, uint64(5), "an instance that is behind sends no list")
}

// TestPackedPositions guards against positions that are lost in their compressed form: each read would then run at the
// primary.
func TestPackedPositions(t *testing.T) {
	d := &labdirectory.Directory{Clock: labclock.NewBootClock(), Random: labrandom.NewSeeded(1), Log: zerolog.Nop()}
	s := &Subscriber{Directory: d, Clock: d.Clock, Log: zerolog.Nop()}
	s.prepare()
	d.UpdateMembers([]lab.Announcement{{Database: "s", Member: "a", Address: "127.0.0.1:1", Incarnation: 1}}, nil, true)

	now := d.Clock.Now()
	want := lab.CommitPosition{Term: 1, Number: 7}

	b, err := labpack.Encode([]lab.PositionReport{{Service: "s", Position: want, RequestedAt: now}})
	assert.NilError(t, err)
	assert.NilError(t, s.apply(lab.WatchResponse{ClockEpoch: 1, ReceivedAt: now, SentAt: now, PackedPositions: b}, now))

	_, got, ok := d.PrimaryHistory("s").Newest()
	assert.Assert(t, ok)
	assert.Equal(t, got, want)
}
