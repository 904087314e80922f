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
	// retainedDivisor is how many times the retained connections of all holders fit the limit of a member, where the
	// limit is high enough. After a power loss of proxies, a member still counts their lost connections for seconds,
	// while the restarted proxies need new ones at once.
	retainedDivisor = 2
)

// Placement is the distribution of the connections that one member accepts over the proxies.
type Placement struct {
	DirectProxies    []lab.Instance // proxies with connections of their own; the others relay statements through them
	MaxPerProxy      int            // connections that each holder may have under load
	RetainedPerProxy int            // connections that each holder keeps open without load
}

// Place distributes a member's connections over the proxies. Proxies in the member's region come first: a statement from
// another region crosses the link between the regions once in any case. Many proxies hold few connections each, so that
// the loss of a holder loses few connections and the load spreads over the links of all holders.
//
// Where each holder may have several connections, the retained ones use at most half of the limit, which leaves room
// for new connections after a power loss. Where connections are scarce, Place leaves no such room: with fewer holders,
// more statements would cross the links of other proxies, which costs more under overload than the room saves after a
// power loss.
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

// Gateways returns the holders in the order in which the proxy self prefers them as gateways. Holders in the member's
// region come first. Within a region the order depends on self only: it differs between proxies, which spreads the load,
// and it is the same for all members, so that a proxy uses the same few gateways for most members.
func Gateways(self lab.InstanceID, member lab.Announcement, holders []lab.Instance) []lab.Instance {
	out := slices.DeleteFunc(Ranked(string(self), holders), func(i lab.Instance) bool { return i.ID == self })
	slices.SortStableFunc(out, func(a, b lab.Instance) int { return regionDistance(member, a) - regionDistance(member, b) })

	return out
}

func regionDistance(member lab.Announcement, i lab.Instance) int {
	if i.Region == member.Region {
		return 0
	}

	return 1
}

// Ranked orders instances by rendezvous hashing: when an instance is added or removed, the order of the others stays.
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
	_, _ = h.Write([]byte(key + "\x00" + string(id))) // never fails

	// FNV gives similar short keys almost equal high bits, so the hash is mixed further.
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33

	return v
}
