package labplacement

import (
	"cmp"
	"hash/fnv"
	"slices"

	"laburnumlock.dev/lab"
)

const (
	// reservedConnections connections of each member stay free for control's probes and for changes of the proxies' number.
	reservedConnections = 2
	// connectionSets of connections fit a member at the same time where it accepts enough. It counts those of proxies
	// without power for seconds, and the proxies need new ones as soon as they are back.
	connectionSets = 2
)

// Placement is how the connections that one member accepts are shared out.
type Placement struct {
	Holders           []lab.Instance // proxies with connections of their own; the others pass statements on to these
	MaxPerHolder      int            // connections that each holder may have while it needs them
	RetainedPerHolder int            // connections that each holder keeps when it does not
}

// Place shares out a member's connections. Proxies of the member's region come first, since a statement that crosses
// the regions has to do so once, whichever proxy sends it. Many proxies hold few connections each: a holder that is lost
// then takes little with it, and no link carries more than its part. Where each has more than one, what they keep leaves
// room for as many again. Where connections are scarce all are held: with fewer holders more statements pass over other
// proxies' links, which costs more under overload than the room saves after a loss of power.
func Place(member lab.Announcement, connections int, proxies []lab.Instance) Placement {
	free := max(1, connections-reservedConnections)
	p := Placement{Holders: proxies}

	if len(proxies) > free {
		all := Ranked(member.Member, proxies)
		slices.SortStableFunc(all, func(a, b lab.Instance) int { return regionDistance(member, a) - regionDistance(member, b) })

		p.Holders = all[:free]
	}

	p.MaxPerHolder = max(1, free/max(1, len(p.Holders)))
	p.RetainedPerHolder = max(1, p.MaxPerHolder/connectionSets)

	return p
}

// Gateways orders the holders for a proxy that has to pass statements on: those in the member's region first, each
// proxy with an order of its own, which spreads the proxies and gives each the same few gateways for most members.
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

// Ranked orders instances by rendezvous hashing, so that one that comes or goes moves only its own part.
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

	// FNV leaves the high bits of similar short keys alike.
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33

	return v
}
