package labplacement

import (
	"slices"

	"laburnumlock.dev/lab"
)

const (
	// observersPerZone is the largest number of proxies in each availability zone that check a member continuously. With
	// two, the restart of one leaves another.
	observersPerZone = 2
	// minObservers is the smallest number of proxies that check a member continuously.
	minObservers = 2
	// meanObserved bounds the primaries that a proxy observes on average. It requests the position of each three times a
	// second, which takes about 0.1 ms of processor time: 5 ms a second, 4 % of the share of the smallest proxies.
	meanObserved = 16
)

// View is a list of proxies as one of them sees it, with what the placements of all members have in common. It is not
// safe for concurrent use.
type View struct {
	self    lab.InstanceID
	proxies []lab.Instance
	order   []int  // indexes of the other proxies in the order in which self prefers them as gateways
	direct  []bool // by index, whether a proxy is a direct one of the member; used and cleared by Gateways

	own     *lab.Instance    // entry of self in the list, nil if there is none
	zone    []lab.InstanceID // other proxies in the zone of self
	zones   []lab.Instance   // one for each zone; the ID is the name of the zone
	perZone int              // number of observers in each zone that has observers
	inZones int              // number of zones with observers
}

// NewView returns the view of the proxy self before the members of a number of services.
func NewView(self lab.InstanceID, proxies []lab.Instance, services int) *View {
	v := &View{self: self, proxies: proxies, direct: make([]bool, len(proxies))}

	ranks := firstRanks(string(self), "", proxies, len(proxies))
	slices.SortFunc(ranks, func(a, b rank) int { return a.compareWeight(b, proxies) })

	for _, r := range ranks {
		if proxies[r.index].ID == self {
			v.own = &proxies[r.index]
		} else {
			v.order = append(v.order, r.index)
		}
	}

	v.addZones()

	allowed := meanObserved * len(proxies) / max(1, services)
	v.perZone = min(observersPerZone, max(1, allowed/max(1, len(v.zones))))
	v.inZones = min(len(v.zones), max(minObservers, allowed/v.perZone))

	return v
}

func (v *View) addZones() {
	known := map[string]bool{}

	for i := range v.proxies {
		p := &v.proxies[i]
		if v.own != nil && p.AvailabilityZone == v.own.AvailabilityZone && p.ID != v.self {
			v.zone = append(v.zone, p.ID)
		}

		if !known[p.AvailabilityZone] {
			known[p.AvailabilityZone] = true
			v.zones = append(v.zones, lab.Instance{ID: lab.InstanceID(p.AvailabilityZone), Region: p.Region})
		}
	}
}

// Gateways returns the direct proxies of a member in the order in which the proxy prefers them as gateways. Proxies in
// the member's region come first. Within a region the order depends only on the proxy. It differs between proxies, which
// spreads the load, and it is the same for all members, so that a proxy uses the same few gateways for most members.
func (v *View) Gateways(member lab.Announcement, p Placement) []lab.Instance {
	for _, i := range p.direct {
		v.direct[i] = true
	}

	out := make([]lab.Instance, 0, len(p.direct))

	for _, distant := range []bool{false, true} {
		for _, i := range v.order {
			if v.direct[i] && (v.proxies[i].Region != member.Region) == distant {
				out = append(out, v.proxies[i])
			}
		}
	}

	for _, i := range p.direct {
		v.direct[i] = false
	}

	return out
}

// Observes reports whether the proxy checks a member continuously, provided that it has direct connections to it. In each
// availability zone, the proxies with the highest rank for the member do so. The number of checks of a member then doesn't
// grow with the number of proxies, and the observers still see the member from every zone. With many services for each
// proxy, a member has observers in some zones only.
//
// The proxies of a zone with direct connections are those with the highest ranks, so the rank among them is the one
// among all proxies of the zone. Observes stops at the first ones with a higher rank, since it is called for all primaries
// after each change of the list.
func (v *View) Observes(member lab.Announcement) bool {
	if v.own == nil {
		return false
	}

	k := keyHash(member.Member)
	own, higher := weight(k, v.self), 0

	for _, id := range v.zone {
		if w := weight(k, id); w > own || (w == own && id < v.self) {
			if higher++; higher == v.perZone {
				return false
			}
		}
	}

	return v.inZones == len(v.zones) || v.observedFromOwnZone(member)
}

// observedFromOwnZone reports whether the member has observers in the proxy's zone. The zones of the member's region come
// first: their proxies have direct connections.
func (v *View) observedFromOwnZone(member lab.Announcement) bool {
	return slices.ContainsFunc(firstRanks(member.Member, member.Region, v.zones, v.inZones), func(r rank) bool {
		return string(v.zones[r.index].ID) == v.own.AvailabilityZone
	})
}
