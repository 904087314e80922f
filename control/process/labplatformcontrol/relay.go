package labplatformcontrol

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpositions"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/process/labbounds"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/process/labpeerclock"
)

const (
	// relayWait is how long the leader waits for a change before it answers the watch of another control instance.
	relayWait = 400 * time.Millisecond
	// relayTimeout bounds a watch at the leader. It covers relayWait and a leader that is briefly busy.
	relayTimeout = relayWait + 500*time.Millisecond
	// unconfirmedRelayWait is relayWait while a proxy has not confirmed a list of commit permissions.
	unconfirmedRelayWait = 50 * time.Millisecond
	// relaySpacing is the minimum time between two watches at the leader. Reports of many proxies then travel together.
	relaySpacing = 50 * time.Millisecond
	// relayMaxAge is how old the leader's last response may be for watches to be answered from it. It covers one watch
	// that fails. A proxy then tries another instance.
	relayMaxAge = 1500 * time.Millisecond
	// proxyReportInterval is the interval at which the leader learns of a proxy that reports nothing else. It is well
	// below proxyExpiry.
	proxyReportInterval = 2 * time.Second
	// reportMaxAge is how old the reports of a proxy may be to be passed on: proxies send a watch every 500 ms.
	reportMaxAge = 700 * time.Millisecond
	// maxRelayChanges bounds the changes of the proxy list that are kept for proxies with an older list.
	maxRelayChanges = 64
)

// relay answers watches from what the leader last sent. The leader then has to answer one watch for each other control
// instance and those of the proxies in its own zone, instead of those of all proxies.
type relay struct {
	controller *Controller
	interrupt  chan struct{} // holds one element when a report must reach the leader at once

	mutex      sync.Mutex
	leader     string // process address of the leader that was watched last
	receivedAt time.Duration
	latest     lab.WatchResponse // without lists of proxies and members and changes of them
	proxies    map[lab.InstanceID]lab.Instance
	packed     []byte // compressed list of proxies, nil if it must be compressed again
	changes    []relayedChange
	clock      labpeerclock.Clock
	observed   labpositions.Board // positions reported by the watching proxies, on this process's clock
	watching   map[lab.InstanceID]*watchingProxy
	// acknowledged are the newest acknowledged positions in any watch at this instance, by service.
	acknowledged map[string]lab.CommitPosition
	// acknowledgedVersion is the version of the document by which services were last removed from acknowledged.
	acknowledgedVersion uint64
	bounds              labbounds.Sender // acknowledged positions that the leader has learned
	permissions         relayedPermissions
}

// relayedChange is a change of the list of proxies as the leader sent it.
type relayedChange struct {
	from, to uint64 // revisions of the list before and after the change
	change   lab.ProxyChanges
}

// watchingProxy is a proxy that watches this instance.
type watchingProxy struct {
	relayed    lab.RelayedProxy
	heardAt    time.Duration
	reportedAt time.Duration // time of the last request that the leader has answered with the proxy in it
	news       int           // number of changes that must reach the leader
	reported   int           // number of those changes that the leader has learned
}

// reportedProxy is a proxy in a request to the leader.
type reportedProxy struct {
	proxy *watchingProxy
	news  int // value of watchingProxy.news in the request
}

func newRelay(k *Controller) *relay {
	y := &relay{
		controller: k, interrupt: make(chan struct{}, 1), watching: map[lab.InstanceID]*watchingProxy{},
		acknowledged: map[string]lab.CommitPosition{},
	}
	y.permissions.begin(k.startedAt)

	return y
}

// run watches the leader while another instance is the leader.
func (y *relay) run(ctx context.Context) error {
	for ctx.Err() == nil {
		l, ok := y.controller.leader()
		if !ok {
			_ = y.controller.Clock.Sleep(ctx, relaySpacing) // returns early only when the context ends

			continue
		}

		started := y.controller.Clock.Now()

		if err := y.watch(ctx, labvoters.Address(l)); err != nil {
			y.controller.Log.Debug().Err(err).Str("leader", string(l)).Msg("relay_watch_failed")
		}

		_ = y.controller.Clock.Sleep(ctx, relaySpacing-(y.controller.Clock.Now()-started))
	}

	return nil
}

// watch sends one watch to the leader and stores the response. A report that must reach the leader at once ends it early.
func (y *relay) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()

	// The request has all news up to now.
	select {
	case <-y.interrupt:
	default:
	}

	r, reported := y.request(address)
	sentAt := y.controller.Clock.Now()

	var a lab.WatchResponse

	done := make(chan error, 1)

	go func() { done <- y.controller.Transport.Call(ctx, address, lab.MethodWatch, r, &a) }()

	select {
	case err := <-done:
		if err != nil {
			return errors.Newf("watch leader %s: %w", address, err)
		}
	case <-y.interrupt:
		cancel()

		return errors.Wrap(<-done, "interrupted")
	}

	if a.Leader != "" {
		return errors.Newf("%s is no longer the leader", address)
	}

	if err := y.store(address, r, a, sentAt); err != nil {
		return err
	}

	y.markReported(reported, sentAt)
	y.controller.notifyWaiters()

	return nil
}

// request returns the next request to the leader and the proxies that it reports.
func (y *relay) request(address string) (lab.WatchRequest, []reportedProxy) {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	now := y.controller.Clock.Now()
	r := lab.WatchRequest{Relay: true, MaxWait: relayWait}
	r.Proxy.ID, r.Permissions = y.controller.participation().identity.id, y.permissions.report(now)

	// A proxy that doesn't confirm a list stops to count when its grant ends.
	if r.Permissions.Confirmed != r.Permissions.Applied {
		r.MaxWait = unconfirmedRelayWait
	}

	r.MembersRevision, r.AcceptsChanges = y.controller.memberLists.list.Revision(), true

	// Another leader has its own revisions of the list of proxies and its own clock.
	if address == y.leader {
		r.LeaderEpoch, r.ProxiesRevision = y.latest.LeaderEpoch, y.latest.ProxiesRevision
		r.ClockEpoch = y.clock.Epoch()

		for _, p := range y.observed.Newest(now) {
			if t, ok := y.clock.ToPeer(p.RequestedAt); ok {
				p.RequestedAt = t
				r.Positions = append(r.Positions, p)
			}
		}
	} else {
		y.bounds.Reset()
	}

	r.Acknowledged = y.bounds.Changed(y.acknowledgedLocked())

	r.ConfigurationVersion = y.controller.participation().state.Document().Version

	return r, y.addRelayed(&r, now)
}

// addRelayed adds the watching proxies with news to a request. It forgets those that have stopped watching.
func (y *relay) addRelayed(r *lab.WatchRequest, now time.Duration) []reportedProxy {
	var reported []reportedProxy

	for id, p := range y.watching {
		age, changed := now-p.heardAt, p.news > p.reported
		if age > proxyReportInterval {
			delete(y.watching, id)
		}

		// A proxy that has not been heard from may watch another instance by now, which then reports it.
		if !changed && (age > reportMaxAge || (len(p.relayed.Primaries) == 0 && now-p.reportedAt < proxyReportInterval)) {
			continue
		}

		r.Relayed = append(r.Relayed, p.relayed)
		reported = append(reported, reportedProxy{p, p.news})
	}

	return reported
}

// markReported records that the leader has learned of proxies.
func (y *relay) markReported(proxies []reportedProxy, sentAt time.Duration) {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	for _, p := range proxies {
		p.proxy.reportedAt, p.proxy.reported = sentAt, p.news
	}
}

// store stores a response of the leader.
func (y *relay) store(address string, r lab.WatchRequest, a lab.WatchResponse, sentAt time.Duration) error {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	now := y.controller.Clock.Now()

	y.bounds.RecordResponse(a.ClockEpoch, a.LeaderEpoch, r.Acknowledged)

	if err := y.storeProxies(r, a); err != nil {
		return errors.Newf("read list of proxies: %w", err)
	}

	if err := y.storeMembers(r, a); err != nil {
		return errors.Newf("read list of members: %w", err)
	}

	if a.ProxiesRevision == 0 && a.LeaderEpoch == r.LeaderEpoch {
		a.ProxiesRevision = r.ProxiesRevision // unchanged
	}

	y.permissions.apply(a.Permissions, sentAt)

	if len(a.PackedPositions) > 0 {
		if err := labpack.Decode(a.PackedPositions, &a.Positions); err != nil {
			return errors.Newf("read positions: %w", err)
		}
	}

	a.Proxies, a.ProxyChanges, a.Members, a.MemberChanges, a.PackedPositions = nil, nil, nil, nil, nil
	y.leader, y.receivedAt, y.latest = address, now, a
	y.clock.RecordExchange(a.ClockEpoch, sentAt, a.ReceivedAt, a.SentAt, now)

	for i := range a.Positions {
		a.Positions[i].RequestedAt, _ = y.clock.ToLocal(a.Positions[i].RequestedAt)
	}

	y.controller.recordPositions(a.Positions, now)
	y.controller.recordLeaving(a.Leaving)

	return nil
}

// storeMembers applies the list of members in a response, or its changes.
func (y *relay) storeMembers(r lab.WatchRequest, a lab.WatchResponse) error {
	list := &y.controller.memberLists.list

	switch {
	case len(a.Members) > 0:
		var l lab.MemberList
		if err := labpack.Decode(a.Members, &l); err != nil {
			return err
		}

		list.Replace(l, a.MembersComplete, a.MembersRevision)
	case len(a.MemberChanges) > 0:
		var c lab.MemberChanges
		if err := labpack.Decode(a.MemberChanges, &c); err != nil {
			return err
		}

		list.Apply(r.MembersRevision, c, a.MembersComplete, a.MembersRevision)
	}

	return nil
}

// storeProxies applies the list of proxies in a response, or its changes. The mutex must be held.
func (y *relay) storeProxies(r lab.WatchRequest, a lab.WatchResponse) error {
	switch {
	case len(a.Proxies) > 0:
		var all []lab.Instance
		if err := labpack.Decode(a.Proxies, &all); err != nil {
			return err
		}

		y.proxies, y.packed, y.changes = map[lab.InstanceID]lab.Instance{}, a.Proxies, nil
		for _, p := range all {
			y.proxies[p.ID] = p
		}
	case len(a.ProxyChanges) > 0:
		var c lab.ProxyChanges
		if err := labpack.Decode(a.ProxyChanges, &c); err != nil {
			return err
		}

		for _, id := range c.Removed {
			delete(y.proxies, id)
		}

		for _, p := range c.Set {
			y.proxies[p.ID] = p
		}

		y.packed = nil
		y.changes = append(y.changes, relayedChange{r.ProxiesRevision, a.ProxiesRevision, c})
		y.changes = slices.Delete(y.changes, 0, max(0, len(y.changes)-maxRelayChanges))
	case r.LeaderEpoch != a.LeaderEpoch:
		// The new leader has no complete list yet. Proxies keep theirs.
		y.proxies, y.packed, y.changes = nil, nil, nil
	}

	return nil
}

// record records a watch of a proxy. News that can't wait interrupt the watch at the leader.
func (y *relay) record(r lab.WatchRequest, now time.Duration) {
	if r.Relay {
		return
	}

	if r.ClockEpoch == y.controller.epochBase {
		y.observed.Record(r.Positions, now)
	}

	y.mutex.Lock()
	defer y.mutex.Unlock()

	p, known := y.watching[r.Proxy.ID]
	if !known {
		p = &watchingProxy{}
		y.watching[r.Proxy.ID] = p
	}

	urgent := !known || p.relayed.Draining != r.Draining || p.relayed.Proxy != r.Proxy ||
		failing(r.Primaries) > failing(p.relayed.Primaries)
	p.relayed, p.heardAt = lab.RelayedProxy{Proxy: r.Proxy, Draining: r.Draining, Primaries: r.Primaries}, now

	if urgent {
		p.news++
	}

	if !y.permissions.record(r, now) && !urgent {
		return
	}

	select {
	case y.interrupt <- struct{}{}:
	default:
	}
}

// failing returns the number of primaries that a proxy can't reach.
func failing(reports []lab.PrimaryReport) int {
	n := 0

	for _, r := range reports {
		if r.UnreachableFor > 0 {
			n++
		}
	}

	return n
}

func (y *relay) available() bool {
	l, ok := y.controller.leader()

	y.mutex.Lock()
	defer y.mutex.Unlock()

	return ok && labvoters.Address(l) == y.leader && y.controller.Clock.Now()-y.receivedAt < relayMaxAge
}

func (y *relay) leaderEpoch() uint64 {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	return y.latest.LeaderEpoch
}

func (y *relay) membersRevision() uint64 { return y.controller.memberLists.list.Revision() }

func (y *relay) documentVersion() uint64 {
	return y.controller.participation().state.Document().Version
}

func (y *relay) proxiesRevision() uint64 {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	return y.latest.ProxiesRevision
}

func (y *relay) permissionsRevision() lab.PermissionRevision {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	return y.permissions.revision
}

func (y *relay) grantPermissions(r lab.WatchRequest, receivedAt, _ time.Duration) lab.PermissionGrant {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	return y.permissions.grant(r, receivedAt)
}

func (y *relay) response(r lab.WatchRequest) (lab.WatchResponse, error) {
	changed := proxyListChanged(y, r)

	y.mutex.Lock()
	defer y.mutex.Unlock()

	a := lab.WatchResponse{
		LeaderEpoch: y.latest.LeaderEpoch, ControlAddresses: y.latest.ControlAddresses, ControlZones: y.latest.ControlZones,
	}
	if err := y.controller.addMembers(r, &a); err != nil {
		return lab.WatchResponse{}, err
	}

	if d := y.controller.participation().state.Document(); d.Version > r.ConfigurationVersion {
		a.Configuration = d.Packed
	}

	if !changed {
		return a, nil
	}

	err := y.addProxyList(r, &a)

	return a, err
}

// addProxyList adds the changes of the list of proxies to a response, or the whole list if the sender's list is older
// than the known changes. The mutex must be held.
func (y *relay) addProxyList(r lab.WatchRequest, a *lab.WatchResponse) (err error) {
	a.ProxiesRevision = y.latest.ProxiesRevision

	if c, ok := y.changesSince(r); ok {
		a.ProxyChanges, err = y.controller.proxyChanges.get(a.LeaderEpoch, r.ProxiesRevision, a.ProxiesRevision, c)

		return err
	}

	if y.packed == nil {
		all := slices.SortedFunc(maps.Values(y.proxies), func(a, b lab.Instance) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})

		if y.packed, err = labpack.Encode(all); err != nil {
			return err
		}
	}

	a.Proxies = y.packed

	return nil
}

// changesSince joins the changes since the list that the sender of a watch has. A list between two known revisions
// misses part of a change; applying the whole change to it has the same result. The mutex must be held.
func (y *relay) changesSince(r lab.WatchRequest) (lab.ProxyChanges, bool) {
	if r.LeaderEpoch != y.latest.LeaderEpoch || r.ProxiesRevision == 0 || len(y.changes) == 0 ||
		r.ProxiesRevision < y.changes[0].from || r.ProxiesRevision > y.latest.ProxiesRevision {
		return lab.ProxyChanges{}, false
	}

	set, removed := map[lab.InstanceID]lab.Instance{}, map[lab.InstanceID]bool{}

	for _, c := range y.changes {
		if c.to <= r.ProxiesRevision {
			continue
		}

		for _, id := range c.change.Removed {
			removed[id] = true
			delete(set, id)
		}

		for _, p := range c.change.Set {
			set[p.ID] = p
			delete(removed, p.ID)
		}
	}

	return lab.ProxyChanges{Set: slices.Collect(maps.Values(set)), Removed: slices.Collect(maps.Keys(removed))}, true
}
