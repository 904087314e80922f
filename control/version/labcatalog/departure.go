package labcatalog

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// DepartingMember is a member that is out of use but still counts among the members that may have acknowledged writes.
type DepartingMember struct {
	Incarnation uint64 `json:"incarnation" msgpack:"i"` // incarnation of the member when it departed
	// Index is the log index of the departure. A gateway that has applied the log up to Index no longer counts the
	// member's acknowledgements.
	Index uint64 `json:"index" msgpack:"x"`
}

// MemberDeparted records that an unreachable member was taken out of use. It is a departing member until a
// MemberForgotten command is applied.
type MemberDeparted struct {
	Database  string `msgpack:"d"`
	Member    string `msgpack:"m"`
	BaseIndex uint64 `msgpack:"b"` // log index of the database's last change when the command was proposed
}

// MemberForgotten records that the other members have all writes that a departing member may have acknowledged. The
// catalog removes the departing member.
type MemberForgotten struct {
	Database  string `msgpack:"d"`
	Member    string `msgpack:"m"`
	BaseIndex uint64 `msgpack:"b"` // log index of the database's last change when the command was proposed
}

// Departing returns the departing members of a database by name.
func (c *Catalog) Departing(database string) map[string]DepartingMember {
	g := c.group(database)
	if g == nil {
		return nil
	}

	return g.departing // the map is replaced on changes, never modified
}

func (c *Catalog) memberDeparted(index uint64, s *MemberDeparted) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		m, known := g.database.Member(s.Member)
		if !known || g.database.Index != s.BaseIndex || g.promotion != nil || g.database.Primary == s.Member {
			return errors.Newf("take member %s of %s out of use: %w", s.Member, s.Database, ErrInvalidStep)
		}
		g.database.Members = slices.DeleteFunc(slices.Clone(g.database.Members), func(m lab.Announcement) bool {
			return m.Member == s.Member
		})
		g.departing = cloneDeparting(g.departing)
		g.departing[s.Member] = DepartingMember{Incarnation: m.Incarnation, Index: index}
		delete(c.addressOwners, m.Address)

		return nil
	})
}

func (c *Catalog) memberForgotten(index uint64, s *MemberForgotten) error {
	return c.editDatabase(index, s.Database, func(g *group) error {
		d, departing := g.departing[s.Member]
		if !departing || g.database.Index != s.BaseIndex || g.promotion != nil {
			return errors.Newf("forget departing member %s of %s: %w", s.Member, s.Database, ErrInvalidStep)
		}
		g.departing = cloneDeparting(g.departing)
		delete(g.departing, s.Member)
		if d.Incarnation > 0 {
			g.retired = maps.Clone(g.retired)
			if g.retired == nil {
				g.retired = map[string]uint64{}
			}
			g.retired[s.Member] = d.Incarnation - 1 // the same incarnation may return, an earlier one may not
		}

		return nil
	})
}

func cloneDeparting(m map[string]DepartingMember) map[string]DepartingMember {
	if m == nil {
		return map[string]DepartingMember{}
	}

	return maps.Clone(m)
}
