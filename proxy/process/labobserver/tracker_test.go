package labobserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

func member(name, region string) lab.Announcement {
	return lab.Announcement{Database: "rota", Member: name, Region: region, Address: name + ":1", Incarnation: 1}
}

func database() *lab.Database {
	return &lab.Database{
		Name: "rota", Primary: "a", History: lab.TermHistory{{Term: 1}, {Term: 2, Offset: 100}},
		Members: []lab.Announcement{member("a", "coast"), member("b", "coast"), member("c", "bothnia")},
	}
}

func allMembers(lab.Announcement) bool { return true }

func newTestTracker() *tracker {
	t := newTracker(s, s)
	t.update(database(), allMembers)

	return t
}

func positionAt(recovery bool, term lab.PrimaryTerm, offset uint64) labupstream.Position {
	p := lab.WALPosition{Term: term, Offset: offset}

	return labupstream.Position{InRecovery: recovery, Replayed: p, Received: p}
}

// Guards against reporting a primary as unreachable too early or after it is reachable again, and against not repeating
// the report.
func TestUnreachable(t *testing.T) {
	tr := newTestTracker()
	a := member("a", "coast")
	assert.Equal(t, len(tr.recordPosition(a, 0, positionAt(false, 2, 200))), 1)

	steps := []struct {
		started, now   time.Duration
		unreachableFor time.Duration // UnreachableFor in the report; 0 for no report
	}{
		{5 * s, 5*s + 500*ms, 0},
		{5*s + 600*ms, 5*s + 990*ms, 0},
		{5*s + 990*ms, 6 * s, s},
		{6 * s, 6*s + 500*ms, 0},
		{6*s + 500*ms, 7 * s, 2 * s},
		{7 * s, 7*s + 900*ms, 0},
		{8 * s, 8*s + 100*ms, 3*s + 100*ms},
	}
	for _, st := range steps {
		got := tr.recordFailure(a, st.started, st.now)
		if st.unreachableFor == 0 {
			assert.Equal(t, len(got), 0, "at %s", st.now)

			continue
		}

		assert.Equal(t, len(got), 1, "at %s", st.now)
		assert.Equal(t, got[0].Reachable, false)
		assert.Equal(t, got[0].UnreachableFor, st.unreachableFor)
	}

	t.Run("recovery at once", func(t *testing.T) {
		got := tr.recordPosition(a, 8*s+200*ms, positionAt(false, 2, 200))
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Reachable, true)
	})
	t.Run("a response between failures restarts the time", func(t *testing.T) {
		assert.Equal(t, len(tr.recordFailure(a, 9*s, 9*s+900*ms)), 0)
		tr.recordPosition(a, 9*s+950*ms, positionAt(false, 2, 200))
		assert.Equal(t, len(tr.recordFailure(a, 10*s, 10*s+500*ms)), 0)
	})
	t.Run("a restarted member starts with an empty state", func(t *testing.T) {
		d := database()
		d.Members[0].Incarnation = 2
		tr.update(d, allMembers)
		assert.Equal(t, len(tr.recordFailure(a, 9*s, 20*s)), 0)

		for _, v := range tr.views(20*s, nil) {
			assert.Assert(t, v.Member.Member != "a" || !v.PositionKnown && !v.Unreachable)
		}
	})
}

// Guards against a report for every position, and against a delayed report when the member's recovery or term changes.
func TestReports(t *testing.T) {
	tr := newTestTracker()
	b := member("b", "coast")
	assertReports := func(now time.Duration, p labupstream.Position, want int) {
		t.Helper()
		assert.Equal(t, len(tr.recordPosition(b, now, p)), want)
	}

	assertReports(0, positionAt(true, 2, 200), 1)
	assertReports(100*ms, positionAt(true, 2, 210), 0)
	assertReports(s, positionAt(true, 2, 210), 1)
	assertReports(3*s, positionAt(true, 2, 210), 0)
	assertReports(3*s+100*ms, positionAt(false, 2, 210), 1)
	assertReports(3*s+200*ms, positionAt(false, 3, 210), 1)
}

// Guards against an age that is less than the real age of a replica's data.
func TestAge(t *testing.T) {
	tr := newTestTracker()
	age := func(now time.Duration) (time.Duration, bool) {
		for _, v := range tr.views(now, nil) {
			if v.Member.Member == "b" {
				return v.Age, v.AgeKnown
			}
		}

		return 0, false
	}
	assertAge := func(now, want time.Duration) {
		t.Helper()

		got, known := age(now)
		assert.Assert(t, known)
		assert.Equal(t, got, want)
	}
	a, b := member("a", "coast"), member("b", "coast")

	tr.recordPosition(b, 0, positionAt(true, 2, 200))
	_, known := age(0)
	assert.Assert(t, !known, "age without any position of the primary")

	tr.recordPosition(a, s, positionAt(false, 2, 200))
	assertAge(s+50*ms, 50*ms)
	tr.recordPosition(a, 2*s, positionAt(false, 2, 300))
	assertAge(2*s, s)
	tr.recordPosition(a, 3*s, positionAt(false, 2, 400))
	tr.recordPosition(b, 3*s+100*ms, positionAt(true, 2, 300))
	assertAge(3*s+100*ms, s+100*ms)
	tr.recordPosition(b, 3*s+200*ms, positionAt(true, 2, 400))
	assertAge(3*s+200*ms, 200*ms)
	tr.recordPosition(a, 4*s, positionAt(false, 2, 400))
	assertAge(4*s, 0)

	t.Run("a primary in recovery gives no sample", func(t *testing.T) {
		tr.recordPosition(a, 5*s, positionAt(true, 2, 400))
		assertAge(5*s, s)
	})
	t.Run("a primary of another term gives no sample", func(t *testing.T) {
		tr.recordPosition(a, 5*s, positionAt(false, 1, 400))
		tr.recordPosition(a, 5*s, positionAt(false, 3, 400))
		assertAge(5*s, s)
	})
	t.Run("a replica without a receiver keeps its term", func(t *testing.T) {
		tr.recordPosition(b, 5*s, positionAt(true, 0, 410))
		for _, v := range tr.views(5*s, nil) {
			assert.Assert(t, v.Member.Member != "b" || v.Status.Replayed == lab.WALPosition{Term: 2, Offset: 410})
		}
	})
	t.Run("a diverged replica has no age", func(t *testing.T) {
		c := member("c", "bothnia")
		tr.recordPosition(c, 5*s, positionAt(true, 1, 5000))
		tr.recordPosition(a, 6*s, positionAt(false, 2, 420))
		for _, v := range tr.views(6*s, nil) {
			assert.Assert(t, v.Member.Member != "c" || !v.AgeKnown)
		}
	})
}
