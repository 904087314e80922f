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
// identity expired. The new learner was considered replaced by the former identity, and was removed until it gave up
// its identity.
func TestFormerReport(t *testing.T) {
	r := &Reports{MaxAge: 2 * time.Second}
	r.Record("a:1", 0)
	r.Record("b:1", 0)
	r.Record("c:1", 0)
	r.Record("c:1/new", time.Second)
	assert.DeepEqual(t, r.Live(time.Second), ids("a:1", "b:1", "c:1/new"))

	p := &Plan{
		Self: "a:1", TargetVoters: 3, Reporting: r.Live(time.Second), SilentFor: map[lab.InstanceID]time.Duration{},
		Membership: labreplica.Membership{Voters: ids("a:1", "b:1", "c:1"), Learners: ids("c:1/new")},
	}

	c, ok := p.Next()
	assert.Assert(t, ok)
	assert.Equal(t, c, labreplica.Change{Kind: labreplica.ChangePromote, Instance: "c:1/new"})
}
