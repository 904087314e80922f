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

func everyone(lab.Announcement) bool { return true }

func tracked() *tracker {
	t := newTracker(s, s)
	t.update(database(), everyone)

	return t
}

func at(recovery bool, term lab.PrimaryTerm, offset uint64) labupstream.Position {
	p := lab.WALPosition{Term: term, Offset: offset}

	return labupstream.Position{InRecovery: recovery, Replayed: p, Received: p}
}

// Guards against reporting a primary as lost too early, only once, or for ever.
func TestLoss(t *testing.T) {
	tr := tracked()
	a := member("a", "coast")
	assert.Equal(t, len(tr.read(a, 0, at(false, 2, 200))), 1)

	steps := []struct {
		started, now time.Duration
		lostFor      time.Duration // reported, 0 for no report
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
		got := tr.failed(a, st.started, st.now)
		if st.lostFor == 0 {
			assert.Equal(t, len(got), 0, "at %s", st.now)

			continue
		}

		assert.Equal(t, len(got), 1, "at %s", st.now)
		assert.Equal(t, got[0].Reachable, false)
		assert.Equal(t, got[0].UnreachableFor, st.lostFor)
	}

	t.Run("recovery at once", func(t *testing.T) {
		got := tr.read(a, 8*s+200*ms, at(false, 2, 200))
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Reachable, true)
	})
	t.Run("an answer between failures starts over", func(t *testing.T) {
		assert.Equal(t, len(tr.failed(a, 9*s, 9*s+900*ms)), 0)
		tr.read(a, 9*s+950*ms, at(false, 2, 200))
		assert.Equal(t, len(tr.failed(a, 10*s, 10*s+500*ms)), 0)
	})
	t.Run("a member that restarted is judged afresh", func(t *testing.T) {
		d := database()
		d.Members[0].Incarnation = 2
		tr.update(d, everyone)
		assert.Equal(t, len(tr.failed(a, 9*s, 20*s)), 0)

		for _, v := range tr.views(20*s, nil) {
			assert.Assert(t, v.Member.Member != "a" || !v.Known && !v.Lost)
		}
	})
}

// Guards against heartbeats filled with positions, and against withholding a changed role.
func TestReports(t *testing.T) {
	tr := tracked()
	b := member("b", "coast")
	reports := func(now time.Duration, p labupstream.Position, want int) {
		t.Helper()
		assert.Equal(t, len(tr.read(b, now, p)), want)
	}

	reports(0, at(true, 2, 200), 1)
	reports(100*ms, at(true, 2, 210), 0)
	reports(s, at(true, 2, 210), 1)
	reports(3*s, at(true, 2, 210), 0)
	reports(3*s+100*ms, at(false, 2, 210), 1)
	reports(3*s+200*ms, at(false, 3, 210), 1)
}

// Guards against calling data younger than it is.
func TestAge(t *testing.T) {
	tr := tracked()
	age := func(now time.Duration) (time.Duration, bool) {
		for _, v := range tr.views(now, nil) {
			if v.Member.Member == "b" {
				return v.Age, v.AgeKnown
			}
		}

		return 0, false
	}
	want := func(now, want time.Duration) {
		t.Helper()

		got, known := age(now)
		assert.Assert(t, known)
		assert.Equal(t, got, want)
	}
	a, b := member("a", "coast"), member("b", "coast")

	tr.read(b, 0, at(true, 2, 200))
	_, known := age(0)
	assert.Assert(t, !known, "age without any position of the primary")

	tr.read(a, s, at(false, 2, 200))
	want(s+50*ms, 50*ms)
	tr.read(a, 2*s, at(false, 2, 300))
	want(2*s, s)
	tr.read(a, 3*s, at(false, 2, 400))
	tr.read(b, 3*s+100*ms, at(true, 2, 300))
	want(3*s+100*ms, s+100*ms)
	tr.read(b, 3*s+200*ms, at(true, 2, 400))
	want(3*s+200*ms, 200*ms)
	tr.read(a, 4*s, at(false, 2, 400))
	want(4*s, 0)

	t.Run("a primary in recovery is no measure", func(t *testing.T) {
		tr.read(a, 5*s, at(true, 2, 400))
		want(5*s, s)
	})
	t.Run("a primary of another term is no measure", func(t *testing.T) {
		tr.read(a, 5*s, at(false, 1, 400))
		tr.read(a, 5*s, at(false, 3, 400))
		want(5*s, s)
	})
	t.Run("a replica without a receiver keeps its term", func(t *testing.T) {
		tr.read(b, 5*s, at(true, 0, 410))
		for _, v := range tr.views(5*s, nil) {
			assert.Assert(t, v.Member.Member != "b" || v.Status.Replayed == lab.WALPosition{Term: 2, Offset: 410})
		}
	})
	t.Run("a divergent replica has no age", func(t *testing.T) {
		c := member("c", "bothnia")
		tr.read(c, 5*s, at(true, 1, 5000))
		tr.read(a, 6*s, at(false, 2, 420))
		for _, v := range tr.views(6*s, nil) {
			assert.Assert(t, v.Member.Member != "c" || !v.AgeKnown)
		}
	})
}
