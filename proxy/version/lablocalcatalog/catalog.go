package lablocalcatalog

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Catalog implements lab.Catalog. It is safe for concurrent use; reads never block on an update.
type Catalog struct {
	mutex   sync.Mutex // serialises updates
	current atomic.Pointer[snapshot]
}

// snapshot is an immutable state of the catalog.
type snapshot struct {
	version       uint64                       // configuration version
	index         uint64                       // index of the last entry of the replicated log that the catalog includes
	databases     map[string]*lab.Database     // databases by name
	organisations map[string]*lab.Organisation // organisations by name, without deleted ones
	proxies       []lab.Instance               // live proxies in the order of their IDs
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	c.current.Store(&snapshot{})

	return c
}

// Database returns the state of a database.
func (c *Catalog) Database(name string) (*lab.Database, bool) {
	d, ok := c.current.Load().databases[name]

	return d, ok
}

// Organisation returns an organisation that is not deleted.
func (c *Catalog) Organisation(name string) (*lab.Organisation, bool) {
	o, ok := c.current.Load().organisations[name]

	return o, ok
}

// Version returns the active configuration version and the index of the last entry of the replicated log that the
// catalog includes. Both are zero before the first delta.
func (c *Catalog) Version() (version, index uint64) {
	s := c.current.Load()

	return s.version, s.index
}

// Proxies returns the live proxies in the order of their IDs. The caller must not modify the slice.
func (c *Catalog) Proxies() []lab.Instance {
	return c.current.Load().proxies
}

// Apply applies a delta. It returns an error and changes nothing if the delta is older than the catalog, or if it is
// based on an index that the catalog has not reached.
func (c *Catalog) Apply(delta lab.CatalogDelta) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	old := c.current.Load()

	if delta.Index < old.index || delta.Version < old.version {
		return errors.Newf("delta to index %d, version %d is older than the applied index %d, version %d",
			delta.Index, delta.Version, old.index, old.version)
	}

	if delta.BaseIndex > old.index {
		return errors.Newf("delta builds on index %d, but the applied index is %d", delta.BaseIndex, old.index)
	}

	c.current.Store(old.apply(delta))

	return nil
}

// apply returns the snapshot that results from a delta. A delta whose base index is 0 and whose index is above 0
// replaces the whole catalog.
func (s *snapshot) apply(delta lab.CatalogDelta) *snapshot {
	next := &snapshot{
		version: delta.Version, index: delta.Index, databases: s.databases, organisations: s.organisations, proxies: s.proxies,
	}

	if delta.BaseIndex == 0 && delta.Index > 0 {
		next.databases, next.organisations, next.proxies = nil, nil, nil
	}

	if len(delta.Databases) > 0 || next.databases == nil {
		next.databases = cloneDatabases(next.databases, delta.Databases)
	}

	if len(delta.Organisations) > 0 || next.organisations == nil {
		next.organisations = cloneOrganisations(next.organisations, delta.Organisations)
	}

	if len(delta.Proxies) > 0 {
		next.proxies = delta.Proxies
	}

	return next
}

func cloneDatabases(old map[string]*lab.Database, changed []lab.Database) map[string]*lab.Database {
	m := make(map[string]*lab.Database, len(old)+len(changed))
	maps.Copy(m, old)

	for i := range changed {
		m[changed[i].Name] = &changed[i]
	}

	return m
}

func cloneOrganisations(old map[string]*lab.Organisation, changed []lab.Organisation) map[string]*lab.Organisation {
	m := make(map[string]*lab.Organisation, len(old)+len(changed))
	maps.Copy(m, old)

	for i := range changed {
		if changed[i].Deleted {
			delete(m, changed[i].Name)
		} else {
			m[changed[i].Name] = &changed[i]
		}
	}

	return m
}
