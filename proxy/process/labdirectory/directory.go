package labdirectory

import (
	"maps"
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
	Memory        lab.MemoryBudget // bounds the responses of other proxies; nil for no limit
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
	settings      map[string]lab.Service // services of the configuration by name
	routes        map[string]lab.Route   // first route of each database
	services      map[string]*service
	members       int                 // number of members of all services
	list          uint64              // number of lists of members received
	ahead         bool                // whether all services count as needed; see aheadMembers
	needed        map[string]*service // services with members that are needed or have connections; see use.go
	// acknowledged are the services outside needed for which this proxy knows an acknowledged position.
	acknowledged map[string]*service
	proxies      []lab.Instance     // proxies in the control group's list
	view         *labplacement.View // of proxies before the services of the configuration, nil if it must be made again
	generation   uint64             // number of changes after which placements were no longer current
	observed     uint64             // generation in which the observed primaries were determined
	listExpected time.Duration      // time until which the list of proxies is awaited, 0 before the first members
	changed      chan struct{}      // channel that Changed has returned, nil if none is open
}

// service is the state of one service: a group of members with a primary.
type service struct {
	members map[string]*member
	primary string
	history labpositionhistory.History
	// lastRead is the time of the last read that needed a position of the primary.
	lastRead      time.Duration
	lastStatement time.Duration // time of the last statement or startup of a client of this proxy
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
	list                uint64             // number of the last list that contained the member
	generation          uint64             // Directory.generation of the placement, 0 before the first one
	placedByKey         bool               // whether the placement is that of a deployment with organisations
	lastRelayed         time.Duration      // time of the last statement that another proxy relayed through this one
	warmedAt            time.Duration      // time at which connections to the gateways were last started
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

	d.indexLocked(configuration)
	d.configuration = configuration
	d.active.Store(configuration)
	d.updatePlacementLocked()
	d.Log.Info().Uint64("version", configuration.Version).Int("routes", len(configuration.Routes)).Msg("document_in_force")
	d.notifyLocked()
}

// indexLocked indexes a configuration that is about to become active. Placements depend on the connections that members
// accept, and on whether clients need keys.
func (d *Directory) indexLocked(c *lab.Configuration) {
	settings, routes := map[string]lab.Service{}, map[string]lab.Route{}

	for _, v := range c.Services {
		if _, ok := settings[v.Name]; !ok {
			settings[v.Name] = v
		}
	}

	for _, r := range c.Routes {
		if _, ok := routes[r.Database]; !ok {
			routes[r.Database] = r
		}
	}

	if d.configuration == nil || d.configuration.KeysRequired != c.KeysRequired || !maps.Equal(d.settings, settings) {
		d.view = nil
		d.generation++
	}

	d.settings, d.routes = settings, routes
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
// listed are removed. Only members that have changed cost more than a comparison.
func (d *Directory) UpdateMembers(members []lab.Announcement, primaries map[string]string, complete bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.prepareMembersLocked(len(members))
	d.list++

	changed := d.applyMembersLocked(members)

	if complete && d.removeUnlistedLocked() {
		changed = true
	}

	if d.updatePrimariesLocked(primaries) || changed {
		d.updatePlacementLocked()
		d.notifyLocked()
	}
}

// ChangeMembers applies changes of the members and primaries known to the control group. If complete is set, members
// that are no longer listed are removed.
func (d *Directory) ChangeMembers(c lab.MemberChanges, complete bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.prepareMembersLocked(len(c.Set))

	changed := false

	if complete {
		for _, n := range c.Removed {
			changed = d.removeMemberLocked(n.Service, n.Member) || changed
		}
	}

	changed = d.applyMembersLocked(c.Set) || changed

	if d.updatePrimariesLocked(c.Primaries) || changed {
		d.updatePlacementLocked()
		d.notifyLocked()
	}
}

// RetainMembers removes the members that the control group doesn't list.
func (d *Directory) RetainMembers(listed map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for name, s := range d.services {
		for id := range s.members {
			if !listed[id] {
				d.removeMemberLocked(name, id)
			}
		}
	}

	d.notifyLocked()
}

// prepareMembersLocked is called before a number of members is applied.
func (d *Directory) prepareMembersLocked(count int) {
	if d.services == nil {
		d.services, d.needed, d.acknowledged = map[string]*service{}, map[string]*service{}, map[string]*service{}
	}

	if d.listExpected == 0 && count > 0 {
		d.listExpected = d.Clock.Now() + listWait
	}
}

// applyMembersLocked applies members and reports whether anything has changed.
func (d *Directory) applyMembersLocked(members []lab.Announcement) bool {
	changed := false

	for _, a := range members {
		if !a.Terminated && d.updateMemberLocked(a) {
			changed = true
		}
	}

	for _, a := range members {
		if a.Terminated && d.removeMemberLocked(a.Database, a.Member) {
			changed = true
		}
	}

	return changed
}

// updatePrimariesLocked applies the primaries by service and reports whether any has changed. An empty name means that
// none is known; the former one stays.
func (d *Directory) updatePrimariesLocked(primaries map[string]string) bool {
	changed := false

	for name, p := range primaries {
		if s, ok := d.services[name]; ok && p != "" && s.primary != p {
			d.Log.Info().Str("service", name).Str("former", s.primary).Str("primary", p).Msg("primary_changed")
			s.primary = p
			d.observeLocked(name, s)

			changed = true
		}
	}

	return changed
}

// removeUnlistedLocked removes the members that the last list didn't contain, and reports whether there were any.
func (d *Directory) removeUnlistedLocked() bool {
	removed := false

	for name, s := range d.services {
		for id, m := range s.members {
			if m.list != d.list {
				d.removeMemberLocked(name, id)

				removed = true
			}
		}
	}

	return removed
}

// updateMemberLocked applies a member of a list and reports whether anything but its sequence has changed. A list has all
// members of a deployment, of which few have changed.
func (d *Directory) updateMemberLocked(a lab.Announcement) bool {
	s, known := d.services[a.Database]

	var m *member
	if known {
		m = s.members[a.Member]
	}

	if m != nil && m.announcement == a.WithSequence(m.announcement.Sequence) {
		m.list, m.announcement.Sequence = d.list, a.Sequence

		return false
	}

	if err := a.Validate(); err != nil {
		d.Log.Warn().Err(err).Msg("announcement_invalid")

		return false
	}

	if !known {
		s = d.newService()
		d.services[a.Database] = s
	}

	if m != nil && m.announcement.Incarnation == a.Incarnation && m.announcement.Address == a.Address {
		if m.announcement.Draining != a.Draining || m.announcement.Primary != a.Primary {
			d.Log.Info().Str("member", a.Member).Bool("leaving", a.Draining).Bool("primary", a.Primary).Msg("member_changed")
		}

		if !m.announcement.Draining {
			m.leavingSince = d.Clock.Now()
		}

		m.announcement, m.list = a, d.list

		return true
	}

	d.addMemberLocked(s, m, a)

	return true
}

// addMemberLocked adds a member or a new incarnation of the former one.
func (d *Directory) addMemberLocked(s *service, former *member, a lab.Announcement) {
	n := &member{announcement: a, list: d.list, leavingSince: d.Clock.Now()}

	if former == nil {
		d.members++
	} else {
		s.closePool(former.pool)
	}

	// A member that starts again and still leaves has no more time than before.
	if former != nil && former.announcement.Draining && a.Draining {
		n.leavingSince = former.leavingSince
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
			Memory: d.Memory,
		}
		d.measureRelay(s, n.relay, onSample)
	}

	s.members[a.Member] = n
	s.setMeasured(a.Member)

	if a.Member == s.primary {
		d.observeLocked(a.Database, s)
	}

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

// removeMemberLocked removes a member and reports whether it was known.
func (d *Directory) removeMemberLocked(name, id string) bool {
	s, ok := d.services[name]
	if !ok {
		return false
	}

	m, ok := s.members[id]
	if !ok {
		return false
	}

	s.closePool(m.pool)
	delete(s.members, id)
	d.members--
	s.setMeasured("")
	d.Log.Info().Str("service", name).Str("member", id).Msg("member_dropped")

	return true
}

// SetProxies sets the proxies among which the members' connections are distributed.
func (d *Directory) SetProxies(proxies []lab.Instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.proxies, d.view = proxies, nil
	d.generation++
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
	d.generation++
	d.updatePlacementLocked()
}

// gatewaysOf returns the gateways of a member in the order in which the statements of an organisation prefer them, and
// the number of those to which connections stay open.
func (d *Directory) gatewaysOf(m *member, organisation string) ([]lab.Instance, int) {
	d.mutex.Lock()
	d.placeLocked(m)
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

// Route returns the route of a database and the idle timeout of transactions, or false when the database has no route. Its
// service counts as used, since the caller has a statement for it or starts a session.
func (d *Directory) Route(database string) (lab.Route, time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return lab.Route{}, 0, false
	}

	r, ok := d.routes[database]
	if s, known := d.services[r.Service]; ok && known {
		d.useLocked(r.Service, s)
	}

	return r, d.configuration.IdleTransactionTimeout, ok
}

// Organisation returns the organisation as which a client with the key may use a database. It is the zero policy if the
// clients of the database need no key, or if the key isn't valid and the database has no route, so that the client is told
// of the route first. The fault is lab.FaultUnauthorized if the key isn't valid.
func (d *Directory) Organisation(database, key string) (lab.OrganisationPolicy, lab.Fault) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil || !d.configuration.KeysRequired {
		return lab.OrganisationPolicy{}, lab.FaultNone
	}

	r, routed := d.routes[database]
	if r.Public {
		return lab.OrganisationPolicy{}, lab.FaultNone
	}

	o, ok := d.configuration.OrganisationOfKey(key)
	if !ok && routed {
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
