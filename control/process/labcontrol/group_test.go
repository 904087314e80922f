package labcontrol_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labcontrol"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// lateGroup is a control group that commits the promotion of a learner only after Promote has returned.
type lateGroup struct {
	labcontrol.Group

	membership labreplica.Membership
}

func (g *lateGroup) Membership() labreplica.Membership { return g.membership }

func (*lateGroup) AppliedIndex() uint64 { return 1 }

func (g *lateGroup) AddLearner(_ context.Context, id lab.InstanceID) error {
	g.membership.Learners = []lab.InstanceID{id}

	return nil
}

func (g *lateGroup) Promote(_ context.Context, id lab.InstanceID) error {
	g.membership.Voters, g.membership.Learners = append(g.membership.Voters, id), nil

	return context.DeadlineExceeded
}

// Guards against a promotion that is missing from the audit trail because it was committed after the operator's request
// had ended.
func TestAddControlAudited(t *testing.T) {
	const addresses = `{"process_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2"}`

	e := newEnvironment(t)
	e.leader().Group = &lateGroup{membership: labreplica.Membership{Voters: []lab.InstanceID{"control-1"}}}

	e.request(http.StatusServiceUnavailable, nil, "POST", "/v1/control/control-3", addresses)
	assert.Equal(t, e.countAudited("control_added"), 0)

	e.request(http.StatusOK, nil, "POST", "/v1/control/control-3", addresses)
	assert.Equal(t, e.countAudited("control_added"), 1)

	e.request(http.StatusOK, nil, "POST", "/v1/control/control-3", addresses)
	assert.Equal(t, e.countAudited("control_added"), 1, "a repeated request adds no record")
}

// countAudited returns the number of records of an action in the audit trail.
func (e *environment) countAudited(action string) int {
	e.t.Helper()

	var a changeResponse
	e.request(http.StatusOK, &a, "GET", "/v1/audit?limit=1000", "")

	n := 0

	for _, r := range a.Records {
		if r.Action == action {
			n++
		}
	}

	return n
}
