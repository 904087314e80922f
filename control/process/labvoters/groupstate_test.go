package labvoters

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

func ids(names ...lab.InstanceID) []lab.InstanceID { return names }

func TestNext(t *testing.T) {
	const lostTimeout = DefaultCatchUpPeriod / 2

	change := func(k labreplica.ChangeKind, id lab.InstanceID) *labreplica.Change {
		return &labreplica.Change{Kind: k, Instance: id}
	}

	for _, c := range []struct {
		name      string
		voters    []lab.InstanceID
		learners  []lab.InstanceID
		reporting []lab.InstanceID
		silent    map[lab.InstanceID]time.Duration
		stopped   map[lab.InstanceID]bool
		behind    bool // no learner has caught up
		want      *labreplica.Change
	}{
		{name: "all voters report", voters: ids("a", "b", "c"), reporting: ids("a", "b", "c")},
		{
			name: "lost disk reports", voters: ids("a", "b", "c"), reporting: ids("a", "b", "c/1"),
			want: change(labreplica.ChangeAddLearner, "c/1"),
		},
		{
			name: "successor votes before the lost one is removed", voters: ids("a", "b", "c"), learners: ids("c/1"),
			reporting: ids("a", "b", "c/1"), want: change(labreplica.ChangePromote, "c/1"),
		},
		{
			name: "lost one is removed", voters: ids("a", "b", "c", "c/1"), reporting: ids("a", "b", "c/1"),
			want: change(labreplica.ChangeRemove, "c"),
		},
		{
			name: "silent for a restart", voters: ids("a", "b", "c"), learners: ids("d/1"), reporting: ids("a", "b", "d/1"),
			silent: map[lab.InstanceID]time.Duration{"c": lostTimeout},
		},
		{
			name: "silent for long", voters: ids("a", "b", "c"), learners: ids("d/1"), reporting: ids("a", "b", "d/1"),
			silent: map[lab.InstanceID]time.Duration{"c": lostTimeout + 1}, want: change(labreplica.ChangePromote, "d/1"),
		},
		{
			name: "a voter that stops is replaced at once", voters: ids("a", "b", "c"), learners: ids("d/1"),
			reporting: ids("a", "b", "c", "d/1"), stopped: map[lab.InstanceID]bool{"c": true},
			want: change(labreplica.ChangePromote, "d/1"),
		},
		{
			name: "a promotion doesn't wait for a learner that is behind", voters: ids("a", "b", "c"), learners: ids("d/1"),
			reporting: ids("a", "b", "d/1"), stopped: map[lab.InstanceID]bool{"c": true}, behind: true,
		},
		{
			name: "the learner that was heard from last succeeds", voters: ids("a", "b", "c"), learners: ids("d/1", "e/1", "f/1"),
			reporting: ids("a", "b", "d/1", "e/1"), stopped: map[lab.InstanceID]bool{"f/1": true},
			silent: map[lab.InstanceID]time.Duration{"c": lostTimeout + 1, "d/1": time.Second, "e/1": 0},
			want:   change(labreplica.ChangePromote, "e/1"),
		},
		{
			name: "silent for long without a successor", voters: ids("a", "b", "c"), reporting: ids("a", "b"),
			silent: map[lab.InstanceID]time.Duration{"c": time.Hour},
		},
		{
			name: "spare learner stays", voters: ids("a", "b", "c"), learners: ids("d/1"),
			reporting: ids("a", "b", "c", "d/1"),
		},
		{
			name: "too few voters", voters: ids("a", "b"), learners: ids("d/1"), reporting: ids("a", "b", "d/1"),
			want: change(labreplica.ChangePromote, "d/1"),
		},
		{
			name: "learner that lost its disk", voters: ids("a", "b", "c"), learners: ids("d/1", "d/2"),
			reporting: ids("a", "b", "c", "d/2"), want: change(labreplica.ChangeRemove, "d/1"),
		},
		{
			name: "the leader is never removed", voters: ids("a", "b", "c", "d"), reporting: ids("b", "c", "d"),
			silent: map[lab.InstanceID]time.Duration{"a": time.Hour},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &GroupState{
				Self: "a", Membership: labreplica.Membership{Voters: c.voters, Learners: c.learners}, TargetVoters: 3,
				LiveInstances: c.reporting, SilentFor: c.silent, Stopped: c.stopped, CaughtUp: c.learners,
			}
			if c.behind {
				s.CaughtUp = nil
			}

			got, ok := s.NextChange()
			assert.Equal(t, ok, c.want != nil, "%v", got)

			if ok {
				assert.Equal(t, got, *c.want)
			}
		})
	}
}
