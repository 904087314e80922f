package labdirectory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
	"laburnumlock.dev/lab/proxy/process/labpermission"
	"laburnumlock.dev/lab/proxy/process/labplacement"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
	"laburnumlock.dev/lab/proxy/process/labreachability"
	"laburnumlock.dev/lab/proxy/process/labrelay"
)

const (
	// avoidDuration is how long other members are preferred after a member has refused a statement or failed.
	avoidDuration = 400 * time.Millisecond
	// timeoutsUntilUnreachable is the number of consecutive statements without a response after which a member counts as
	// unreachable. If a fifth of a member's responses are lost independently, two consecutive ones are lost with a
	// probability of 0.2 * 0.2 = 4 %, and the next response corrects the error.
	timeoutsUntilUnreachable = 2
	// minLagDuration is how long a member is assumed to stay at its position after it has refused a read because of its
	// lag. It is about the time in which a replica receives one batch of data. The duration doubles with each further
	// refusal up to maxLagDuration, since a replica that lags for seconds would otherwise refuse a quarter of all
	// statements. The duration ends early when the member serves a read that requires a newer position.
	minLagDuration = 100 * time.Millisecond
	maxLagDuration = 800 * time.Millisecond
	// relayAfter is how long a member must be unreachable before its statements are relayed through another proxy. If only
	// a single connection is lost, it is replaced sooner.
	relayAfter = 150 * time.Millisecond
	// listWait is how long after the first members a proxy opens no connections of its own unless it knows the other
	// proxies. When hundreds of proxies start at once, each would otherwise connect to every member, and the members
	// would refuse most of these connections. The leader sends the list 1.2 to 2.2 s after the first proxies have
	// registered, unless they register one after the other.
	listWait = 3 * time.Second
	// leavingMargin is the part of LeavingPeriod that is left to requests which were sent before: 1.5 s, the longest time
	// limit of a statement in the users' configurations, in which a statement may wait for a slot of the member, and 1 s in
	// which this proxy learns that the member is leaving.
	leavingMargin = 2500 * time.Millisecond
	// demandDuration is how long after a read a service counts as in use.
	demandDuration = 2 * time.Second
)

// Directory is the state of the members as known to this proxy. It is safe for concurrent use; exported fields are set
// before use.
type Directory struct {
	AvailabilityZone string
	Region           string
	Dialer           lab.MemberDialer
	Random           lab.Random
	Clock            lab.Clock
	Log              zerolog.Logger
	Self             lab.InstanceID
	Peers            lab.PersistentPeerClient // connects to gateways; nil if every proxy connects to the members itself
	Reachability     *labreachability.Tracker // tracks which gateways respond
	// LeavingPeriod is the time after a member's announcement that it is leaving in which new requests may reach it. It is
	// 0 if there is no such limit.
	LeavingPeriod time.Duration
	// FixedCosts switches off what is learned from the members' behaviour: reads are placed by fixed costs alone, and no
	// limit is learned for the statements in progress at a member.
	FixedCosts bool
	// OnPrimaryUnreachable is called when a primary becomes unreachable; it must not block.
	OnPrimaryUnreachable func()
	// OnCommitsDrained is called when the commits have ended that the control group waits for; it must not block.
	OnCommitsDrained func()

	permissionsOnce sync.Once
	permissions     labpermission.Permissions // see Permissions

	// active is the configuration for pools, which must not lock the directory while they hold their own lock.
	active atomic.Pointer[lab.Configuration]

	mutex         sync.Mutex
	configuration *lab.Configuration
	services      map[string]*service
	proxies       []lab.Instance // proxies in the control group's list
	listExpected  time.Duration  // time until which the list of proxies is awaited, 0 before the first members
	changed       chan struct{}  // channel that Changed has returned, nil if none is open
}

// service is the state of one service: a group of members with a primary.
type service struct {
	members map[string]*member
	primary string
	history labpositionhistory.History
	// lastRead is the time of the last read that needed a position of the primary.
	lastRead time.Duration
	// acknowledged is the newest position that a pool in closedPools or a removed one has seen acknowledged.
	acknowledged lab.CommitPosition
	closedPools  []*labpool.Pool // pools of former incarnations on which statements may still run
	// detector compares the members; nil with Directory.FixedCosts.
	detector *laboutlier.Detector
}

// member is the state of one incarnation of a member. Points in time are on the directory's clock.
type member struct {
	announcement        lab.Announcement
	maxConnections      atomic.Int64       // maximum number of direct connections of this proxy
	retainedConnections atomic.Int64       // number of direct connections that stay open without load
	gateways            []lab.Instance     // proxies that can relay statements, in order of preference
	leavingSince        time.Duration      // time at which the member announced that it is leaving
	observer            bool               // whether this proxy checks the member continuously
	placed              bool               // whether the placement is current
	placedConnections   int                // number of connections that the member accepts, as of the placement
	placedByKey         bool               // whether the placement is that of a deployment with organisations
	pool                *labpool.Pool      // direct connections
	relay               *labrelay.Source   // connections through gateways; nil if Directory.Peers is nil
	avoidUntil          time.Duration      // time until which other members are preferred
	unreachableSince    time.Duration      // time at which the member became unreachable, 0 while it is reachable
	lastResponse        time.Duration      // time of the last response of the member
	timeouts            int                // number of statements without a response since lastResponse
	lagPosition         lab.CommitPosition // position of the member when it last refused a read because of its lag
	lagObserved         time.Duration      // time of the refusal at lagPosition
	lagDuration         time.Duration      // how long after lagObserved the member is assumed to stay at lagPosition
}

// Install activates a configuration. It ignores a configuration that isn't newer than the active one.
func (d *Directory) Install(configuration *lab.Configuration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration != nil && configuration.Version <= d.configuration.Version {
		return
	}

	d.configuration = configuration
	d.active.Store(configuration)
	d.updatePlacementLocked()
	d.Log.Info().Uint64("version", configuration.Version).Int("routes", len(configuration.Routes)).Msg("document_in_force")
	d.notifyLocked()
}

// Version returns the version of the active configuration, or 0 before the first.
func (d *Directory) Version() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return 0
	}

	return d.configuration.Version
}

// UpdateMembers applies the members and primaries known to the control group. If complete is set, members that are not
// listed are removed.
func (d *Directory) UpdateMembers(members []lab.Announcement, primaries map[string]string, complete bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.services == nil {
		d.services = map[string]*service{}
	}

	if d.listExpected == 0 && len(members) > 0 {
		d.listExpected = d.Clock.Now() + listWait
	}

	present := map[string]bool{}

	for _, a := range members {
		if err := a.Validate(); err != nil {
			d.Log.Warn().Err(err).Msg("announcement_invalid")

			continue
		}

		if a.Terminated {
			continue
		}

		present[a.Member] = true
		d.updateMemberLocked(a)
	}

	d.updatePlacementLocked()

	for _, a := range members {
		if a.Terminated {
			d.removeMemberLocked(a.Database, a.Member)
		}
	}

	for name, s := range d.services {
		if complete {
			for id := range s.members {
				if !present[id] {
					d.removeMemberLocked(name, id)
				}
			}
		}

		if p, ok := primaries[name]; ok && s.primary != p {
			d.Log.Info().Str("service", name).Str("former", s.primary).Str("primary", p).Msg("primary_changed")
			s.primary = p
		}
	}

	d.notifyLocked()
}

func (d *Directory) updateMemberLocked(a lab.Announcement) {
	s, ok := d.services[a.Database]
	if !ok {
		s = d.newService()
		d.services[a.Database] = s
	}

	m, ok := s.members[a.Member]
	if ok && m.announcement.Incarnation == a.Incarnation && m.announcement.Address == a.Address {
		if m.announcement.Draining != a.Draining || m.announcement.Primary != a.Primary {
			d.Log.Info().Str("member", a.Member).Bool("leaving", a.Draining).Bool("primary", a.Primary).Msg("member_changed")
		}

		if !m.announcement.Draining {
			m.leavingSince = d.Clock.Now()
		}

		m.announcement = a

		return
	}

	if ok {
		s.closePool(m.pool)
	}

	n := &member{announcement: a, leavingSince: d.Clock.Now()}

	// A member that starts again and still leaves has no more time than before.
	if ok && m.announcement.Draining && a.Draining {
		n.leavingSince = m.leavingSince
	}

	onSample := d.sampler(s, a)
	n.pool = &labpool.Pool{
		Target: a, Dialer: d.Dialer, OnDial: d.recordDial, OnSample: onSample, Limit: d.newLimit(),
		MaxConnections:      func() int { return int(n.maxConnections.Load()) },
		RetainedConnections: func() int { return int(n.retainedConnections.Load()) },
		Exists:              d.organisationExists,
	}
	if d.Peers != nil {
		n.relay = &labrelay.Source{
			Target: a, Peers: d.Peers, History: &s.history, Reachability: d.Reachability, Clock: d.Clock,
			Gateways: func(organisation string) ([]lab.Instance, int) { return d.gatewaysOf(n, organisation) }, Version: d.Version,
		}
		d.measureRelay(s, n.relay, onSample)
	}

	s.members[a.Member] = n
	s.setMeasured(a.Member)

	d.Log.Info().Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
		Uint64("incarnation", a.Incarnation).Msg("member_known")
}

// UpdateLeaving applies how long members have been leaving, as the control group knows it.
func (d *Directory) UpdateLeaving(members []lab.LeavingMember) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for _, l := range members {
		for _, s := range d.services {
			if m, ok := s.members[l.Member]; ok && m.announcement.Incarnation == l.Incarnation {
				m.leavingSince = min(m.leavingSince, d.Clock.Now()-l.For)
			}
		}
	}
}

func (d *Directory) removeMemberLocked(name, id string) {
	s, ok := d.services[name]
	if !ok {
		return
	}

	m, ok := s.members[id]
	if !ok {
		return
	}

	s.closePool(m.pool)
	delete(s.members, id)
	s.setMeasured("")
	d.Log.Info().Str("service", name).Str("member", id).Msg("member_dropped")
}

// SetProxies sets the proxies among which the members' connections are distributed.
func (d *Directory) SetProxies(proxies []lab.Instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.proxies = proxies
	d.invalidatePlacementLocked()
	d.updatePlacementLocked()
}

// Proxies returns the proxies among which the members' connections are distributed.
func (d *Directory) Proxies() []lab.Instance {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.proxies
}

// StopAwaitingProxies opens connections to the members once the list of proxies has been awaited for listWait.
func (d *Directory) StopAwaitingProxies() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if len(d.proxies) > 0 || d.listExpected == 0 || d.Clock.Now() < d.listExpected {
		return
	}

	d.listExpected = -1
	d.invalidatePlacementLocked()
	d.updatePlacementLocked()
}

func (d *Directory) invalidatePlacementLocked() {
	for _, s := range d.services {
		for _, m := range s.members {
			m.placed = false
		}
	}
}

// updatePlacementLocked computes the number of direct connections to each member, the gateways for it and whether this
// proxy observes it, where the list of proxies, the member or its connections have changed. Pools read these numbers
// without the directory's lock. Otherwise a pool and the directory could deadlock, since the directory holds its lock
// while it closes pools.
func (d *Directory) updatePlacementLocked() {
	if d.configuration == nil {
		return
	}

	for n, s := range d.services {
		v, ok := d.configuration.Service(n)
		if !ok {
			continue
		}

		for _, m := range s.members {
			if !m.placed || m.placedConnections != v.MaxConnections || m.placedByKey != d.configuration.KeysRequired {
				d.updateMemberPlacementLocked(m, v.MaxConnections)
			}
		}
	}
}

func (d *Directory) updateMemberPlacementLocked(m *member, connections int) {
	m.placed, m.placedConnections, m.placedByKey = true, connections, d.configuration.KeysRequired

	// Values until the list of proxies is known.
	maxConnections, retained := 0, 1
	if d.listExpected < 0 || d.Peers == nil {
		maxConnections = 1
	}

	m.observer = true

	if len(d.proxies) > 0 {
		place := labplacement.Place
		if m.placedByKey {
			place = labplacement.PlaceGateways
		}

		p := place(m.announcement, connections, d.proxies)
		m.gateways = labplacement.Gateways(d.Self, m.announcement, p.DirectProxies)
		m.observer = labplacement.Observes(d.Self, m.announcement, p.DirectProxies)
		maxConnections, retained = p.MaxPerProxy, p.RetainedPerProxy

		// If no direct proxy is missing among the gateways, this proxy is not a direct proxy. It may then connect only if
		// all proxies in the control group's list are direct proxies: this proxy is not yet, or no longer, in the list, and
		// the member has connections left.
		if len(m.gateways) == len(p.DirectProxies) && len(p.DirectProxies) < len(d.proxies) {
			maxConnections = 0
		}
	}

	m.retainedConnections.Store(int64(retained))

	if previous := m.maxConnections.Swap(int64(maxConnections)); previous != int64(maxConnections) {
		d.Log.Info().Str("member", m.announcement.Member).Int("share", maxConnections).Int("gateways", len(m.gateways)).
			Int("proxies", len(d.proxies)).Bool("observer", m.observer).Msg("connections_placed")
	}
}

// gatewaysOf returns the gateways of a member in the order in which the statements of an organisation prefer them, and
// the number of those to which connections stay open.
func (d *Directory) gatewaysOf(m *member, organisation string) ([]lab.Instance, int) {
	d.mutex.Lock()
	gateways, byKey := m.gateways, m.placedByKey
	d.mutex.Unlock()

	if !byKey {
		return gateways, labrelay.MaxWarmGateways
	}

	return labplacement.GatewaysOf(organisation, m.announcement, d.AvailabilityZone, d.Region, gateways),
		labplacement.GatewaysPerZone
}

// organisationExists reports whether an organisation is configured.
func (d *Directory) organisationExists(name string) bool {
	c := d.active.Load()
	if c == nil {
		return false
	}

	_, ok := c.Organisation(name)

	return ok
}

// MayServe reports whether statements of an organisation may run here, which another proxy knows from the configuration
// with the given version. An older configuration here says nothing about a new organisation.
func (d *Directory) MayServe(organisation string, version uint64) bool {
	return organisation == "" || d.organisationExists(organisation) || d.Version() < version
}

func (d *Directory) notifyLocked() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of the configuration or of the members.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.changed == nil {
		d.changed = make(chan struct{})
	}

	return d.changed
}

// Route returns the route of a database and the idle timeout of transactions, or false when the database has no route.
func (d *Directory) Route(database string) (lab.Route, time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return lab.Route{}, 0, false
	}

	r, ok := d.configuration.Route(database)

	return r, d.configuration.IdleTransactionTimeout, ok
}

// Organisation returns the organisation as which a client with the key may use a database. It is the zero policy if the
// clients of the database need no key. The fault is lab.FaultUnauthorized if the key isn't valid.
func (d *Directory) Organisation(database, key string) (lab.OrganisationPolicy, lab.Fault) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil || !d.configuration.KeysRequired {
		return lab.OrganisationPolicy{}, lab.FaultNone
	}

	if r, ok := d.configuration.Route(database); ok && r.Public {
		return lab.OrganisationPolicy{}, lab.FaultNone
	}

	o, ok := d.configuration.OrganisationOfKey(key)
	if !ok {
		return lab.OrganisationPolicy{}, lab.FaultUnauthorized
	}

	return o, lab.FaultNone
}

// Ready reports whether requests can be served: a configuration is active, at least one service is known, and it is known
// to which members this proxy may connect.
func (d *Directory) Ready() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.configuration != nil && len(d.services) > 0 && (len(d.proxies) > 0 || d.listExpected < 0 || d.Peers == nil)
}
