package labcatalog

import (
	"maps"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
)

// image is the encoded form of the whole catalog.
type image struct {
	Index         uint64            `msgpack:"x"`
	Version       uint64            `msgpack:"v"`
	Templates     []Template        `msgpack:"t"`
	Organisations []Organisation    `msgpack:"o"`
	MergedAt      map[string]uint64 `msgpack:"m"` // log index of each organisation's last change
	Answers       []remembered      `msgpack:"a"`
	Groups        []groupImage      `msgpack:"g"`
	Proxies       []proxy           `msgpack:"p"`
	TrailBase     []byte            `msgpack:"b"`
	TrailNext     uint64            `msgpack:"n"`
	Records       []Record          `msgpack:"r"`

	Controls map[lab.InstanceID]ControlInstance `msgpack:"k,omitempty"`
}

type groupImage struct {
	Database  lab.Database         `msgpack:"d"`
	Promotion *Promotion           `msgpack:"p"`
	Retired   map[string]uint64    `msgpack:"r"`
	Departing map[string]Departing `msgpack:"e"`
}

// Snapshot encodes the whole catalog; it is called by the applying goroutine.
func (c *Catalog) Snapshot() ([]byte, error) {
	m := image{Index: c.Index(), MergedAt: map[string]uint64{}}
	c.configuration.image(&m)
	for _, n := range c.Databases() {
		g := c.group(n)
		m.Groups = append(m.Groups, groupImage{
			Database: g.database, Promotion: g.promotion, Retired: g.retired, Departing: g.departing,
		})
	}
	m.Controls = c.controls.image()
	c.fleet.lock.RLock()
	for _, p := range c.fleet.proxies {
		m.Proxies = append(m.Proxies, p)
	}
	c.fleet.lock.RUnlock()
	c.trail.lock.RLock()
	m.TrailBase, m.TrailNext, m.Records = c.trail.base, c.trail.next, c.trail.records
	c.trail.lock.RUnlock()
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, errors.Newf("encode snapshot: %w", err)
	}

	return data, nil
}

func (f *configuration) image(m *image) {
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
	m.Answers = f.answers.order
}

// Restore replaces the catalog by a snapshot's; it is called by the applying goroutine.
func (c *Catalog) Restore(snapshot []byte) error {
	var m image
	if len(snapshot) > 0 { // an empty snapshot is that of an empty catalog
		if err := msgpack.Unmarshal(snapshot, &m); err != nil {
			return errors.Newf("decode snapshot: %w", err)
		}
	}
	c.configuration.restore(&m)
	c.restoreGroups(&m)
	c.controls.restore(m.Controls)
	c.fleet.lock.Lock()
	c.fleet.proxies = make(map[lab.InstanceID]proxy, len(m.Proxies))
	c.fleet.changed = m.Index
	for _, p := range m.Proxies {
		c.fleet.proxies[p.Instance.ID] = p
	}
	c.fleet.lock.Unlock()
	c.trail.lock.Lock()
	c.trail.base, c.trail.next, c.trail.records = m.TrailBase, m.TrailNext, m.Records
	c.trail.lock.Unlock()
	c.journal.lock.Lock()
	c.journal.floor, c.journal.changes = m.Index, nil
	c.journal.lock.Unlock()
	c.index.Store(m.Index)

	return nil
}

func (f *configuration) restore(m *image) {
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
		f.merged[o.Name] = f.merge(o.Name, m.MergedAt[o.Name])
	}
	f.answers = memory{}
	for _, r := range m.Answers {
		f.answers.add(r)
	}
}

func (c *Catalog) restoreGroups(m *image) {
	for i := range c.shards {
		c.shards[i].lock.Lock()
		c.shards[i].groups = map[string]*group{}
		c.shards[i].lock.Unlock()
	}
	c.fleet.lock.Lock()
	c.fleet.duties = map[lab.InstanceID]map[lab.GatewayRole]bool{}
	c.fleet.lock.Unlock()
	c.addresses = map[string]memberKey{}
	for _, g := range m.Groups {
		s := c.shard(g.Database.Name)
		s.lock.Lock()
		s.groups[g.Database.Name] = &group{
			database: g.Database, promotion: g.Promotion, retired: maps.Clone(g.Retired), departing: g.Departing,
		}
		s.lock.Unlock()
		for _, a := range g.Database.Members {
			c.addresses[a.Address] = memberKey{database: g.Database.Name, member: a.Member}
		}
		for _, p := range g.Database.Placements {
			c.fleet.move(lab.GatewayRole{Database: g.Database.Name, Region: p.Region}, "", p.Instance)
		}
	}
}
