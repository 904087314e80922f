package labcatalog_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const template = `{"parameters": {"leave_grace_ms": 2000, "weight": 3, "read_classes": [{"name": "browse", "max_age_ms": 500}]}}`

func organisation(extra string) string {
	key := "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

	return fmt.Sprintf(`{"template": "small", "databases": ["rota-core-1"], "credential": {"iterations": 4096, "salt": "AAAA",
		"stored_key": %q, "server_key": %q}, "parameters": {%s}}`, key, key, extra)
}

// applier applies commands with consecutive log indexes to a catalog.
type applier struct {
	*labcatalog.Catalog
	t     *testing.T
	index uint64
}

func newApplier(t *testing.T) *applier {
	return &applier{Catalog: labcatalog.New(), t: t}
}

func (a *applier) apply(c labcatalog.Command) labcatalog.Result {
	a.t.Helper()
	data, err := c.Encode()
	assert.NilError(a.t, err)
	a.index++
	result, ok := a.Apply(a.index, data).(labcatalog.Result)
	assert.Assert(a.t, ok)

	return result
}

func (a *applier) change(c labcatalog.Change) labcatalog.ChangeResponse {
	a.t.Helper()

	return *a.apply(labcatalog.Command{Change: &c}).Response
}

func (a *applier) putTemplate(id, operator string, base uint64, weight int64) labcatalog.ChangeResponse {
	a.t.Helper()
	d, err := labcatalog.ParseTemplate([]byte(template))
	assert.NilError(a.t, err)
	d.Parameters.Weight = weight

	return a.change(labcatalog.Change{
		ID: id, Operator: operator, Kind: labcatalog.KindTemplate, Name: "small", BaseVersion: base, Template: d,
	})
}

func (a *applier) putOrganisation(id string, base uint64, extra string) labcatalog.ChangeResponse {
	a.t.Helper()
	d, err := labcatalog.ParseOrganisation([]byte(organisation(extra)))
	assert.NilError(a.t, err)

	return a.change(labcatalog.Change{
		ID: id, Operator: "aino", Kind: labcatalog.KindOrganisation, Name: "ferry", BaseVersion: base, Organisation: d,
	})
}

// Guards against two operators who overwrite each other's changes, and against applying a repeated change twice.
func TestChange(t *testing.T) {
	t.Run("second change on the same base version names the first", func(t *testing.T) {
		a := newApplier(t)
		first := a.putTemplate("c1", "aino", 0, 3)
		second := a.putTemplate("c2", "eero", 0, 4)
		assert.Equal(t, first.Outcome, labcatalog.OutcomeAccepted)
		assert.Equal(t, second.Outcome, labcatalog.OutcomeConflict)
		assert.DeepEqual(t, second.Winner, &labcatalog.ChangeInfo{Operator: "aino", ChangeID: "c1", Version: first.Version})
		stored, _ := a.Template("small")
		assert.Equal(t, stored.Document.Parameters.Weight, int64(3))
	})
	t.Run("repeated change gets the first response", func(t *testing.T) {
		a := newApplier(t)
		first := a.putTemplate("c1", "aino", 0, 3)
		a.putTemplate("c2", "eero", first.Version, 4)
		assert.DeepEqual(t, a.putTemplate("c1", "aino", 0, 3), first)
		assert.Equal(t, a.Version(), first.Version+1)
	})
	t.Run("reused change id is rejected", func(t *testing.T) {
		a := newApplier(t)
		first := a.putTemplate("c1", "aino", 0, 3)
		assert.Equal(t, a.putTemplate("c1", "aino", first.Version, 9).Outcome, labcatalog.OutcomeRejected)
	})
	t.Run("deleted object keeps its version", func(t *testing.T) {
		a := newApplier(t)
		first := a.putTemplate("c1", "aino", 0, 3)
		deleted := a.change(labcatalog.Change{ID: "c2", Operator: "aino", Kind: labcatalog.KindTemplate, Name: "small", BaseVersion: first.Version})
		assert.Equal(t, deleted.Outcome, labcatalog.OutcomeAccepted)
		assert.Equal(t, a.putTemplate("c3", "eero", 0, 4).Outcome, labcatalog.OutcomeConflict)
		assert.Equal(t, a.putTemplate("c4", "eero", deleted.Version, 4).Version, deleted.Version+1)
	})
	t.Run("ten thousand change ids are remembered", func(t *testing.T) {
		a := newApplier(t)
		first := a.putTemplate("c0", "aino", 0, 3)
		for i := range 9999 {
			a.putTemplate(fmt.Sprintf("other-%d", i), "eero", 0, 4)
		}
		assert.DeepEqual(t, a.putTemplate("c0", "aino", 0, 3), first)
	})
}

// Guards against organisations that keep old parameters of their template or lose their own parameters.
func TestOrganisation(t *testing.T) {
	a := newApplier(t)
	small := a.putTemplate("c1", "aino", 0, 3)
	a.putOrganisation("c2", 0, `"leave_grace_ms": 1000`)
	assert.Equal(t, a.putTemplate("c3", "aino", small.Version, 7).Outcome, labcatalog.OutcomeAccepted)
	o, ok := a.Organisation("ferry")
	assert.Assert(t, ok)
	assert.Equal(t, o.Parameters.Weight, int64(7))
	assert.Equal(t, o.Parameters.DrainGraceMS, int64(1000))
	assert.Equal(t, len(o.Parameters.ReadClasses), 1)
	assert.Equal(t, len(a.Delta(2).Organisations), 1)
	stored, _ := a.Template("small")
	deletion := a.change(labcatalog.Change{ID: "c4", Operator: "aino", Kind: labcatalog.KindTemplate, Name: "small", BaseVersion: stored.LastChange.Version})
	assert.Equal(t, deletion.Outcome, labcatalog.OutcomeRejected)
}

// Guards against accepting a document with a misspelt field or a value outside its range.
func TestValidation(t *testing.T) {
	rejects := func(document, path, accepted string) func(*testing.T) {
		return func(t *testing.T) {
			_, err := labcatalog.ParseOrganisation([]byte(document))
			assert.ErrorContains(t, err, path+": ")
			assert.ErrorContains(t, err, "accepted: "+accepted)
		}
	}
	t.Run("unknown field", rejects(organisation(`"leave_grace": 1`), "$.parameters.leave_grace", "read_classes, leave_grace_ms"))
	t.Run("leave grace", rejects(organisation(`"leave_grace_ms": 5001`), "$.parameters.leave_grace_ms", "0 to 5000"))
	t.Run("type", rejects(organisation(`"weight": "3"`), "$.parameters.weight", "integer"))
	t.Run("nested", rejects(organisation(`"read_classes": [{"name": "A"}]`), "$.parameters.read_classes[0].name", "1 to 63"))
	t.Run("credential", rejects(`{"databases": ["a"]}`, "$.credential.stored_key", "32 bytes"))
	t.Run("syntax", rejects(`{"databases": [`, "$", "one JSON object"))
	t.Run("field name in other case", rejects(organisation(`"Weight": 3`), "$.parameters.Weight", "read_classes"))
}

// Guards against an announcement of a stopped process that replaces the announcement of a running process.
func TestAnnouncement(t *testing.T) {
	m := lab.Announcement{Database: "rota-core-1", Member: "m1", Address: "10.0.0.1:5432", Region: "gulf-coast", Incarnation: 5}
	announce := func(a *applier, m lab.Announcement) *lab.Database {
		a.apply(labcatalog.Command{Announcements: []lab.Announcement{m}})
		d, _ := a.Database("rota-core-1")

		return d
	}
	t.Run("older incarnation", func(t *testing.T) {
		a := newApplier(t)
		announce(a, m)
		old := m
		old.Incarnation, old.Address = 4, "10.0.0.9:5432"
		assert.DeepEqual(t, announce(a, old).Members, []lab.Announcement{m})
	})
	t.Run("reused address", func(t *testing.T) {
		a := newApplier(t)
		announce(a, m)
		next := m
		next.Member, next.Incarnation = "m2", 1
		assert.DeepEqual(t, announce(a, next).Members, []lab.Announcement{next})
		assert.DeepEqual(t, announce(a, m).Members, []lab.Announcement{next})
		assert.Assert(t, !a.WouldChange(m))
		m.Incarnation, m.Address = 6, "10.0.0.3:5432"
		assert.Equal(t, len(announce(a, m).Members), 2)
	})
	t.Run("unchanged announcement makes no delta", func(t *testing.T) {
		a := newApplier(t)
		announce(a, m)
		announce(a, m)
		assert.Equal(t, len(a.Delta(1).Databases), 0)
	})
}

// Guards against a late heartbeat of a stopped process that makes its proxy live again.
func TestInstance(t *testing.T) {
	a := newApplier(t)
	i := lab.Instance{ID: "proxy-1", Incarnation: 5, Region: "gulf-coast", AvailabilityZone: "hanko", Address: "10.0.0.1:1"}
	old, other := i, i
	old.Incarnation = 4
	other.ID, other.Incarnation = "proxy-2", 1
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{i}})
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{old}})
	known, live := a.Instance("proxy-1")
	assert.Equal(t, known, i)
	assert.Assert(t, live)
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{other}})
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{i}})
	_, live = a.Instance("proxy-1")
	assert.Assert(t, !live, "the address belongs to another process now")
	a.apply(labcatalog.Command{StoppedProxies: []labcatalog.StoppedProxy{{Instance: "proxy-2", Incarnation: 0}}})
	_, live = a.Instance("proxy-2")
	assert.Assert(t, live, "an earlier incarnation has stopped")
}

// Guards against deltas that omit changes of the set of proxies, and against sending the whole set with every change.
func TestProxiesInDelta(t *testing.T) {
	a := newApplier(t)
	one := lab.Instance{ID: "proxy-1", Incarnation: 1, Address: "10.0.0.1:1"}
	two := lab.Instance{ID: "proxy-2", Incarnation: 1, Address: "10.0.0.2:1"}
	has := func(since uint64, want ...lab.Instance) {
		t.Helper()
		assert.DeepEqual(t, a.Delta(since).Proxies, want)
	}
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{one}})
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{two}})
	has(0, one, two)
	has(1, one, two)
	has(2)
	a.apply(labcatalog.Command{DrainingProxies: []lab.InstanceID{"proxy-1"}, JoinedProxies: []lab.Instance{two}})
	has(2)
	a.apply(labcatalog.Command{StoppedProxies: []labcatalog.StoppedProxy{{Instance: "proxy-1", Incarnation: 1}}})
	has(3, two)
	data, err := a.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, a.Restore(data))
	has(4)
	has(3, two)
	moved := two
	moved.Incarnation, moved.Address = 2, "10.0.0.3:1"
	a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{moved}})
	has(4, moved)
}

// Guards against placement changes that were decided on an outdated epoch.
func TestPlacement(t *testing.T) {
	a := newApplier(t)
	role := lab.GatewayRole{Database: "rota-core-1", Region: "gulf-coast"}
	for _, n := range []lab.InstanceID{"proxy-1", "proxy-2"} {
		a.apply(labcatalog.Command{JoinedProxies: []lab.Instance{{ID: n, Incarnation: 1, Address: string(n)}}})
		a.apply(labcatalog.Command{Placements: []labcatalog.PlacementChange{{GatewayRole: role, Instance: n}}})
	}
	d, _ := a.Database("rota-core-1")
	assert.DeepEqual(t, d.Placements, []lab.GatewayPlacement{{Region: "gulf-coast", Instance: "proxy-1", Address: "proxy-1", Epoch: 1}})
	assert.DeepEqual(t, a.GatewayRoles("proxy-1"), []lab.GatewayRole{role})
	assert.Equal(t, len(a.GatewayRoles("proxy-2")), 0)
}
