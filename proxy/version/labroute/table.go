package labroute

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Table implements lab.Catalog; readers never wait for an update.
type Table struct {
	mutex   sync.Mutex // one update at a time
	current atomic.Pointer[state]
}

// state is one immutable version of the catalog.
type state struct {
	version       uint64
	index         uint64
	databases     map[string]*lab.Database
	organisations map[string]*lab.Organisation
	proxies       []lab.Instance
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	t.current.Store(&state{})

	return t
}

// Database returns the state of a database.
func (t *Table) Database(name string) (*lab.Database, bool) {
	d, ok := t.current.Load().databases[name]

	return d, ok
}

// Organisation returns an organisation that is not deleted.
func (t *Table) Organisation(name string) (*lab.Organisation, bool) {
	o, ok := t.current.Load().organisations[name]

	return o, ok
}

// Version returns the configuration version and the log index in force.
func (t *Table) Version() (version, index uint64) {
	s := t.current.Load()

	return s.version, s.index
}

// Proxies returns the live proxies in order of their ids; the caller must not change them.
func (t *Table) Proxies() []lab.Instance {
	return t.current.Load().proxies
}

// Apply brings a delta into force. A delta that would go back, or that builds on an index not reached here, is an
// error and changes nothing.
func (t *Table) Apply(delta lab.CatalogDelta) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	old := t.current.Load()

	if delta.Index < old.index || delta.Version < old.version {
		return errors.Newf("delta to index %d version %d is older than index %d version %d in force",
			delta.Index, delta.Version, old.index, old.version)
	}

	if delta.BaseIndex > old.index {
		return errors.Newf("delta builds on index %d, in force is %d", delta.BaseIndex, old.index)
	}

	t.current.Store(old.with(delta))

	return nil
}

func (s *state) with(delta lab.CatalogDelta) *state {
	n := &state{
		version: delta.Version, index: delta.Index, databases: s.databases, organisations: s.organisations, proxies: s.proxies,
	}

	if delta.BaseIndex == 0 && delta.Index > 0 {
		n.databases, n.organisations, n.proxies = nil, nil, nil
	}

	if len(delta.Databases) > 0 || n.databases == nil {
		n.databases = cloneDatabases(n.databases, delta.Databases)
	}

	if len(delta.Organisations) > 0 || n.organisations == nil {
		n.organisations = cloneOrganisations(n.organisations, delta.Organisations)
	}

	if len(delta.Proxies) > 0 {
		n.proxies = delta.Proxies
	}

	return n
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
