package labcatalog

import (
	"maps"
	"slices"

	"laburnumlock.dev/lab"
)

type memberKey struct {
	database, member string
}

// WouldChange reports whether applying the announcement would change the catalog.
func (c *Catalog) WouldChange(a lab.Announcement) bool {
	g := c.group(a.Database)
	if g == nil {
		return true
	}
	if last, ok := g.retired[a.Member]; ok && a.Incarnation <= last {
		return false
	}
	if d, departing := g.departing[a.Member]; departing {
		return a.Incarnation >= d.Incarnation
	}
	old, known := g.database.Member(a.Member)

	return !known || a.Incarnation > old.Incarnation || (a.Incarnation == old.Incarnation && a != old)
}

func (c *Catalog) applyAnnouncement(index uint64, a lab.Announcement) {
	if a.Database == "" || a.Member == "" || !c.WouldChange(a) {
		return
	}
	key := memberKey{database: a.Database, member: a.Member}
	if owner, taken := c.addressOwners[a.Address]; taken && owner != key {
		c.retireMember(index, owner)
	}
	_ = c.editDatabase(index, a.Database, func(g *group) error {
		if old, known := g.database.Member(a.Member); known && old.Address != a.Address {
			delete(c.addressOwners, old.Address)
		}
		members := slices.DeleteFunc(slices.Clone(g.database.Members), func(m lab.Announcement) bool {
			return m.Member == a.Member
		})
		g.database.Members = append(members, a)
		slices.SortFunc(g.database.Members, func(a, b lab.Announcement) int {
			if a.Member < b.Member {
				return -1
			}

			return 1
		})
		g.retired = maps.Clone(g.retired)
		delete(g.retired, a.Member)
		g.departing = cloneDeparting(g.departing)
		delete(g.departing, a.Member)

		return nil
	})
	c.addressOwners[a.Address] = key
}

// retireMember removes a member whose address another process has announced. Only a newer incarnation of the member may
// return.
func (c *Catalog) retireMember(index uint64, key memberKey) {
	_ = c.editDatabase(index, key.database, func(g *group) error {
		old, known := g.database.Member(key.member)
		if !known {
			return nil
		}
		g.database.Members = slices.DeleteFunc(slices.Clone(g.database.Members), func(m lab.Announcement) bool {
			return m.Member == key.member
		})
		g.retired = maps.Clone(g.retired)
		if g.retired == nil {
			g.retired = map[string]uint64{}
		}
		g.retired[key.member] = old.Incarnation
		delete(c.addressOwners, old.Address)

		return nil
	})
}
