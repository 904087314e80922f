package labfailover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func replicaState(member string, number uint64, change ...func(*ReplicaState)) ReplicaState {
	s := ReplicaState{
		Member: lab.Announcement{Member: member, Region: "west"}, Readable: true,
		Received: lab.CommitPosition{Term: 1, Number: number},
	}
	for _, c := range change {
		c(&s)
	}

	return s
}

func inTerm(term uint64) func(*ReplicaState) {
	return func(s *ReplicaState) { s.Received.Term = term }
}

func unreadable(s *ReplicaState) { s.Readable = false }
func former(s *ReplicaState)     { s.Former = true }
func primaryLog(s *ReplicaState) { s.PrimaryLog = true }
func leaving(s *ReplicaState)    { s.Member.Draining = true }
func ordered(s *ReplicaState)    { s.Ordered = true }
func leads(s *ReplicaState)      { s.Primary = true }
func east(s *ReplicaState)       { s.Member.Region = "east" }

func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []ReplicaState
		want string
	}{
		{"newest log", []ReplicaState{replicaState("a", 5), replicaState("b", 9, east)}, "b"},
		{"replica far behind", []ReplicaState{replicaState("a", 22), replicaState("b", 132)}, "b"},
		{"unreadable replica may have more", []ReplicaState{replicaState("a", 5), replicaState("b", 0, unreadable)}, ""},
		{"unreadable successor of the former primary", []ReplicaState{replicaState("a", 5), replicaState("p", 0, unreadable, former)}, "a"},
		{
			"unreadable replica, but the primary has stepped down",
			[]ReplicaState{replicaState("a", 9), replicaState("b", 0, unreadable), replicaState("p", 9, primaryLog, leaving)},
			"a",
		},
		{
			"only the primary that has stepped down has everything",
			[]ReplicaState{replicaState("a", 5), replicaState("b", 0, unreadable), replicaState("p", 9, primaryLog, leaving)},
			"p",
		},
		{"staying replica", []ReplicaState{replicaState("a", 5, leaving), replicaState("b", 5, east)}, "b"},
		{"leaving replica with more", []ReplicaState{replicaState("a", 6, leaving), replicaState("b", 5)}, "a"},
		{
			"a successor of the primary without its log",
			[]ReplicaState{replicaState("a", 5), replicaState("b", 0, unreadable), replicaState("p", 4, primaryLog)},
			"",
		},
		{"replica that an order may still promote", []ReplicaState{replicaState("a", 5), replicaState("b", 5, ordered, leaving, east)}, "b"},
		{"replica that already leads", []ReplicaState{replicaState("a", 5, ordered), replicaState("b", 5, leads)}, "b"},
		{"ordered replica that is behind", []ReplicaState{replicaState("a", 5, ordered), replicaState("b", 6)}, "b"},
		{"preferred region", []ReplicaState{replicaState("a", 5, east), replicaState("b", 5)}, "b"},
		{"a later term with fewer commits", []ReplicaState{replicaState("a", 24), replicaState("b", 15, inTerm(2))}, ""},
		{"a later term with as many commits", []ReplicaState{replicaState("a", 24), replicaState("b", 24, inTerm(2))}, "b"},
		{
			"a later term with fewer commits, read before the other one of that term",
			[]ReplicaState{replicaState("a", 24, inTerm(2)), replicaState("b", 15, inTerm(2))},
			"a",
		},
		{"none", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, ok := Choose(c.in, "west")
			assert.Equal(t, m.Member, c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}

func TestReplacementReason(t *testing.T) {
	for _, c := range []struct {
		name string
		in   Observations
		want Reason
	}{
		{"healthy", Observations{PrimaryKnown: true, Successors: 2, ReachingProxies: 9}, ReasonNone},
		{"leaving", Observations{PrimaryKnown: true, Successors: 2, ReachingProxies: 9, PrimaryLeaving: true}, ReasonLeaving},
		{"leaving without successor", Observations{PrimaryKnown: true, PrimaryLeaving: true}, ReasonNone},
		{"dead", Observations{PrimaryKnown: true, Successors: 2, FailingProxies: 9, ProbesFailedFor: ProbeFailureThreshold}, ReasonLost},
		{"unreachable for a minority", Observations{PrimaryKnown: true, Successors: 2, FailingProxies: 4, ReachingProxies: 6, ProbesFailedFor: time.Second}, ReasonNone},
		{"overloaded: probes succeed", Observations{PrimaryKnown: true, Successors: 2, FailingProxies: 9}, ReasonNone},
		{"unknown for a short time", Observations{Successors: 2, PrimaryMissingFor: MissingAfter}, ReasonNone},
		{"unknown for a long time", Observations{Successors: 2, PrimaryMissingFor: MissingAfter + 1}, ReasonNoPrimary},
		{"order without response, and no successor is left", Observations{PrimaryKnown: true, OrderUnconfirmed: true}, ReasonOrderUnconfirmed},
		{"order without response", Observations{PrimaryKnown: true, Successors: 2, OrderUnconfirmed: true, ReachingProxies: 9}, ReasonOrderUnconfirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.in.ReplacementReason(), c.want)
		})
	}
}
