package labpermission

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// change applies changes since a list. The changes consist of services and their members in turn.
func (f *fixture) change(base, number uint64, changes ...string) bool {
	g := lab.PermissionGrant{Revision: revision(number), Base: revision(base), ValidFor: validFor}
	for i := 0; i < len(changes); i += 2 {
		g.Permissions = append(g.Permissions, lab.CommitPermission{Service: changes[i], Member: changes[i+1]})
	}

	return f.Apply(g, f.clock.now)
}

// TestChanges guards against a permission that stays after a change has withdrawn it, and one that ends without a reason.
func TestChanges(t *testing.T) {
	f := newFixture(t)
	f.grant(3, "s", "a", "t", "b")

	assert.Assert(t, f.change(3, 5, "t", "", "u", "c"))
	f.assertReport(5, 5)
	f.assertAllows("s", "a", true)
	f.assertAllows("t", "b", false)
	f.assertAllows("u", "c", true)

	c := f.begin("s", "a")
	assert.Assert(t, f.change(5, 6, "s", "d"))
	f.assertReport(6, 5)
	assert.Assert(t, c.End())
	f.assertReport(6, 6)
	f.assertAllows("s", "d", true)

	assert.Assert(t, !f.change(5, 7, "u", ""), "changes of another list")
	f.assertReport(6, 6)
	f.assertAllows("u", "c", true)
}
