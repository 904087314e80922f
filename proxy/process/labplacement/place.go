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
	// minPerGateway is the number of connections below which a gateway would open a new one for almost each statement.
	minPerGateway = 4
)

// GatewaysPerZone is the number of gateways of a member in each availability zone where connections belong to
// organisations: a single one would stop the zone's clients when it is lost.
const GatewaysPerZone = 2

// Placement is the distribution of the connections that one member accepts over the proxies.
type Placement struct {
	MaxPerProxy      int // number of connections that each direct proxy may have under load
	RetainedPerProxy int // number of connections that each direct proxy keeps open without load

	proxies []lab.Instance // list of proxies
	direct  []int          // indexes of the proxies with direct connections
}

// DirectProxies returns the proxies with direct connections, in no order. The other proxies relay statements through them.
func (p Placement) DirectProxies() []lab.Instance {
	out := make([]lab.Instance, len(p.direct))
	for i, index := range p.direct {
		out[i] = p.proxies[index]
	}

	return out
}

// Direct returns the number of proxies with direct connections.
func (p Placement) Direct() int {
	return len(p.direct)
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

	first := firstRanks(member.Member, member.Region, proxies, free)
	p := Placement{proxies: proxies, direct: make([]int, len(first))}

	for i, r := range first {
		p.direct[i] = r.index
	}

	p.MaxPerProxy = max(1, free/max(1, len(p.direct)))
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
	order := firstOfZones(member, proxies)

	p := Placement{proxies: proxies}

	// The first gateway of each zone comes before the second ones, those of the member's region first.
	for round := 1; round <= GatewaysPerZone; round++ {
		seen := map[string]int{}

		for _, r := range order {
			zone := proxies[r.index].AvailabilityZone
			seen[zone]++

			if seen[zone] == round && (len(p.direct)+1)*minPerGateway <= max(free, minPerGateway) {
				p.direct = append(p.direct, r.index)
			}
		}
	}

	p.MaxPerProxy = max(1, free/max(1, len(p.direct)))
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

// firstOfZones returns the GatewaysPerZone first proxies of each availability zone in the order for a member. Every member
// that is used is placed after each change of the list, so not all of hundreds of proxies are sorted.
func firstOfZones(member lab.Announcement, proxies []lab.Instance) []rank {
	byZone := map[string][]rank{}
	k := keyHash(member.Member)

	for i := range proxies {
		r := rank{weight(k, proxies[i].ID), i, proxies[i].Region != member.Region}
		first := byZone[proxies[i].AvailabilityZone]

		at := len(first)
		for at > 0 && r.compare(first[at-1], proxies) < 0 {
			at--
		}

		if at < GatewaysPerZone {
			first = slices.Insert(first, at, r)
			byZone[proxies[i].AvailabilityZone] = first[:min(len(first), GatewaysPerZone)]
		}
	}

	var out []rank
	for _, first := range byZone {
		out = append(out, first...)
	}

	slices.SortFunc(out, func(a, b rank) int { return a.compare(b, proxies) })

	return out
}

// rank is the position of an instance in an order.
type rank struct {
	weight  uint64
	index   int
	distant bool // whether the instance is in another region
}

// compare returns a negative number if r comes before o in the order of the instances.
func (r rank) compare(o rank, instances []lab.Instance) int {
	switch {
	case r.distant == o.distant:
		return r.compareWeight(o, instances)
	case r.distant:
		return 1
	default:
		return -1
	}
}

// compareWeight is compare without the regions.
func (r rank) compareWeight(o rank, instances []lab.Instance) int {
	if r.weight != o.weight {
		return cmp.Compare(o.weight, r.weight)
	}

	return cmp.Compare(instances[r.index].ID, instances[o.index].ID)
}

// ranked returns the instances in an order that depends on the key, those of the region first. It uses rendezvous
// hashing: when an instance is added or removed, the order of the others stays.
func ranked(key, region string, instances []lab.Instance) []lab.Instance {
	all := firstRanks(key, region, instances, len(instances))
	slices.SortFunc(all, func(a, b rank) int { return a.compare(b, instances) })

	out := make([]lab.Instance, len(all))
	for i := range all {
		out[i] = instances[all[i].index]
	}

	return out
}

// firstRanks returns the first n instances in the order of ranked, but not in this order. It sorts nothing.
func firstRanks(key, region string, instances []lab.Instance, n int) []rank {
	k := keyHash(key)
	all := make([]rank, len(instances))

	for i := range instances {
		all[i] = rank{weight(k, instances[i].ID), i, instances[i].Region != region}
	}

	n = min(n, len(all))
	moveFirst(all, n, instances)

	return all[:n]
}

// moveFirst moves the n first ranks to the front, in any order, by partitioning the part that holds the boundary.
func moveFirst(all []rank, n int, instances []lab.Instance) {
	for low, high := 0, len(all); n > low && n < high; {
		// The weights are hashes, so the middle element is as good a pivot as a random one.
		all[low], all[(low+high)/2] = all[(low+high)/2], all[low]
		pivot, at := all[low], low

		for i := low + 1; i < high; i++ {
			if all[i].compare(pivot, instances) < 0 {
				at++
				all[at], all[i] = all[i], all[at]
			}
		}

		all[low], all[at] = all[at], all[low]

		if n <= at {
			high = at
		} else {
			low = at + 1
		}
	}
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
