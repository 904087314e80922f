package labcontrol

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const (
	// registryHolders is the number of instances that hold a database's at-most-once registry.
	registryHolders = 3
	// rebalanceMoves bounds the duties moved per plan only to even out the load; each move interrupts a database.
	rebalanceMoves = 1
)

// spread chooses instances among the live, non-draining proxies.
type spread struct {
	usable  map[lab.InstanceID]lab.Instance
	regions map[string][]lab.Instance
	all     []lab.Instance
	zones   map[string]bool
	count   map[lab.InstanceID]int // duties placed on each
	limit   map[string]int         // duties per instance by region
	moves   int
}

func newSpread(c *labcatalog.Catalog) *spread {
	f := &spread{
		usable: map[lab.InstanceID]lab.Instance{}, regions: map[string][]lab.Instance{}, zones: map[string]bool{},
		count: map[lab.InstanceID]int{}, limit: map[string]int{}, moves: rebalanceMoves,
	}
	for _, p := range c.Proxies() {
		if p.Draining {
			continue
		}
		i := p.Instance
		f.usable[i.ID] = i
		f.regions[i.Region] = append(f.regions[i.Region], i)
		f.all = append(f.all, i)
		f.zones[i.AvailabilityZone] = true
		f.count[i.ID] = len(c.GatewayRoles(i.ID))
	}
	f.limits(c)

	return f
}

// limits allows each instance a quarter more than the mean number of duties of its region, and one.
func (f *spread) limits(c *labcatalog.Catalog) {
	duties := map[string]int{}
	for _, n := range c.Databases() {
		d, _ := c.Database(n)
		for _, r := range regions(d) {
			duties[r]++
		}
	}
	for r, list := range f.regions {
		f.limit[r] = (duties[r]*5/4+len(list)-1)/len(list) + 1
	}
}

// place returns the change that a duty needs, if any. A duty stays where it is while its holder is usable and not
// overloaded, since every move interrupts the database's work for a lease hand-over.
func (f *spread) place(d *lab.Database, region string) (labcatalog.PlacementChange, bool) {
	old, _ := d.Placement(region)
	set := labcatalog.PlacementChange{GatewayRole: lab.GatewayRole{Database: d.Name, Region: region}, BaseEpoch: old.Epoch}
	held, ok := f.usable[old.Instance]
	stays := ok && held.Region == region
	overloaded := stays && f.count[held.ID] > f.limit[region] && f.moves > 0
	if stays && !overloaded {
		set.Instance = held.ID

		return set, held.Address != old.Address
	}
	best, found := f.best(d.Name+"/"+region, f.regions[region], func(i lab.Instance) bool {
		return f.count[i.ID] < f.limit[region]
	})
	if !found && stays {
		return set, false
	}
	if overloaded {
		f.moves--
	}
	f.count[old.Instance]--
	if found {
		f.count[best.ID]++
		set.Instance = best.ID
	}

	return set, set.Instance != old.Instance
}

// best returns the acceptable instance that ranks first by rendezvous hashing.
func (f *spread) best(key string, list []lab.Instance, accept func(lab.Instance) bool) (lab.Instance, bool) {
	var best lab.Instance
	var top uint64
	found := false
	for _, i := range list {
		if !accept(i) {
			continue
		}
		if s := score(key, i.ID); !found || s > top {
			best, top, found = i, s, true
		}
	}

	return best, found
}

// score orders instances for a key by rendezvous hashing.
func score(key string, id lab.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}

// registry returns the change of registry holders that a database needs: usable instances, from different availability
// zones where there are enough. Holders stay while they can, since they know the names used before.
func (f *spread) registry(d *lab.Database) (labcatalog.RegistryChange, bool) {
	set := labcatalog.RegistryChange{Database: d.Name, BaseEpoch: d.Registry.Epoch}
	zones := map[string]bool{}
	chosen := map[lab.InstanceID]bool{}
	add := func(i lab.Instance) {
		set.Holders = append(set.Holders, i.ID)
		zones[i.AvailabilityZone], chosen[i.ID] = true, true
	}
	wanted := min(registryHolders, len(f.zones))
	changed := false
	for _, o := range d.Registry.Replicas {
		i, ok := f.usable[o.ID]
		if !ok || (zones[i.AvailabilityZone] && len(zones) < wanted) {
			changed = true

			continue
		}
		changed = changed || i != o
		add(i)
	}
	for len(set.Holders) < registryHolders {
		i, found := f.best(d.Name+"/registry", f.all, func(i lab.Instance) bool {
			return !chosen[i.ID] && (len(zones) >= wanted || !zones[i.AvailabilityZone])
		})
		if !found {
			break
		}
		changed = true
		add(i)
	}

	return set, changed
}
