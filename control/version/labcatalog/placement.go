package labcatalog

import (
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

var errStaleEpoch = errors.New("base epoch is not in force")

func (c *Catalog) setPlacement(index uint64, s PlacementChange) {
	var from lab.InstanceID
	target, _ := c.Instance(s.Instance)
	err := c.editDatabase(index, s.GatewayRole.Database, func(g *group) error {
		old, _ := g.database.Placement(s.GatewayRole.Region)
		if old.Epoch != s.BaseEpoch {
			return errStaleEpoch
		}
		from = old.Instance
		p := lab.GatewayPlacement{Region: s.GatewayRole.Region, Instance: s.Instance, Address: target.Address, Epoch: old.Epoch + 1}
		list := slices.DeleteFunc(slices.Clone(g.database.Placements), func(p lab.GatewayPlacement) bool {
			return p.Region == s.GatewayRole.Region
		})
		g.database.Placements = append(list, p)

		return nil
	})
	if err == nil {
		c.fleet.moveRole(s.GatewayRole, from, s.Instance)
	}
}

func (c *Catalog) setRegistry(index uint64, s RegistryChange) {
	_ = c.editDatabase(index, s.Database, func(g *group) error {
		if g.database.Registry.Epoch != s.BaseEpoch {
			return errStaleEpoch
		}
		r := lab.RegistryPlacement{Epoch: s.BaseEpoch + 1}
		// New holders ask those of earlier epochs for their names; without them they would take the registry for empty.
		if old := g.database.Registry; old.Epoch > 0 {
			r.FormerReplicas = append([][]lab.Instance{old.Replicas}, old.FormerReplicas...)
			r.FormerReplicas = r.FormerReplicas[:min(len(r.FormerReplicas), lab.MaxFormerEpochs)]
		}
		for _, id := range s.Holders {
			i, _ := c.Instance(id)
			r.Replicas = append(r.Replicas, i)
		}
		g.database.Registry = r

		return nil
	})
}

// AllowedGrant returns the grant that the catalog allows an instance for a duty, before any lease of others is considered.
func (c *Catalog) AllowedGrant(instance lab.Instance, duty lab.GatewayRole) (grant lab.Grant, first, ok bool) {
	g := c.group(duty.Database)
	if g == nil {
		return lab.Grant{}, false, false
	}
	p, placed := g.database.Placement(duty.Region)
	if !placed || p.Instance != instance.ID || p.Address != instance.Address {
		return lab.Grant{}, false, false
	}
	grant = lab.Grant{Role: duty, Epoch: p.Epoch}
	if m, known := g.database.Member(g.database.Primary); known && m.Region == duty.Region {
		grant.Term, grant.Writable = g.database.CurrentTerm(), true
	}

	return grant, p.Epoch == 1 && len(g.database.History) <= 1, true
}
