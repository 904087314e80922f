package labdirectory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
	"laburnumlock.dev/lab/proxy/process/labplacement"
	"laburnumlock.dev/lab/proxy/process/labpositionhistory"
	"laburnumlock.dev/lab/proxy/process/labreachability"
	"laburnumlock.dev/lab/proxy/process/labrelay"
)

const (
	// avoidDuration is how long a member that refused or failed is left alone while others can serve.
	avoidDuration = 400 * time.Millisecond
	// timeoutsUntilUnreachable is how many statements in a row without an answer mean that a member is out of reach. A member that
	// loses a fifth of its answers does so once in a hundred pairs, and the next answer corrects it.
	timeoutsUntilUnreachable = 2
	// minLagDuration is how long a position seen at a lagging member is taken for its newest: about what a replica receives
	// in one go. It doubles with each further refusal up to behindLatest, since a replica that lags for seconds would
	// refuse a quarter of all statements; an answer ends it.
	minLagDuration = 100 * time.Millisecond
	maxLagDuration = 800 * time.Millisecond
	// relayAfter is how long a member must be out of reach before statements go over another proxy; a lost connection
	// alone is replaced sooner.
	relayAfter = 150 * time.Millisecond
)

// Directory is safe for concurrent use; exported fields are set before use.
type Directory struct {
	AvailabilityZone string
	Region           string
	Dialer           lab.MemberDialer
	Random           lab.Random
	Clock            lab.Clock
	Log              zerolog.Logger
	Self             lab.InstanceID
	Peers            lab.PersistentPeerClient // reaches gateways; nil where every proxy connects by itself
	Reachability     *labreachability.Tracker // which gateways answer
	// OnPrimaryUnreachable is called when a primary stops answering; it must not block.
	OnPrimaryUnreachable func()

	mutex         sync.Mutex
	configuration *lab.Configuration
	services      map[string]*service
	proxyList     []lab.Instance
	changed       chan struct{}
}

// service is one group of members.
type service struct {
	members map[string]*member
	primary string
	history labpositionhistory.History
}

// member is one incarnation of a member.
type member struct {
	announcement        lab.Announcement
	maxConnections      atomic.Int64       // connections that this proxy may have
	retainedConnections atomic.Int64       // connections that it keeps when it needs no more
	gateways            []lab.Instance     // other proxies to pass statements on to, in order of preference
	pool                *labpool.Pool      // own connections
	relay               *labrelay.Source   // connections of gateways; nil without peers
	avoidUntil          time.Duration      // until when others are preferred
	unreachableSince    time.Duration      // since when it cannot be reached, 0 when it can
	lastResponse        time.Duration      // when it was reached last
	timeouts            int                // statements without an answer since then
	lagPosition         lab.CommitPosition // of its log when it last refused a read for its lag
	lagObserved         time.Duration
	lagDuration         time.Duration // how long that is taken for its newest
}

// Install puts a document in force; an older one changes nothing.
func (d *Directory) Install(document *lab.Configuration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration != nil && document.Version <= d.configuration.Version {
		return
	}

	d.configuration = document
	d.updatePlacementLocked()
	d.Log.Info().Uint64("version", document.Version).Int("routes", len(document.Routes)).Msg("document_in_force")
	d.notifyLocked()
}

// Version returns the version of the document in force, 0 before the first.
func (d *Directory) Version() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return 0
	}

	return d.configuration.Version
}

// UpdateMembers takes over the members and primaries known to control. With complete set, other members don't exist.
func (d *Directory) UpdateMembers(members []lab.Announcement, primaries map[string]string, complete bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.services == nil {
		d.services = map[string]*service{}
	}

	present := map[string]bool{}

	for _, a := range members {
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
		s = &service{members: map[string]*member{}}
		d.services[a.Database] = s
	}

	m, ok := s.members[a.Member]
	if ok && m.announcement.Incarnation == a.Incarnation && m.announcement.Address == a.Address {
		if m.announcement.Draining != a.Draining || m.announcement.Primary != a.Primary {
			d.Log.Info().Str("member", a.Member).Bool("leaving", a.Draining).Bool("primary", a.Primary).Msg("member_changed")
		}

		m.announcement = a

		return
	}

	if ok {
		m.pool.Close()
	}

	n := &member{announcement: a}
	n.pool = &labpool.Pool{
		Target: a, Dialer: d.Dialer, OnDial: d.recordDial,
		MaxConnections: func() int { return int(n.maxConnections.Load()) }, RetainedConnections: func() int { return int(n.retainedConnections.Load()) },
	}
	if d.Peers != nil {
		n.relay = &labrelay.Source{
			Target: a, Peers: d.Peers, History: &s.history, Reachability: d.Reachability, Clock: d.Clock,
			Gateways: func() []lab.Instance { return d.gatewaysOf(n) },
		}
	}

	s.members[a.Member] = n

	d.Log.Info().Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
		Uint64("incarnation", a.Incarnation).Msg("member_known")
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

	m.pool.Close()
	delete(s.members, id)
	d.Log.Info().Str("service", name).Str("member", id).Msg("member_dropped")
}

// SetProxies tells which proxies share the members' connections.
func (d *Directory) SetProxies(proxies []lab.Instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.proxyList = proxies
	d.updatePlacementLocked()
}

// updatePlacementLocked recomputes how many connections this proxy may keep to each member, and to whom it passes statements on.
// Pools read the share without the directory's lock, which is held while they are closed.
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
			d.updateMemberPlacementLocked(m, v.MaxConnections)
		}
	}
}

func (d *Directory) updateMemberPlacementLocked(m *member, connections int) {
	share, keep := 1, 1 // until the proxies are known

	if len(d.proxyList) > 0 {
		p := labplacement.Place(m.announcement, connections, d.proxyList)
		m.gateways = labplacement.Gateways(d.Self, m.announcement, p.Holders)
		share, keep = p.MaxPerHolder, p.RetainedPerHolder

		// A proxy that control has not counted yet, or no longer counts, takes a connection only where some are left.
		if len(m.gateways) == len(p.Holders) && len(p.Holders) < len(d.proxyList) {
			share = 0
		}
	}

	m.retainedConnections.Store(int64(keep))

	if before := m.maxConnections.Swap(int64(share)); before != int64(share) {
		d.Log.Info().Str("member", m.announcement.Member).Int("share", share).Int("gateways", len(m.gateways)).
			Int("proxies", len(d.proxyList)).Msg("connections_placed")
	}
}

func (d *Directory) gatewaysOf(m *member) []lab.Instance {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return m.gateways
}

func (d *Directory) notifyLocked() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.changed == nil {
		d.changed = make(chan struct{})
	}

	return d.changed
}

// Route returns the route of a database name and how long a transaction may be idle.
func (d *Directory) Route(database string) (lab.Route, time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.configuration == nil {
		return lab.Route{}, 0, false
	}

	r, ok := d.configuration.Route(database)

	return r, d.configuration.IdleTransactionTimeout, ok
}

// Ready reports whether requests could be served: a document is in force and some member is known.
func (d *Directory) Ready() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.configuration != nil && len(d.services) > 0
}
