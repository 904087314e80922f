package labcatalog

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const databaseShards = 16

// group is one database with what only control needs to know of it; it is replaced, never changed, once published.
type group struct {
	database  lab.Database
	promotion *Promotion
	departing map[string]Departing
	retired   map[string]uint64 // members whose address another process took over, with their last incarnation
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

// editDatabase publishes an edited copy of a group unless the edit fails or the database is unknown.
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

// Database returns a database's state; the caller must not change it.
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
