package labplacement

import (
	"cmp"
	"hash/fnv"
	"slices"

	"laburnumlock.dev/lab"
)

const (
	// reserved connections of each member stay free for control's probes and for changes of the proxies' number.
	reserved = 2
	// wanted connections of a gateway to a member let some transactions rest while other statements run.
	wanted = 3
)

// Placement is the part of one service.
type Placement struct {
	Gateways []lab.InstanceID // empty when every proxy connects by itself
	Share    int              // connections of one proxy to each member
}

// Place spreads the connections that each member of a service accepts. With enough of them every proxy has its own,
// which saves the way over a gateway and the dependence on one.
func Place(service string, connections int, proxies []lab.Instance) Placement {
	free := max(1, connections-reserved)
	if len(proxies) <= free {
		return Placement{Share: max(1, free/max(1, len(proxies)))}
	}

	zones := byZone(proxies)
	width := max(1, free/wanted/len(zones))

	var p Placement

	for _, z := range zones {
		for _, i := range Ranked(service, z)[:min(width, len(z))] {
			p.Gateways = append(p.Gateways, i.ID)
		}
	}

	p.Share = max(1, free/len(p.Gateways))

	return p
}

func byZone(proxies []lab.Instance) [][]lab.Instance {
	zones := map[string][]lab.Instance{}
	for _, p := range proxies {
		zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], p)
	}

	out := make([][]lab.Instance, 0, len(zones))
	for _, z := range zones {
		out = append(out, z)
	}

	slices.SortFunc(out, func(a, b []lab.Instance) int {
		return cmp.Compare(a[0].AvailabilityZone, b[0].AvailabilityZone)
	})

	return out
}

// Ranked orders instances by rendezvous hashing, so that one that comes or goes moves only its own part.
func Ranked(key string, instances []lab.Instance) []lab.Instance {
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b lab.Instance) int {
		return cmp.Or(cmp.Compare(weight(key, b.ID), weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
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
