package labroute_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/version/labroute"
)

func delta(since, index, version uint64, names ...string) lab.CatalogDelta {
	d := lab.CatalogDelta{BaseIndex: since, Index: index, Version: version}
	for _, n := range names {
		d.Organisations = append(d.Organisations, lab.Organisation{Name: n, Index: index})
	}

	return d
}

func has(t *testing.T, table *labroute.Table, name string, want bool) {
	t.Helper()

	_, ok := table.Organisation(name)
	assert.Equal(t, ok, want, name)
}

func TestApply(t *testing.T) {
	t.Run("delta builds on what is there", func(t *testing.T) {
		r := labroute.New()
		assert.NilError(t, r.Apply(delta(0, 5, 1, "a")))
		assert.NilError(t, r.Apply(delta(5, 7, 2, "b")))
		has(t, r, "a", true)
		has(t, r, "b", true)
	})

	// Guards against a configuration that reverts when an old answer arrives late.
	t.Run("late delta changes nothing", func(t *testing.T) {
		r := labroute.New()
		assert.NilError(t, r.Apply(delta(0, 7, 2, "b")))
		assert.ErrorContains(t, r.Apply(delta(0, 5, 1, "a")), "older")
		has(t, r, "a", false)
		has(t, r, "b", true)
	})

	t.Run("delta with a gap changes nothing", func(t *testing.T) {
		r := labroute.New()
		assert.NilError(t, r.Apply(delta(0, 5, 1, "a")))
		assert.ErrorContains(t, r.Apply(delta(6, 8, 2, "b")), "builds on")
		has(t, r, "b", false)
	})

	t.Run("full delta drops what it lacks", func(t *testing.T) {
		r := labroute.New()
		assert.NilError(t, r.Apply(delta(0, 5, 1, "a")))
		assert.NilError(t, r.Apply(delta(0, 9, 3, "b")))
		has(t, r, "a", false)
	})

	t.Run("proxies stay until a delta carries them", func(t *testing.T) {
		r := labroute.New()
		d := delta(0, 5, 1)
		d.Proxies = []lab.Instance{{ID: "p"}}
		assert.NilError(t, r.Apply(d))
		assert.NilError(t, r.Apply(delta(5, 6, 1, "a")))
		assert.DeepEqual(t, r.Proxies(), d.Proxies)
	})

	t.Run("deletion", func(t *testing.T) {
		r := labroute.New()
		assert.NilError(t, r.Apply(delta(0, 5, 1, "a")))
		d := delta(5, 6, 2, "a")
		d.Organisations[0].Deleted = true
		assert.NilError(t, r.Apply(d))
		has(t, r, "a", false)
	})
}
