package labcatalog

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const databaseShards = 16

// group is the state of one database group, including the parts that proxies do not receive. A group in a shard is
// never modified, only replaced.
type group struct {
	database  lab.Database
	promotion *Promotion
	departing map[string]DepartingMember
	// retired has, by member name, the highest incarnation whose announcements are ignored. It lists forgotten members,
	// and members whose address another process uses now.
	retired map[string]uint64
}

type databaseShard struct {
	lock   sync.RWMutex
	groups map[string]*group
}

func (c *Catalog) shard(database string) *databaseShard {
	return &c.shards[xxhash.Sum64String(database)%databaseShards]
}

func (c *Catalog) group(database string) *group {
	s := c.shard(database)
	s.lock.RLock()
	defer s.lock.RUnlock()

	return s.groups[database]
}

// editDatabase calls edit with a copy of a database's group and, unless edit fails, replaces the group by the copy. For
// an unknown database, it creates the group.
func (c *Catalog) editDatabase(index uint64, database string, edit func(*group) error) error {
	g := &group{database: lab.Database{Name: database}}
	if old := c.group(database); old != nil {
		*g = *old
	}
	if err := edit(g); err != nil {
		return err
	}
	g.database.Index = index
	s := c.shard(database)
	s.lock.Lock()
	s.groups[database] = g
	s.lock.Unlock()
	c.changes.add(index, objectDatabase, database)

	return nil
}

// Database returns the state of a database. The result must not be modified.
func (c *Catalog) Database(name string) (*lab.Database, bool) {
	g := c.group(name)
	if g == nil {
		return nil, false
	}

	return &g.database, true
}

// Promotion returns the promotion in progress of a database.
func (c *Catalog) Promotion(database string) (Promotion, bool) {
	g := c.group(database)
	if g == nil || g.promotion == nil {
		return Promotion{}, false
	}

	return *g.promotion, true
}

// Databases returns the names of all databases in ascending order.
func (c *Catalog) Databases() []string {
	var names []string
	for i := range c.shards {
		s := &c.shards[i]
		s.lock.RLock()
		for n := range s.groups {
			names = append(names, n)
		}
		s.lock.RUnlock()
	}
	slices.Sort(names)

	return names
}
