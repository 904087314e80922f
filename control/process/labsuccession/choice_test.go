package labsuccession

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func standing(member string, number uint64, change ...func(*Standing)) Standing {
	s := Standing{
		Member: lab.Announcement{Member: member, Region: "west"}, Readable: true,
		Received: lab.CommitPosition{Term: 1, Number: number},
	}
	for _, c := range change {
		c(&s)
	}

	return s
}

func unreadable(s *Standing) { s.Readable = false }
func excused(s *Standing)    { s.Excused = true }
func departing(s *Standing)  { s.Member.Draining = true }
func east(s *Standing)       { s.Member.Region = "east" }

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []Standing
		want string
	}{
		{"newest log", []Standing{standing("a", 5), standing("b", 9, east)}, "b"},
		{"deaf replica", []Standing{standing("a", 22), standing("b", 132)}, "b"},
		{"unreadable one may hold more", []Standing{standing("a", 5), standing("b", 0, unreadable)}, ""},
		{"unreadable one stopped long before", []Standing{standing("a", 5), standing("b", 0, unreadable, excused)}, "a"},
		{"one that stays", []Standing{standing("a", 5, departing), standing("b", 5, east)}, "b"},
		{"leaving one with more", []Standing{standing("a", 6, departing), standing("b", 5)}, "a"},
		{"preferred region", []Standing{standing("a", 5, east), standing("b", 5)}, "b"},
		{"none", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, ok := Choose(c.in, "west")
			assert.Equal(t, m.Member, c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}

func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Evidence
		want Reason
	}{
		{"calm", Evidence{Known: true, Successors: 2, Reaching: 9}, ReasonNone},
		{"leaving", Evidence{Known: true, Successors: 2, Reaching: 9, Leaving: true}, ReasonLeaving},
		{"leaving without successor", Evidence{Known: true, Leaving: true}, ReasonNone},
		{"dead", Evidence{Known: true, Successors: 2, Failing: 9, ProbesFail: LostAfter}, ReasonLost},
		{"own path cut", Evidence{Known: true, Successors: 2, Failing: 4, Reaching: 6, ProbesFail: time.Second}, ReasonNone},
		{"overloaded: probes succeed", Evidence{Known: true, Successors: 2, Failing: 9}, ReasonNone},
		{"unknown for a moment", Evidence{Successors: 2, Missing: MissingAfter}, ReasonNone},
		{"unknown for long", Evidence{Successors: 2, Missing: MissingAfter + 1}, ReasonMissing},
		{"order without answer", Evidence{Known: true, Successors: 2, Unfinished: true, Reaching: 9}, ReasonResumed},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.in.Verdict(), c.want)
		})
	}
}
