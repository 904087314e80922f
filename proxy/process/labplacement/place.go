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
	// maxGateways and minGateways bound the gateways of a member whose connections belong to organisations: each further
	// one means more connections between proxies, while a single one would stop the member's clients when it is lost.
	maxGateways = 4
	minGateways = 2
	// minPerGateway is the number of connections that a gateway needs for the organisations that have much to do, so that
	// it doesn't open a connection for each statement.
	minPerGateway = 16
	// retainedNumerator/retainedDenominator of a gateway's connections stay open without load.
	retainedNumerator   = 2
	retainedDenominator = 3
)

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

// PlaceGateways distributes the connections that a member accepts over few proxies, for a deployment in which connections
// belong to organisations. The statements of all proxies meet there, so that few connections suffice for each
// organisation, and the members of a zone have the same gateways, so that a proxy needs connections to few others.
//
// All but one of the gateways are in the member's availability zone; the last one, in another zone of the region, serves
// while those of the zone are lost. Each retains a part of its connections, which leaves room for new ones after a
// power loss: a member counts lost connections for seconds.
func PlaceGateways(member lab.Announcement, connections int, proxies []lab.Instance) Placement {
	free := max(1, connections-reservedConnections)
	count := min(max(minGateways, min(maxGateways, free/minPerGateway)), free, len(proxies))

	var inZone, elsewhere []lab.Instance

	// The key is the zone, not the member: see above.
	for _, i := range ranked(member.AvailabilityZone, member.Region, proxies) {
		if i.AvailabilityZone == member.AvailabilityZone {
			inZone = append(inZone, i)
		} else {
			elsewhere = append(elsewhere, i)
		}
	}

	local := min(len(inZone), max(count-1, count-len(elsewhere)))
	p := Placement{DirectProxies: slices.Concat(inZone[:local], elsewhere[:min(len(elsewhere), count-local)])}
	p.MaxPerProxy = max(1, free/max(1, len(p.DirectProxies)))
	p.RetainedPerProxy = max(1, p.MaxPerProxy*retainedNumerator/retainedDenominator)

	return p
}

// GatewaysOf returns the gateways of a member in the order in which the statements of an organisation prefer them. All
// proxies use the same order, so that the statements meet the open connections of their organisation.
func GatewaysOf(organisation string, member lab.Announcement, gateways []lab.Instance) []lab.Instance {
	out := ranked(organisation+"\x00"+member.Member, member.Region, gateways)
	slices.SortStableFunc(out, func(a, b lab.Instance) int {
		return cmp.Compare(outside(a, member), outside(b, member))
	})

	return out
}

// outside returns 1 for an instance outside the member's availability zone, else 0.
func outside(i lab.Instance, member lab.Announcement) int {
	if i.AvailabilityZone == member.AvailabilityZone {
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
