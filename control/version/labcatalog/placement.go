package labcatalog

import (
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

var errStaleEpoch = errors.New("base epoch is not the current epoch")

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
		// New registry replicas read the idempotency keys from the replicas of earlier epochs. Without the list of
		// these former replicas, they would assume that the registry is empty.
		if old := g.database.Registry; old.Epoch > 0 {
			r.FormerReplicas = append([][]lab.Instance{old.Replicas}, old.FormerReplicas...)
			r.FormerReplicas = r.FormerReplicas[:min(len(r.FormerReplicas), lab.MaxFormerEpochs)]
		}
		for _, id := range s.Replicas {
			i, _ := c.Instance(id)
			r.Replicas = append(r.Replicas, i)
		}
		g.database.Registry = r

		return nil
	})
}

// AllowedGrant returns the grant that the catalog allows an instance for a gateway role, without regard to leases of
// other instances. first is true if no other instance can ever have held a conflicting grant.
func (c *Catalog) AllowedGrant(instance lab.Instance, role lab.GatewayRole) (grant lab.Grant, first, ok bool) {
	g := c.group(role.Database)
	if g == nil {
		return lab.Grant{}, false, false
	}
	p, placed := g.database.Placement(role.Region)
	if !placed || p.Instance != instance.ID || p.Address != instance.Address {
		return lab.Grant{}, false, false
	}
	grant = lab.Grant{Role: role, Epoch: p.Epoch}
	if m, known := g.database.Member(g.database.Primary); known && m.Region == role.Region {
		grant.Term, grant.Writable = g.database.CurrentTerm(), true
	}

	return grant, p.Epoch == 1 && len(g.database.History) <= 1, true
}
