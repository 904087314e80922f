package labplatformcontrol

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labfailover"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	// maxWatchWait bounds how long the response to a watch is delayed while nothing changes.
	maxWatchWait = time.Second
	// proxyExpiry is how long a proxy stays in the list after its last watch. It covers a change of the leader: if
	// proxies dropped out of the list in the meantime, gateways would move and every member would have to accept new
	// connections.
	proxyExpiry = 8 * time.Second
	// A leader considers its proxy list complete once it has been the leader for proxySettleTime, which is two watch
	// intervals, and no new proxy has appeared for proxyQuietTime. After proxyListDeadline the list counts as complete
	// in any case.
	proxySettleTime   = 1200 * time.Millisecond
	proxyQuietTime    = time.Second
	proxyListDeadline = 6 * time.Second
	// membersCompleteAfter is the run time after which an instance has heard from every member. It covers three
	// announcement intervals.
	membersCompleteAfter = 4 * time.Second
)

// proxyRegistry holds the newest report of each proxy.
type proxyRegistry struct {
	clock lab.Clock

	mutex       sync.Mutex
	proxies     map[lab.InstanceID]*proxyEntry
	changes     uint64        // grows when a proxy is added, changed or removed
	lastNewAt   time.Duration // time when the last new proxy appeared
	inheritedAt time.Duration // time when mergeInherited was last called with proxies, 0 for never
}

type proxyEntry struct {
	proxy     lab.Instance
	lastHeard time.Duration
	reports   []lab.PrimaryReport
}

func (w *proxyRegistry) record(r lab.WatchRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*proxyEntry{}
	}

	old, known := w.proxies[r.Proxy.ID]

	switch {
	case r.Draining && known:
		delete(w.proxies, r.Proxy.ID)

		w.changes++
	case !r.Draining:
		if !known || old.proxy != r.Proxy {
			w.changes++
			w.lastNewAt = w.clock.Now()
		}

		w.proxies[r.Proxy.ID] = &proxyEntry{proxy: r.Proxy, lastHeard: w.clock.Now(), reports: r.Primaries}
	}
}

// mergeInherited adds the proxies of a list that the leader broadcast, or that was stored on disk.
func (w *proxyRegistry) mergeInherited(proxies []lab.Instance) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if len(proxies) > 0 {
		w.inheritedAt = w.clock.Now()
	}

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*proxyEntry{}
	}

	for _, p := range proxies {
		old, known := w.proxies[p.ID]
		if !known || old.proxy != p {
			w.changes++
		}

		w.proxies[p.ID] = &proxyEntry{proxy: p, lastHeard: w.clock.Now()}
	}
}

// sinceLastNew returns the time since the last new proxy appeared.
func (w *proxyRegistry) sinceLastNew() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.clock.Now() - w.lastNewAt
}

// inheritedValidAt reports whether the list that was merged last was still valid at the given time.
func (w *proxyRegistry) inheritedValidAt(at time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.inheritedAt > 0 && w.inheritedAt+proxyExpiry > at
}

// removeSilent removes the proxies that have sent no watch for proxyExpiry, and returns a number that grows with each
// change of the list.
func (w *proxyRegistry) removeSilent() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	now := w.clock.Now()

	for id, p := range w.proxies {
		if now-p.lastHeard > proxyExpiry {
			delete(w.proxies, id)

			w.changes++
		}
	}

	return w.changes
}

// list returns the proxies sorted by name.
func (w *proxyRegistry) list() []lab.Instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	out := make([]lab.Instance, 0, len(w.proxies))
	for _, p := range w.proxies {
		out = append(out, p.proxy)
	}

	slices.SortFunc(out, func(a, b lab.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })

	return out
}

// countReports counts the proxies that recently failed to reach a member and those that recently reached it.
func (w *proxyRegistry) countReports(service, member string) (failing, reaching int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for _, p := range w.proxies {
		if w.clock.Now()-p.lastHeard > labfailover.ReportMaxAge {
			continue
		}

		for _, r := range p.reports {
			switch {
			case r.Service != service || r.Member != member:
			case r.UnreachableFor > 0:
				failing++
			default:
				reaching++
			}
		}
	}

	return failing, reaching
}

func (k *Controller) handleWatch(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r lab.WatchRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	if !k.Leading() {
		l, ok := k.leader()
		if !ok {
			return nil, lab.ErrNotLeader
		}

		return lab.WatchResponse{Leader: lab.InstanceID(labvoters.Address(l))}, nil
	}

	k.proxies.record(r)
	k.Counters.Watches.Add(1)

	timer := time.NewTimer(min(r.MaxWait, maxWatchWait))
	defer timer.Stop()

	for {
		c := k.changes()
		if k.hasChanges(r) {
			break
		}

		select {
		case <-c:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}

		break
	}

	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	return k.watchResponse(r)
}

func (k *Controller) hasChanges(r lab.WatchRequest) bool {
	return r.LeaderEpoch != k.leaderEpoch() || r.MembersRevision != k.membersRevision() ||
		r.ConfigurationVersion < k.participation().state.Document().Version ||
		k.proxyListChanged(r)
}

// leaderEpoch returns a number that differs between leaders and between runs of a process. Revisions can be compared
// only within one leader epoch.
func (k *Controller) leaderEpoch() uint64 {
	return k.epochBase + k.participation().group.Leadership().Term
}

func (k *Controller) membersRevision() uint64 {
	r := k.registry.Revision()<<1 | boolBit(k.membersComplete())

	for _, s := range k.services() {
		if p, ok := k.participation().state.Promotion(s); ok && p.Confirmed {
			r += p.Token << 20 // 1<<20 is far above the number of registry changes between two promotions
		}
	}

	return r
}

// proxyListRevision returns the revision of the proxy list, or 0 while the list is incomplete.
func (k *Controller) proxyListRevision() uint64 {
	if !k.proxiesComplete() {
		return 0
	}

	return k.proxies.removeSilent() + 1
}

// proxyListChanged reports whether the proxy list is complete and differs from the list that the sender of a watch has.
func (k *Controller) proxyListChanged(r lab.WatchRequest) bool {
	p := k.proxyListRevision()

	return p > 0 && (r.LeaderEpoch != k.leaderEpoch() || r.ProxiesRevision != p)
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}

	return 0
}

func (k *Controller) watchResponse(r lab.WatchRequest) (lab.WatchResponse, error) {
	a := lab.WatchResponse{
		LeaderEpoch: k.leaderEpoch(), MembersRevision: k.membersRevision(), MembersComplete: k.membersComplete(),
	}

	if d := k.participation().state.Document(); d.Version > r.ConfigurationVersion {
		a.Configuration = d.Packed
	}

	var err error

	if r.LeaderEpoch != a.LeaderEpoch || r.MembersRevision != a.MembersRevision {
		if a.Members, err = k.memberLists.get(a.LeaderEpoch, a.MembersRevision, k.memberList); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	if k.proxyListChanged(r) {
		a.ProxiesRevision = k.proxyListRevision()
		if a.Proxies, err = k.proxyLists.get(a.LeaderEpoch, a.ProxiesRevision, func() any { return k.proxies.list() }); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	for _, m := range k.participation().group.Membership().Instances() {
		a.ControlAddresses = append(a.ControlAddresses, labvoters.Address(m))
	}

	return a, nil
}

func (k *Controller) memberList() any {
	return lab.MemberList{Members: k.members(), Primaries: k.primaries()}
}

// proxiesComplete reports whether the proxy list is complete: this instance had a valid list when it became the leader,
// or it has been the leader long enough to have heard from every proxy.
func (k *Controller) proxiesComplete() bool {
	l := k.participation().group.Leadership()
	if l.IsLeader && k.proxies.inheritedValidAt(l.Since) {
		return true
	}

	led := k.Clock.Now() - l.Since

	return l.IsLeader && led > proxySettleTime && (k.proxies.sinceLastNew() > proxyQuietTime || led > proxyListDeadline)
}

// membersComplete reports whether this instance has run long enough to have heard from every member.
func (k *Controller) membersComplete() bool {
	return k.Clock.Now()-k.startedAt > membersCompleteAfter
}

func (k *Controller) members() []lab.Announcement {
	var out []lab.Announcement

	for _, e := range k.registry.Entries() {
		out = append(out, e.Announcement)
	}

	return out
}

func (k *Controller) services() []string {
	var out []string

	for _, e := range k.registry.Entries() {
		out = append(out, e.Announcement.Database)
	}

	slices.Sort(out)

	return slices.Compact(out)
}
