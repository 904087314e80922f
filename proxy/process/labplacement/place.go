package labplacement

import (
	"cmp"
	"slices"

	"laburnumlock.dev/lab"
)

const (
	// reservedConnections is the number of connections of each member that stay free for the probes of the control group
	// and for changes in the number of proxies.
	reservedConnections = 2
	// retainedDivisor sets how many connections a proxy retains: its maximum divided by retainedDivisor. With 2, the
	// retained connections of all proxies use at most half of the connections that a member accepts, unless each proxy
	// may have only one. After a power loss of proxies, a member still counts their lost connections for seconds, while
	// the restarted proxies need new ones at once.
	retainedDivisor = 2
	// observersPerZone is the number of proxies in each availability zone that check a member continuously. With two,
	// the restart of one leaves another.
	observersPerZone = 2
	// minPerGateway is the number of connections below which a gateway would open a new one for almost each statement.
	minPerGateway = 4
)

// GatewaysPerZone is the number of gateways of a member in each availability zone where connections belong to
// organisations: a single one would stop the zone's clients when it is lost.
const GatewaysPerZone = 2

// Placement is the distribution of the connections that one member accepts over the proxies.
type Placement struct {
	DirectProxies    []lab.Instance // proxies with direct connections; the other proxies relay statements through them
	MaxPerProxy      int            // number of connections that each direct proxy may have under load
	RetainedPerProxy int            // number of connections that each direct proxy keeps open without load
}

// Place distributes the connections that a member accepts over the proxies. Proxies in the member's region come first:
// a statement from another region crosses the link between the regions once, whether it is relayed or not. Place gives
// few connections to many proxies instead of many to a few. The crash of a proxy then breaks few connections, and the
// load is spread over the links of many proxies.
//
// If each direct proxy may have several connections, the retained ones use at most half of those that the member
// accepts, which leaves room for new connections after a power loss. If each may have only one, Place leaves no such
// room. Leaving room would mean fewer proxies with connections, and more statements that cross the links of other
// proxies. Under overload this would cost more than the room saves after a power loss.
func Place(member lab.Announcement, connections int, proxies []lab.Instance) Placement {
	free := max(1, connections-reservedConnections)
	p := Placement{DirectProxies: proxies}

	if len(proxies) > free {
		p.DirectProxies = ranked(member.Member, member.Region, proxies)[:free]
	}

	p.MaxPerProxy = max(1, free/max(1, len(p.DirectProxies)))
	p.RetainedPerProxy = max(1, p.MaxPerProxy/retainedDivisor)

	return p
}

// PlaceGateways distributes the connections that a member accepts over a few proxies of each availability zone, for a
// deployment in which connections belong to organisations. The statements of a zone meet there, so that few connections
// suffice for the organisations, a relayed statement stays in its zone, and the loss of a gateway concerns one zone. The
// gateways differ between members, which spreads the load.
//
// With few gateways for all zones, hundreds of proxies would connect to each of them after a power loss, which fills a
// link of 2 Mbit/s for seconds.
func PlaceGateways(member lab.Announcement, connections int, proxies []lab.Instance) Placement {
	free := max(1, connections-reservedConnections)
	order := ranked(member.Member, member.Region, proxies)

	var p Placement

	// The first gateway of each zone comes before the second ones, those of the member's region first.
	for round := 1; round <= GatewaysPerZone; round++ {
		seen := map[string]int{}

		for _, i := range order {
			seen[i.AvailabilityZone]++

			if seen[i.AvailabilityZone] == round && (len(p.DirectProxies)+1)*minPerGateway <= max(free, minPerGateway) {
				p.DirectProxies = append(p.DirectProxies, i)
			}
		}
	}

	p.MaxPerProxy = max(1, free/max(1, len(p.DirectProxies)))
	p.RetainedPerProxy = p.MaxPerProxy

	return p
}

// GatewaysOf returns the gateways of a member in the order in which a proxy in the zone and region prefers them for the
// statements of an organisation. The proxies of a zone use the same order, so that the statements meet the open
// connections of their organisation.
func GatewaysOf(organisation string, member lab.Announcement, zone, region string, gateways []lab.Instance) []lab.Instance {
	out := ranked(organisation+"\x00"+member.Member, region, gateways)
	slices.SortStableFunc(out, func(a, b lab.Instance) int {
		return cmp.Compare(outside(a, zone), outside(b, zone))
	})

	return out
}

// outside returns 1 for an instance outside an availability zone, else 0.
func outside(i lab.Instance, zone string) int {
	if i.AvailabilityZone == zone {
		return 0
	}

	return 1
}

// Gateways returns the direct proxies of a member in the order in which the proxy self prefers them as gateways.
// Proxies in the member's region come first. Within a region the order depends only on self. It differs between
// proxies, which spreads the load, and it is the same for all members, so that a proxy uses the same few gateways for
// most members.
func Gateways(self lab.InstanceID, member lab.Announcement, directProxies []lab.Instance) []lab.Instance {
	out := ranked(string(self), member.Region, directProxies)

	return slices.DeleteFunc(out, func(i lab.Instance) bool { return i.ID == self })
}

// ranked returns the instances in an order that depends on the key, those of the region first. It uses rendezvous
// hashing: when an instance is added or removed, the order of the others stays.
func ranked(key, region string, instances []lab.Instance) []lab.Instance {
	type rank struct {
		weight  uint64
		index   int
		distant bool // whether the instance is in another region
	}

	k := keyHash(key)
	all := make([]rank, len(instances))

	for i := range instances {
		all[i] = rank{weight(k, instances[i].ID), i, instances[i].Region != region}
	}

	slices.SortFunc(all, func(a, b rank) int {
		switch {
		case a.distant != b.distant && a.distant:
			return 1
		case a.distant != b.distant:
			return -1
		case a.weight != b.weight:
			return cmp.Compare(b.weight, a.weight)
		default:
			return cmp.Compare(instances[a.index].ID, instances[b.index].ID)
		}
	})

	out := make([]lab.Instance, len(all))
	for i := range all {
		out[i] = instances[all[i].index]
	}

	return out
}

// Observes reports whether a direct proxy is one of those that check a member continuously: the observersPerZone proxies
// of its availability zone with the highest rank for the member. The number of checks of a member then doesn't grow
// with the number of proxies, and the observers still see the member from every zone.
func Observes(self lab.InstanceID, member lab.Announcement, directProxies []lab.Instance) bool {
	i := slices.IndexFunc(directProxies, func(p lab.Instance) bool { return p.ID == self })
	if i < 0 {
		return false
	}

	k := keyHash(member.Member)
	zone, own, higher := directProxies[i].AvailabilityZone, weight(k, self), 0

	for j := range directProxies {
		p := &directProxies[j]
		if p.AvailabilityZone != zone || p.ID == self {
			continue
		}

		if w := weight(k, p.ID); w > own || (w == own && p.ID < self) {
			higher++
		}
	}

	return higher < observersPerZone
}

// FNV-1a constants for 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hash continues an FNV-1a hash with a string. Every proxy hashes all proxies for every member after a change of the
// list, so it allocates nothing.
func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}

	return h
}

// keyHash returns the hash of a key, to be continued with the id of an instance.
func keyHash(key string) uint64 {
	return hash(hash(fnvOffset, key), "\x00")
}

func weight(key uint64, id lab.InstanceID) uint64 {
	// The FNV hashes of short, similar keys have almost the same high bits, so the bits of the hash are mixed further.
	v := hash(key, string(id))
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33

	return v
}
