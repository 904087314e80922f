package labcontrol

import (
	"slices"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// spread chooses instances among the live, non-draining proxies.
type spread struct {
	usable  map[lab.InstanceID]lab.Instance
	regions map[string][]lab.Instance
	all     []lab.Instance
	count   map[lab.InstanceID]int // duties placed on each
}

func newSpread(c *labcatalog.Catalog) *spread {
	f := &spread{
		usable: map[lab.InstanceID]lab.Instance{}, regions: map[string][]lab.Instance{}, count: map[lab.InstanceID]int{},
	}
	for _, p := range c.Proxies() {
		if p.Draining {
			continue
		}
		i := p.Instance
		f.usable[i.ID] = i
		f.regions[i.Region] = append(f.regions[i.Region], i)
		f.all = append(f.all, i)
		f.count[i.ID] = len(c.Duties(i.ID))
	}

	return f
}

// place returns the change that a duty needs, if any. A duty stays where it is while its holder is usable, since every
// move interrupts the database's work for a lease hand-over.
func (f *spread) place(d *lab.Database, region string) (labcatalog.PlacementSet, bool) {
	old, _ := d.Placement(region)
	set := labcatalog.PlacementSet{Duty: lab.Duty{Database: d.Name, Region: region}, BaseEpoch: old.Epoch}
	if i, ok := f.usable[old.Instance]; ok && i.Region == region {
		set.Instance = i.ID

		return set, i.Address != old.Address
	}
	best := f.ranked(d.Name+"/"+region, f.regions[region])
	if len(best) > 0 {
		set.Instance = best[0].ID
	}

	return set, set.Instance != old.Instance
}

// ranked returns instances in the order of rendezvous hashing.
func (f *spread) ranked(key string, list []lab.Instance) []lab.Instance {
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b lab.Instance) int {
		switch x, y := score(key, a.ID), score(key, b.ID); {
		case x > y:
			return -1
		case x < y:
			return 1
		}

		return 0
	})

	return ordered
}

// registry returns the change of registry holders that a database needs: usable instances, from different availability
// zones where there are enough.
func (f *spread) registry(d *lab.Database) (labcatalog.RegistrySet, bool) {
	set := labcatalog.RegistrySet{Database: d.Name, BaseEpoch: d.Registry.Epoch}
	zones := map[string]bool{}
	ordered := f.ranked(d.Name+"/registry", f.all)
	for pass := range 2 {
		for _, i := range ordered {
			repeated := pass == 0 && zones[i.AvailabilityZone]
			if len(set.Holders) < registryHolders && !repeated && !slices.Contains(set.Holders, i.ID) {
				set.Holders = append(set.Holders, i.ID)
				zones[i.AvailabilityZone] = true
			}
		}
	}

	return set, !same(d.Registry.Holders, set.Holders, f.usable)
}

// same reports whether the holders in force are the wanted ones in their current lives.
func same(old []lab.Instance, wanted []lab.InstanceID, usable map[lab.InstanceID]lab.Instance) bool {
	if len(old) != len(wanted) {
		return false
	}
	for _, o := range old {
		if !slices.Contains(wanted, o.ID) || usable[o.ID] != o {
			return false
		}
	}

	return true
}
