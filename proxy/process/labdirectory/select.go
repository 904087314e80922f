package labdirectory

import (
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
	"laburnumlock.dev/lab/proxy/process/labrelay"
	"laburnumlock.dev/lab/proxy/process/labselection"
)

// PrimarySource returns the pool of connections to a service's primary, direct or through gateways. It returns false
// while no primary is known, or while the primary is about to end and accepts no new requests.
func (d *Directory) PrimarySource(name string) (lab.ConnectionPool, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.primaryLocked(name)
	if !ok || d.aboutToEnd(m) {
		return nil, false
	}

	d.useLocked(name, d.services[name])

	return d.sourceLocked(m), true
}

// PrimaryAboutToEnd reports whether a service's primary accepts no new requests since it is about to end. Until another
// member is promoted, no request for the primary can be served.
func (d *Directory) PrimaryAboutToEnd(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.primaryLocked(name)

	return ok && d.aboutToEnd(m)
}

// aboutToEnd reports whether a member has been leaving for so long that a new request could reach it too late.
func (d *Directory) aboutToEnd(m *member) bool {
	return d.LeavingPeriod > 0 && m.announcement.Draining && d.Clock.Now()-m.leavingSince >= d.LeavingPeriod-leavingMargin
}

// LocalPrimaryPool returns the pool of direct connections to a service's primary.
func (d *Directory) LocalPrimaryPool(name string) (*labpool.Pool, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.primaryLocked(name)
	if !ok {
		return nil, false
	}

	d.placeLocked(m)

	return m.pool, true
}

func (d *Directory) primaryLocked(name string) (*member, bool) {
	s, ok := d.services[name]
	if !ok {
		return nil, false
	}

	m, ok := s.members[s.primary]

	return m, ok
}

// sourceLocked returns the direct connections to a member. It returns the connections through gateways instead if this
// proxy may have no direct ones, if it can't reach the member, or if the member refuses connections. Members refuse
// connections for seconds after a power loss of proxies, since they still count the lost connections.
func (d *Directory) sourceLocked(m *member) lab.ConnectionPool {
	d.placeLocked(m)

	if m.relay == nil || len(m.gateways) == 0 {
		return m.pool
	}

	if m.maxConnections.Load() == 0 || (m.unreachableSince > 0 && d.Clock.Now()-m.unreachableSince > relayAfter) {
		return m.relay
	}

	if _, _, up := m.pool.Load(); !up && m.unreachableSince == 0 {
		return m.relay
	}

	return m.pool
}

// LocalPool returns the direct connections to a member, for statements that other proxies relay through this one. It
// returns false when this proxy has no direct connections or can't reach the member, or when the member is about to end.
func (d *Directory) LocalPool(name, id string, incarnation uint64) (lab.ConnectionPool, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	s, ok := d.services[name]
	if !ok {
		return nil, false
	}

	m, ok := s.members[id]
	if !ok || m.announcement.Incarnation != incarnation {
		return nil, false
	}

	d.placeLocked(m)

	if m.unreachableSince > 0 || m.maxConnections.Load() == 0 || d.aboutToEnd(m) {
		return nil, false
	}

	m.lastRelayed = d.Clock.Now()
	d.needLocked(name, s)

	_, _, up := m.pool.Load()

	return m.pool, up
}

// RefreshPosition requests the position of a service's primary from a gateway, if this proxy has no direct connections
// to the primary. It reports whether it sent the request.
func (d *Directory) RefreshPosition(name string) bool {
	d.mutex.Lock()

	m, ok := d.primaryLocked(name)
	if ok {
		d.placeLocked(m)
	}

	relayed := ok && m.relay != nil && len(m.gateways) > 0 && m.maxConnections.Load() == 0
	d.mutex.Unlock()

	if relayed {
		m.relay.RefreshPosition()
	}

	return relayed
}

// ReadSource returns the connections to the member that should serve a read, and whether this member is the primary.
// The read requires a member that has reached minPosition. ReadSource skips the members in tried. It returns nil when
// every member was tried, lags, is draining or is down.
func (d *Directory) ReadSource(
	name string, minPosition lab.CommitPosition, tried map[string]bool,
) (source lab.ConnectionPool, primary bool) {
	d.mutex.Lock()
	options, pools, detector := d.readOptionsLocked(name, minPosition, tried)
	d.mutex.Unlock()

	if detector != nil {
		d.assess(name, detector, options)
	}

	// Load is called without the directory's lock, since pools call the directory while they hold their own lock.
	var (
		up    []labselection.Option
		index []int
	)

	for i := range options {
		var alive bool

		options[i].InProgress, options[i].HasConnection, alive = pools[i].Load()
		if alive {
			up, index = append(up, options[i]), append(index, i)
		}
	}

	random := d.Random.Uint64()

	c := labselection.Select(up, random)
	if c >= 0 && up[c].Trial && !detector.StartTrial(d.Clock.Now(), up[c].Member) {
		up[c].Trial = false // another statement has become the trial meanwhile
		c = labselection.Select(up, random)
	}

	if c < 0 {
		return nil, false
	}

	return pools[index[c]], up[c].Primary
}

// readOptionsLocked returns the members that may serve a read. It leaves out draining members, which only finish the
// statements that they already run. When it returns no member, the read runs at the primary, even if the primary is
// draining, unless it is about to end.
func (d *Directory) readOptionsLocked(
	name string, minPosition lab.CommitPosition, tried map[string]bool,
) ([]labselection.Option, []lab.ConnectionPool, *laboutlier.Detector) {
	s, ok := d.services[name]
	if !ok {
		return nil, nil, nil
	}

	d.useLocked(name, s)

	var (
		options []labselection.Option
		pools   []lab.ConnectionPool
	)

	now := d.Clock.Now()

	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if tried[id] || m.announcement.Draining || m.lagsBehind(minPosition, now) {
			continue
		}

		options = append(options, labselection.Option{
			Member: id, SameZone: m.announcement.AvailabilityZone == d.AvailabilityZone,
			SameRegion: m.announcement.Region == d.Region,
			Primary:    id == s.primary, Penalty: max(0, m.avoidUntil-now),
		})
		pools = append(pools, d.sourceLocked(m))
	}

	return options, pools, s.detector
}

// lagsBehind reports whether the member probably has not reached minPosition, since it has recently refused a read at
// an older position.
func (m *member) lagsBehind(minPosition lab.CommitPosition, now time.Duration) bool {
	return now-m.lagObserved < m.lagDuration && m.lagPosition.Before(minPosition)
}

// RecordLag records the position of a member that refused a read because it had not reached the required position.
func (d *Directory) RecordLag(a lab.Announcement, p lab.CommitPosition) {
	now := d.Clock.Now()

	d.withMember(a, func(m *member) {
		// Reads that are refused concurrently double the duration only once.
		if now-m.lagObserved >= m.lagDuration {
			m.lagDuration = min(max(minLagDuration, 2*m.lagDuration), maxLagDuration)
		}

		m.lagPosition, m.lagObserved = p, now
	})
}

// RecordCaughtUp records that a member had reached the position that a read required.
func (d *Directory) RecordCaughtUp(a lab.Announcement, p lab.CommitPosition) {
	d.withMember(a, func(m *member) {
		if m.lagPosition.Before(p) {
			m.lagDuration = 0
		}
	})
}

// Unreachable reports whether a member counts as unreachable.
func (d *Directory) Unreachable(a lab.Announcement) bool {
	unreachable := false

	d.withMember(a, func(m *member) { unreachable = m.unreachableSince > 0 })

	return unreachable
}

// TypicalLatency returns the typical time between sending operations to a member and receiving their response.
func (d *Directory) TypicalLatency(a lab.Announcement) time.Duration {
	var source lab.ConnectionPool

	d.withMember(a, func(m *member) { source = d.sourceLocked(m) })

	if source == nil {
		return 0
	}

	return source.TypicalLatency()
}

// PrimaryHistory returns the recorded positions of a service's primary.
func (d *Directory) PrimaryHistory(name string) *labpositionhistory.History {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	s, ok := d.services[name]
	if !ok {
		return &labpositionhistory.History{}
	}

	return &s.history
}

// Avoid makes other members preferred for avoidDuration, after a member refused a connection or a statement.
func (d *Directory) Avoid(a lab.Announcement) {
	d.withMember(a, func(m *member) { m.avoidUntil = d.Clock.Now() + avoidDuration })
}

// RecordResponse records that a member responded.
func (d *Directory) RecordResponse(a lab.Announcement) {
	d.withMember(a, func(m *member) { m.unreachableSince, m.lastResponse, m.timeouts = 0, d.Clock.Now(), 0 })
}

// RecordTimeout records that a statement got no response before its deadline. A single response may be lost or late.
// The member counts as unreachable after timeoutsUntilUnreachable timeouts without a response in between.
func (d *Directory) RecordTimeout(a lab.Announcement) {
	timeouts := 0

	d.withMember(a, func(m *member) {
		m.avoidUntil = d.Clock.Now() + avoidDuration
		m.timeouts++
		timeouts = m.timeouts
	})

	if timeouts >= timeoutsUntilUnreachable {
		d.RecordUnreachable(a)
	}
}

// RecordUnreachable records that a member is unreachable. It calls OnPrimaryUnreachable if the member is the primary and
// was reachable before.
func (d *Directory) RecordUnreachable(a lab.Announcement) {
	isPrimary := false

	d.withMember(a, func(m *member) {
		m.avoidUntil = d.Clock.Now() + avoidDuration

		if m.unreachableSince == 0 {
			m.unreachableSince = d.Clock.Now()
			isPrimary = d.services[a.Database].primary == a.Member
		}
	})

	if isPrimary {
		d.Log.Info().Str("service", a.Database).Str("member", a.Member).Msg("primary_unreached")
		d.OnPrimaryUnreachable()
	}
}

func (d *Directory) withMember(a lab.Announcement, call func(m *member)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	s, ok := d.services[a.Database]
	if !ok {
		return
	}

	if m, ok := s.members[a.Member]; ok && m.announcement.Incarnation == a.Incarnation {
		call(m)
	}
}

// recordDial records the result of a dial. A member that refuses a connection still counts as reachable.
func (d *Directory) recordDial(a lab.Announcement, err error) {
	o, _ := lab.OutcomeOf(err)

	switch {
	case err == nil:
		d.RecordResponse(a)
	case o == lab.OutcomeNotRun:
		d.Log.Info().Err(err).Str("member", a.Member).Msg("connection_refused")
		d.Avoid(a)
	default:
		d.Log.Info().Err(err).Str("member", a.Member).Msg("dial_failed")
		d.RecordUnreachable(a)
	}
}

// PrimaryReports returns the reachability of primaries as observed on direct connections: of those that this proxy
// observes, and of those that it can't reach.
func (d *Directory) PrimaryReports() []lab.PrimaryReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	var out []lab.PrimaryReport

	for n, s := range d.needed {
		m, ok := s.members[s.primary]
		if !ok || (m.lastResponse == 0 && m.unreachableSince == 0) || m.maxConnections.Load() == 0 {
			continue // proxies with direct connections report on this primary
		}

		r := lab.PrimaryReport{Service: n, Member: s.primary, Observer: m.observer}
		if m.unreachableSince > 0 {
			r.UnreachableFor = max(time.Millisecond, d.Clock.Now()-m.unreachableSince)
		}

		if r.Observer || r.UnreachableFor > 0 {
			out = append(out, r)
		}
	}

	return out
}

// ObservedPositions returns the newest position of each primary that this proxy observes. The times of the requests are
// on this process's clock.
func (d *Directory) ObservedPositions() []lab.PositionReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	var out []lab.PositionReport

	for n, s := range d.needed {
		m, ok := s.members[s.primary]
		if !ok || !m.observer || m.maxConnections.Load() == 0 {
			continue
		}

		if at, p, ok := s.history.Newest(); ok {
			out = append(out, lab.PositionReport{Service: n, Position: p, RequestedAt: at})
		}
	}

	return out
}

// Observes reports whether this proxy checks the primary of a service continuously.
func (d *Directory) Observes(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.primaryLocked(name)

	return ok && d.observerLocked(m)
}

// RecordRead records a read that needs a recent position of a service's primary.
func (d *Directory) RecordRead(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if s, ok := d.services[name]; ok {
		s.lastRead = d.Clock.Now()
	}
}

// InUse reports whether a read has recently needed a position of a service's primary.
func (d *Directory) InUse(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	s, ok := d.services[name]

	return ok && s.lastRead > 0 && d.Clock.Now()-s.lastRead < demandDuration
}

// WarmRelays starts connections to the gateways of the needed members to which this proxy has no direct connections.
func (d *Directory) WarmRelays() {
	var relays []*labrelay.Source

	d.mutex.Lock()

	now := d.Clock.Now()

	for _, s := range d.needed {
		for id, m := range s.members {
			if m.relay == nil || (!d.ahead && now-m.warmedAt < warmInterval) || !d.neededLocked(s, id, m, now) {
				continue
			}

			if d.placeLocked(m); m.maxConnections.Load() == 0 {
				m.warmedAt = now
				relays = append(relays, m.relay)
			}
		}
	}

	d.mutex.Unlock()

	for _, r := range relays {
		r.Warm()
	}
}

// LocalPools returns the pools of direct connections to the needed members by service; the pool of the primary comes
// first.
func (d *Directory) LocalPools() map[string][]*labpool.Pool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	now, out := d.Clock.Now(), make(map[string][]*labpool.Pool, len(d.needed))

	for n, s := range d.needed {
		for id, m := range s.members {
			if !d.neededLocked(s, id, m, now) {
				continue
			}

			d.placeLocked(m)

			if id == s.primary {
				out[n] = append([]*labpool.Pool{m.pool}, out[n]...)
			} else {
				out[n] = append(out[n], m.pool)
			}
		}
	}

	return out
}
