package lablocalcatalog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
)

func delta(baseIndex, index, version uint64, names ...string) lab.CatalogDelta {
	d := lab.CatalogDelta{BaseIndex: baseIndex, Index: index, Version: version}
	for _, n := range names {
		d.Organisations = append(d.Organisations, lab.Organisation{Name: n, Index: index})
	}

	return d
}

func assertOrganisation(t *testing.T, catalog *lablocalcatalog.Catalog, name string, want bool) {
	t.Helper()

	_, ok := catalog.Organisation(name)
	assert.Equal(t, ok, want, name)
}

// Guards against a catalog that lacks a change or contains a superseded one after a sequence of deltas.
func TestApply(t *testing.T) {
	t.Run("delta adds to the catalog", func(t *testing.T) {
		c := lablocalcatalog.New()
		assert.NilError(t, c.Apply(delta(0, 5, 1, "a")))
		assert.NilError(t, c.Apply(delta(5, 7, 2, "b")))
		assertOrganisation(t, c, "a", true)
		assertOrganisation(t, c, "b", true)
	})

	// Guards against a configuration that reverts when an older delta arrives after a newer one.
	t.Run("older delta changes nothing", func(t *testing.T) {
		c := lablocalcatalog.New()
		assert.NilError(t, c.Apply(delta(0, 7, 2, "b")))
		assert.ErrorContains(t, c.Apply(delta(0, 5, 1, "a")), "older")
		assertOrganisation(t, c, "a", false)
		assertOrganisation(t, c, "b", true)
	})

	t.Run("delta with a gap changes nothing", func(t *testing.T) {
		c := lablocalcatalog.New()
		assert.NilError(t, c.Apply(delta(0, 5, 1, "a")))
		assert.ErrorContains(t, c.Apply(delta(6, 8, 2, "b")), "builds on")
		assertOrganisation(t, c, "b", false)
	})

	t.Run("full delta removes what it does not contain", func(t *testing.T) {
		c := lablocalcatalog.New()
		assert.NilError(t, c.Apply(delta(0, 5, 1, "a")))
		assert.NilError(t, c.Apply(delta(0, 9, 3, "b")))
		assertOrganisation(t, c, "a", false)
	})

	t.Run("proxies stay until a delta contains proxies", func(t *testing.T) {
		c := lablocalcatalog.New()
		d := delta(0, 5, 1)
		d.Proxies = []lab.Instance{{ID: "p"}}
		assert.NilError(t, c.Apply(d))
		assert.NilError(t, c.Apply(delta(5, 6, 1, "a")))
		assert.DeepEqual(t, c.Proxies(), d.Proxies)
	})

	t.Run("deletion", func(t *testing.T) {
		c := lablocalcatalog.New()
		assert.NilError(t, c.Apply(delta(0, 5, 1, "a")))
		d := delta(5, 6, 2, "a")
		d.Organisations[0].Deleted = true
		assert.NilError(t, c.Apply(d))
		assertOrganisation(t, c, "a", false)
	})
}
