package labcatalog

import (
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// snapshotData is the encoded form of the whole catalog.
type snapshotData struct {
	Index             uint64            `msgpack:"x"`
	Version           uint64            `msgpack:"v"`
	Templates         []Template        `msgpack:"t"`
	Organisations     []Organisation    `msgpack:"o"`
	MergedAt          map[string]uint64 `msgpack:"m"` // log index of the last change of each organisation, by name
	Responses         []cachedResponse  `msgpack:"a"`
	Groups            []groupSnapshot   `msgpack:"g"`
	Proxies           []proxy           `msgpack:"p"`
	AuditBaseHash     []byte            `msgpack:"b"`
	LastAuditSequence uint64            `msgpack:"n"`
	AuditRecords      []AuditRecord     `msgpack:"r"`

	Controls map[lab.InstanceID]ControlInstance `msgpack:"k,omitempty"`
}

type groupSnapshot struct {
	Database  lab.Database               `msgpack:"d"`
	Promotion *Promotion                 `msgpack:"p"`
	Retired   map[string]uint64          `msgpack:"r"`
	Departing map[string]DepartingMember `msgpack:"e"`
}

// Snapshot encodes the whole catalog. It is called by the goroutine that applies commands.
func (c *Catalog) Snapshot() ([]byte, error) {
	m := snapshotData{Index: c.Index(), MergedAt: map[string]uint64{}}
	c.configuration.addToSnapshot(&m)
	for _, n := range c.Databases() {
		g := c.group(n)
		m.Groups = append(m.Groups, groupSnapshot{
			Database: g.database, Promotion: g.promotion, Retired: g.retired, Departing: g.departing,
		})
	}
	m.Controls = c.controlInstances.snapshot()
	c.fleet.lock.RLock()
	for _, p := range c.fleet.proxies {
		m.Proxies = append(m.Proxies, p)
	}
	c.fleet.lock.RUnlock()
	c.audit.lock.RLock()
	m.AuditBaseHash, m.LastAuditSequence, m.AuditRecords = c.audit.baseHash, c.audit.lastSequence, c.audit.records
	c.audit.lock.RUnlock()
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, errors.Newf("encode snapshot: %w", err)
	}

	return data, nil
}

func (f *configuration) addToSnapshot(m *snapshotData) {
	f.lock.RLock()
	defer f.lock.RUnlock()
	m.Version = f.version
	for _, t := range f.templates {
		m.Templates = append(m.Templates, t)
	}
	for n, o := range f.organisations {
		m.Organisations = append(m.Organisations, o)
		m.MergedAt[n] = f.merged[n].Index
	}
	m.Responses = f.responses.ordered
}

// Restore replaces the whole catalog by the contents of a snapshot. It is called by the goroutine that applies
// commands.
func (c *Catalog) Restore(snapshot []byte) error {
	var m snapshotData
	if len(snapshot) > 0 { // an empty snapshot stands for an empty catalog
		if err := msgpack.Unmarshal(snapshot, &m); err != nil {
			return errors.Newf("decode snapshot: %w", err)
		}
	}
	c.configuration.restore(&m)
	c.restoreGroups(&m)
	c.controlInstances.restore(m.Controls)
	c.fleet.lock.Lock()
	c.fleet.proxies = make(map[lab.InstanceID]proxy, len(m.Proxies))
	c.fleet.changedAt = m.Index
	for _, p := range m.Proxies {
		c.fleet.proxies[p.Instance.ID] = p
	}
	c.fleet.lock.Unlock()
	c.audit.lock.Lock()
	c.audit.baseHash, c.audit.lastSequence, c.audit.records = m.AuditBaseHash, m.LastAuditSequence, m.AuditRecords
	c.audit.lock.Unlock()
	c.changes.lock.Lock()
	c.changes.droppedUpTo, c.changes.changes = m.Index, nil
	c.changes.lock.Unlock()
	c.index.Store(m.Index)

	return nil
}

func (f *configuration) restore(m *snapshotData) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.version = m.Version
	f.templates = make(map[string]Template, len(m.Templates))
	for _, t := range m.Templates {
		f.templates[t.Name] = t
	}
	f.organisations = make(map[string]Organisation, len(m.Organisations))
	f.merged = make(map[string]*lab.Organisation, len(m.Organisations))
	for _, o := range m.Organisations {
		f.organisations[o.Name] = o
		f.merged[o.Name] = f.mergeOrganisation(o.Name, m.MergedAt[o.Name])
	}
	f.responses = responseCache{}
	for _, r := range m.Responses {
		f.responses.add(r)
	}
}

func (c *Catalog) restoreGroups(m *snapshotData) {
	for i := range c.shards {
		c.shards[i].lock.Lock()
		c.shards[i].groups = map[string]*group{}
		c.shards[i].lock.Unlock()
	}
	c.fleet.lock.Lock()
	c.fleet.roles = map[lab.InstanceID]map[lab.GatewayRole]bool{}
	c.fleet.lock.Unlock()
	c.addressOwners = map[string]memberKey{}
	for _, g := range m.Groups {
		s := c.shard(g.Database.Name)
		s.lock.Lock()
		s.groups[g.Database.Name] = &group{
			database: g.Database, promotion: g.Promotion, retired: maps.Clone(g.Retired), departing: g.Departing,
		}
		s.lock.Unlock()
		for _, a := range g.Database.Members {
			c.addressOwners[a.Address] = memberKey{database: g.Database.Name, member: a.Member}
		}
		for _, p := range g.Database.Placements {
			c.fleet.moveRole(lab.GatewayRole{Database: g.Database.Name, Region: p.Region}, "", p.Instance)
		}
	}
}
