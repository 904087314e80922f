package labcatalog_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// Guards against configuration changes that are lost when an instance restarts from a snapshot and the log entries
// after it.
func TestRestart(t *testing.T) {
	a := newApplier(t)
	small := a.putTemplate("t", "aino", 0, 3)
	version := uint64(0)
	change := func(i int) labcatalog.Command {
		d, err := labcatalog.ParseOrganisation([]byte(organisation(fmt.Sprintf(`"weight": %d`, i+1))))
		assert.NilError(t, err)

		return labcatalog.Command{Change: &labcatalog.Change{
			ID: fmt.Sprintf("c%d", i), Operator: "aino", Kind: labcatalog.KindOrganisation, Name: "ferry", BaseVersion: version, Organisation: d,
		}}
	}
	run := func(a *applier, from, to int) {
		for i := from; i < to; i++ {
			r := a.apply(change(i))
			assert.Equal(t, r.Response.Outcome, labcatalog.OutcomeAccepted)
			version = r.Response.Version
		}
	}
	run(a, 0, 300)
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{{ID: "p", Incarnation: 1, Address: "p"}}})
	a.apply(labcatalog.Command{Announcements: []lab.Announcement{{Database: "rota-core-1", Member: "m1", Address: "m"}}})
	a.apply(labcatalog.Command{Placements: []labcatalog.PlacementChange{{GatewayRole: lab.GatewayRole{Database: "rota-core-1"}, Instance: "p"}}})
	a.apply(labcatalog.Command{Term: &labcatalog.TermStarted{Database: "rota-core-1", Term: 1, Primary: "m1"}})
	a.apply(labcatalog.Command{Started: &labcatalog.PromotionStarted{Database: "rota-core-1", Term: 2, Primary: "m1"}})
	snapshot, err := a.Snapshot()
	assert.NilError(t, err)
	b := newApplier(t)
	assert.NilError(t, b.Restore(snapshot))
	b.index = a.index
	before := version
	run(a, 300, 1000)
	version = before
	run(b, 300, 1000)
	assert.Equal(t, b.Version(), small.Version+1000)
	assert.DeepEqual(t, b.Delta(0), a.Delta(0))
	assert.DeepEqual(t, b.Audit(0, 5000), a.Audit(0, 5000))
	assert.DeepEqual(t, b.GatewayRoles("p"), a.GatewayRoles("p"))
	p, running := b.Promotion("rota-core-1")
	assert.Assert(t, running)
	assert.Equal(t, p.OldPrimary, "m1")
	assert.NilError(t, b.VerifyAudit())
	assert.Equal(t, b.apply(change(5)).Response.Outcome, labcatalog.OutcomeRejected, "the change id is known from before the snapshot")
	assert.Equal(t, b.Delta(10).BaseIndex, uint64(0), "the changes before the snapshot are not kept")
}

// Guards against undetected modification, removal or reordering of audit records.
func TestAudit(t *testing.T) {
	a := newApplier(t)
	a.putTemplate("c1", "aino", 0, 3)
	a.putTemplate("c2", "eero", 0, 4)
	a.apply(labcatalog.Command{OperatorAction: &labcatalog.OperatorAction{Operator: "aino", Action: "drain", Object: "proxy-1"}})
	last := uint64(3)
	detects := func(tamper func([]labcatalog.AuditRecord) []labcatalog.AuditRecord) func(*testing.T) {
		return func(t *testing.T) {
			err := labcatalog.VerifyRecords(nil, tamper(a.Audit(0, 10)), last)
			assert.Assert(t, errors.Is(err, labcatalog.ErrTampered))
		}
	}
	assert.NilError(t, labcatalog.VerifyRecords(nil, a.Audit(0, 10), last))
	t.Run("changed", detects(func(r []labcatalog.AuditRecord) []labcatalog.AuditRecord { r[1].Operator = "aino"; return r }))
	t.Run("removed", detects(func(r []labcatalog.AuditRecord) []labcatalog.AuditRecord { return append(r[:1], r[2]) }))
	t.Run("removed first", detects(func(r []labcatalog.AuditRecord) []labcatalog.AuditRecord { return r[1:] }))
	t.Run("removed last", detects(func(r []labcatalog.AuditRecord) []labcatalog.AuditRecord { return r[:2] }))
	t.Run("swapped", detects(func(r []labcatalog.AuditRecord) []labcatalog.AuditRecord { r[0], r[1] = r[1], r[0]; return r }))
}

// Guards against promotion steps that are repeated or applied out of order, for example by a superseded leader.
func TestPromotionSteps(t *testing.T) {
	a := newApplier(t)
	a.apply(labcatalog.Command{Announcements: []lab.Announcement{{Database: "d", Member: "m1", Address: "1"}}})
	refused := func(c labcatalog.Command) {
		t.Helper()
		assert.ErrorIs(t, a.apply(c).Err, labcatalog.ErrInvalidStep)
	}
	accepted := func(c labcatalog.Command) uint64 {
		t.Helper()
		r := a.apply(c)
		assert.NilError(t, r.Err)

		return r.Index
	}
	start := labcatalog.Command{Started: &labcatalog.PromotionStarted{Database: "d", Term: 2, Primary: "m1"}}
	first := labcatalog.Command{Term: &labcatalog.TermStarted{Database: "d", Term: 1, Primary: "m1"}}
	choose := func(member string, base uint64) labcatalog.Command {
		return labcatalog.Command{Chosen: &labcatalog.PromotionChosen{Database: "d", Term: 2, Member: member, BaseChoiceIndex: base}}
	}
	begin := func(member string, choice uint64) labcatalog.Command {
		return labcatalog.Command{Term: &labcatalog.TermStarted{Database: "d", Term: 2, Primary: member, ChoiceIndex: choice, Offset: 9}}
	}
	refused(start)
	accepted(first)
	refused(first)
	refused(choose("m2", 0))
	accepted(start)
	refused(start)
	refused(labcatalog.Command{Started: &labcatalog.PromotionStarted{Database: "d", Term: 2}})
	refused(begin("m2", 0))
	one := accepted(choose("m2", 0))
	refused(choose("m3", 0))
	two := accepted(choose("m3", one))
	refused(begin("m2", one))
	three := accepted(choose("m3", two))
	refused(begin("m3", two))
	accepted(begin("m3", three))
	refused(labcatalog.Command{Cancelled: &labcatalog.PromotionCancelled{Database: "d", Term: 2, Primary: "m1"}})
	d, _ := a.Database("d")
	assert.DeepEqual(t, d.History, lab.TermHistory{{Term: 1}, {Term: 2, Offset: 9}})
	assert.Equal(t, d.Primary, "m3")
}
