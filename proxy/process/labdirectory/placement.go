package labdirectory

import (
	"laburnumlock.dev/lab/proxy/process/labplacement"
)

// updatePlacementLocked applies changes of the configuration, the members or the list of proxies: it determines the
// primaries that this proxy observes and the placement of the members that are needed. That of any other member is
// computed when it is first used.
func (d *Directory) updatePlacementLocked() {
	if d.configuration == nil {
		return
	}

	if ahead := max(d.members, len(d.settings)) <= aheadMembers; ahead != d.ahead {
		d.ahead = ahead
		d.generation++
	}

	if d.view == nil && len(d.proxies) > 0 {
		d.view = labplacement.NewView(d.Self, d.proxies, len(d.settings))
	}

	if d.ahead || d.observed != d.generation {
		d.observed = d.generation

		for n, s := range d.services {
			if d.ahead {
				d.needLocked(n, s)
			} else {
				d.observeLocked(n, s)
			}
		}
	}

	now := d.Clock.Now()

	for _, s := range d.needed {
		for id, m := range s.members {
			// A member that has been placed may have connections.
			if m.generation > 0 || d.neededLocked(s, id, m, now) {
				d.placeLocked(m)
			}
		}
	}
}

// observeLocked adds a service to the needed ones if this proxy may observe its primary.
func (d *Directory) observeLocked(name string, s *service) {
	if m, ok := s.members[s.primary]; ok && d.view != nil && d.view.Observes(m.announcement) {
		d.needLocked(name, s)
		d.placeLocked(m)
	}
}

// placeLocked computes the number of direct connections to a member, the gateways for it and whether this proxy observes
// it, unless they are current. Pools read these numbers without the directory's lock. Otherwise a pool and the directory
// could deadlock, since the directory holds its lock while it closes pools.
func (d *Directory) placeLocked(m *member) {
	v, ok := d.settings[m.announcement.Database]
	if !ok || m.generation == d.generation {
		return
	}

	m.generation, m.placedByKey = d.generation, d.configuration.KeysRequired

	// Values until the list of proxies is known.
	maxConnections, retained := 0, 1
	if d.listExpected < 0 || d.Peers == nil {
		maxConnections = 1
	}

	m.observer = d.ahead

	if d.view != nil {
		place := labplacement.Place
		if m.placedByKey {
			place = labplacement.PlaceGateways
		}

		p := place(m.announcement, v.MaxConnections, d.proxies)
		m.gateways = d.view.Gateways(m.announcement, p)
		maxConnections, retained = p.MaxPerProxy, p.RetainedPerProxy

		// If no direct proxy is missing among the gateways, this proxy is not a direct proxy. It may then connect only if
		// all proxies in the control group's list are direct proxies: this proxy is not yet, or no longer, in the list, and
		// the member has connections left.
		direct := len(m.gateways) < p.Direct()
		m.observer = direct && d.view.Observes(m.announcement)

		if !direct && p.Direct() < len(d.proxies) {
			maxConnections = 0
		}
	}

	m.retainedConnections.Store(int64(retained))

	if previous := m.maxConnections.Swap(int64(maxConnections)); previous != int64(maxConnections) {
		d.Log.Info().Str("member", m.announcement.Member).Int("share", maxConnections).Int("gateways", len(m.gateways)).
			Int("proxies", len(d.proxies)).Bool("observer", m.observer).Msg("connections_placed")
	}
}
