package labvoters

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

func TestReports(t *testing.T) {
	r := &Reports{MaxAge: 2 * time.Second}
	r.Record("a:1", 0)
	r.Record("b:1", time.Second)
	assert.DeepEqual(t, r.Live(time.Second), ids("a:1", "b:1"))
	assert.DeepEqual(t, r.Live(3*time.Second), ids("b:1"))
}

// Guards against repeated removal of an instance that lost its disk and rejoined before the report of its former
// identity expired. The former identity was taken for a replacement of the new learner, which was therefore removed
// each time it joined, until it chose another identity.
func TestFormerReport(t *testing.T) {
	r := &Reports{MaxAge: 2 * time.Second}
	r.Record("a:1", 0)
	r.Record("b:1", 0)
	r.Record("c:1", 0)
	r.Record("c:1/new", time.Second)
	assert.DeepEqual(t, r.Live(time.Second), ids("a:1", "b:1", "c:1/new"))

	s := &GroupState{
		Self: "a:1", TargetVoters: 3, LiveInstances: r.Live(time.Second), SilentFor: map[lab.InstanceID]time.Duration{},
		CaughtUp:   ids("c:1/new"),
		Membership: labreplica.Membership{Voters: ids("a:1", "b:1", "c:1"), Learners: ids("c:1/new")},
	}

	c, ok := s.NextChange()
	assert.Assert(t, ok)
	assert.Equal(t, c, labreplica.Change{Kind: labreplica.ChangePromote, Instance: "c:1/new"})
}
