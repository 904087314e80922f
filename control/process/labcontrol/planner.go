package labcontrol

import (
	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const (
	// registryReplicas is the number of proxies that store a database's idempotency registry.
	registryReplicas = 3
	// maxRebalanceMoves is the maximum number of gateway roles that one plan moves only to even out the load. Each move
	// interrupts a database.
	maxRebalanceMoves = 1
)

// planner chooses proxies for gateway roles and registry replicas. It uses only live proxies that are not draining.
type planner struct {
	eligible  map[lab.InstanceID]lab.Instance
	byRegion  map[string][]lab.Instance
	all       []lab.Instance
	zones     map[string]bool        // availability zones of the eligible proxies
	roles     map[lab.InstanceID]int // number of gateway roles of each proxy
	maxRoles  map[string]int         // limit of gateway roles per proxy, by region
	movesLeft int                    // moves that this plan may still make only to even out the load
}

func newPlanner(c *labcatalog.Catalog) *planner {
	pl := &planner{
		eligible: map[lab.InstanceID]lab.Instance{}, byRegion: map[string][]lab.Instance{}, zones: map[string]bool{},
		roles: map[lab.InstanceID]int{}, maxRoles: map[string]int{}, movesLeft: maxRebalanceMoves,
	}
	for _, p := range c.Proxies() {
		if p.Draining {
			continue
		}
		i := p.Instance
		pl.eligible[i.ID] = i
		pl.byRegion[i.Region] = append(pl.byRegion[i.Region], i)
		pl.all = append(pl.all, i)
		pl.zones[i.AvailabilityZone] = true
		pl.roles[i.ID] = len(c.GatewayRoles(i.ID))
	}
	pl.setMaxRoles(c)

	return pl
}

// setMaxRoles sets the limit of each region to 1.25 times the mean number of gateway roles per proxy, plus one. The
// number of roles times 1.25 is rounded down, then divided by the number of proxies and rounded up.
func (pl *planner) setMaxRoles(c *labcatalog.Catalog) {
	roles := map[string]int{}
	for _, n := range c.Databases() {
		d, _ := c.Database(n)
		for _, r := range databaseRegions(d) {
			roles[r]++
		}
	}
	for r, list := range pl.byRegion {
		pl.maxRoles[r] = (roles[r]*5/4+len(list)-1)/len(list) + 1
	}
}

// placeRole returns the placement of a gateway role and whether it has to change. The role stays at its proxy while
// that proxy is eligible and not overloaded, since every move interrupts the database's work until the new gateway gets
// its grant.
func (pl *planner) placeRole(d *lab.Database, region string) (labcatalog.PlacementChange, bool) {
	current, _ := d.Placement(region)
	change := labcatalog.PlacementChange{
		GatewayRole: lab.GatewayRole{Database: d.Name, Region: region}, BaseEpoch: current.Epoch,
	}
	gateway, ok := pl.eligible[current.Instance]
	stays := ok && gateway.Region == region
	overloaded := stays && pl.roles[gateway.ID] > pl.maxRoles[region] && pl.movesLeft > 0
	if stays && !overloaded {
		change.Instance = gateway.ID

		return change, gateway.Address != current.Address
	}
	best, found := pl.best(d.Name+"/"+region, pl.byRegion[region], func(i lab.Instance) bool {
		return pl.roles[i.ID] < pl.maxRoles[region]
	})
	if !found && stays {
		return change, false
	}
	if overloaded {
		pl.movesLeft--
	}
	pl.roles[current.Instance]--
	if found {
		pl.roles[best.ID]++
		change.Instance = best.ID
	}

	return change, change.Instance != current.Instance
}

// best returns the acceptable instance with the highest score for a key.
func (pl *planner) best(key string, list []lab.Instance, accept func(lab.Instance) bool) (lab.Instance, bool) {
	var best lab.Instance
	var bestScore uint64
	found := false
	for _, i := range list {
		if !accept(i) {
			continue
		}
		if s := score(key, i.ID); !found || s > bestScore {
			best, bestScore, found = i, s, true
		}
	}

	return best, found
}

// score returns the score of an instance for a key in rendezvous hashing.
func score(key string, id lab.InstanceID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}

// placeRegistry returns the registry replicas of a database and whether they have to change. Replicas are eligible
// proxies, in different availability zones if there are enough zones. An eligible replica is replaced only to
// spread the replicas over more zones, since it stores the idempotency keys recorded so far.
func (pl *planner) placeRegistry(d *lab.Database) (labcatalog.RegistryChange, bool) {
	change := labcatalog.RegistryChange{Database: d.Name, BaseEpoch: d.Registry.Epoch}
	zones := map[string]bool{}
	chosen := map[lab.InstanceID]bool{}
	add := func(i lab.Instance) {
		change.Replicas = append(change.Replicas, i.ID)
		zones[i.AvailabilityZone], chosen[i.ID] = true, true
	}
	wantedZones := min(registryReplicas, len(pl.zones))
	changed := false
	for _, o := range d.Registry.Replicas {
		i, ok := pl.eligible[o.ID]
		if !ok || (zones[i.AvailabilityZone] && len(zones) < wantedZones) {
			changed = true

			continue
		}
		changed = changed || i != o
		add(i)
	}
	for len(change.Replicas) < registryReplicas {
		i, found := pl.best(d.Name+"/registry", pl.all, func(i lab.Instance) bool {
			return !chosen[i.ID] && (len(zones) >= wantedZones || !zones[i.AvailabilityZone])
		})
		if !found {
			break
		}
		changed = true
		add(i)
	}

	return change, changed
}
