package labdirectory

import "time"

const (
	// aheadMembers is the number of members up to which a proxy connects to all of them ahead of the first statement. It
	// can hold that many connections in a few MB, and the first statement after a start or a promotion needn't wait.
	// Beyond it, only the members of services in use are needed: with a connection to each of 900 members, 99 proxies
	// opened 6,000 connections a second and served 0.79 of the statements.
	aheadMembers = 64
	// useDuration is how long after its last statement a service counts as used. A connection costs the member 12 ms of a
	// slot to open and the proxy about 30 KB to keep.
	useDuration = 30 * time.Second
	// warmInterval is the interval at which connections to the gateways of a member are started beyond aheadMembers. The
	// search for connected gateways takes 10 us, which hundreds of members can't have at each maintenance.
	warmInterval = time.Second
)

// useLocked records a statement or startup of a client of this proxy.
func (d *Directory) useLocked(name string, s *service) {
	s.lastStatement = d.Clock.Now()
	d.needLocked(name, s)
}

// needLocked adds a service to those that maintenance visits.
func (d *Directory) needLocked(name string, s *service) {
	if _, ok := d.needed[name]; !ok {
		d.needed[name] = s
		delete(d.acknowledged, name)
	}
}

// neededLocked reports whether connections to a member are opened ahead and kept: clients of this proxy use the service,
// other proxies relay statements for the member through this one, or this proxy observes the member.
func (d *Directory) neededLocked(s *service, id string, m *member, now time.Duration) bool {
	return d.ahead || recent(s.lastStatement, now) || recent(m.lastRelayed, now) || (id == s.primary && d.observerLocked(m))
}

func recent(at, now time.Duration) bool {
	return at > 0 && now-at < useDuration
}

func (d *Directory) observerLocked(m *member) bool {
	d.placeLocked(m)

	return m.observer
}

// CloseUnused closes the idle connections to members that are no longer needed. The proxy then knows nothing of whether
// it can reach them.
func (d *Directory) CloseUnused() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.ahead {
		return
	}

	now := d.Clock.Now()

	for n, s := range d.needed {
		needed := false

		for id, m := range s.members {
			switch {
			case d.neededLocked(s, id, m, now):
				needed = true
			case m.pool.CloseIdle():
				m.unreachableSince, m.lastResponse, m.timeouts = 0, 0, 0
				s.acknowledged = s.acknowledged.Latest(m.pool.Acknowledged())
			default:
				needed = true // until the connections in use are released
			}
		}

		s.joinClosedPools()

		if needed || len(s.closedPools) > 0 {
			continue
		}

		delete(d.needed, n)

		if !s.acknowledged.IsZero() {
			d.acknowledged[n] = s
		}
	}
}
