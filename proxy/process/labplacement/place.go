package labplacement

import (
	"cmp"
	"hash/fnv"
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
		all := Ranked(member.Member, proxies)
		slices.SortStableFunc(all, func(a, b lab.Instance) int { return regionDistance(member, a) - regionDistance(member, b) })

		p.DirectProxies = all[:free]
	}

	p.MaxPerProxy = max(1, free/max(1, len(p.DirectProxies)))
	p.RetainedPerProxy = max(1, p.MaxPerProxy/retainedDivisor)

	return p
}

// Gateways returns the direct proxies of a member in the order in which the proxy self prefers them as gateways.
// Proxies in the member's region come first. Within a region the order depends only on self. It differs between
// proxies, which spreads the load, and it is the same for all members, so that a proxy uses the same few gateways for
// most members.
func Gateways(self lab.InstanceID, member lab.Announcement, directProxies []lab.Instance) []lab.Instance {
	out := slices.DeleteFunc(Ranked(string(self), directProxies), func(i lab.Instance) bool { return i.ID == self })
	slices.SortStableFunc(out, func(a, b lab.Instance) int { return regionDistance(member, a) - regionDistance(member, b) })

	return out
}

func regionDistance(member lab.Announcement, i lab.Instance) int {
	if i.Region == member.Region {
		return 0
	}

	return 1
}

// Ranked returns the instances in an order that depends on the key. It uses rendezvous hashing: when an instance is
// added or removed, the order of the others stays.
func Ranked(key string, instances []lab.Instance) []lab.Instance {
	weights := make(map[lab.InstanceID]uint64, len(instances))
	for _, i := range instances {
		weights[i.ID] = weight(key, i.ID)
	}

	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b lab.Instance) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})

	return out
}

func weight(key string, id lab.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + string(id))) // Write of a hash never returns an error

	// The FNV hashes of short, similar keys have almost the same high bits, so the bits of the hash are mixed further.
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33

	return v
}
