package labkeeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labsuccession"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = time.Second
	// proxyExpiry is how long a proxy counts after its last watch. It covers a change of leaders, since gateways that move
	// cost every member new connections.
	proxyExpiry = 8 * time.Second
	// A leader takes the proxies it knows for all when it has led for proxySettleTime, two of their watches, and none has
	// been new for proxyQuietTime, at the latest after proxyLatest.
	proxySettleTime   = 1200 * time.Millisecond
	proxyQuietTime    = time.Second
	proxyListDeadline = 6 * time.Second
	// membersCompleteAfter is how long an instance must have run to have heard every member, three announcements' intervals.
	membersCompleteAfter = 4 * time.Second
)

// proxyRegistry holds the newest reports of the proxies.
type proxyRegistry struct {
	clock lab.Clock

	mutex       sync.Mutex
	proxies     map[lab.InstanceID]*proxyEntry
	changes     uint64        // grows with each proxy that comes or goes
	lastNewAt   time.Duration // when the last new proxy came
	inheritedAt time.Duration // when another leader's list was taken over last, 0 for never
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

// mergeInherited takes over the proxies that another leader knows.
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

// sinceLastNew returns for how long no new proxy has come.
func (w *proxyRegistry) sinceLastNew() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.clock.Now() - w.lastNewAt
}

// inheritedValidAt reports whether the list of another leader was still valid at the given time.
func (w *proxyRegistry) inheritedValidAt(since time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.inheritedAt > 0 && w.inheritedAt+proxyExpiry > since
}

// removeSilent forgets silent proxies and returns a number that grows with each change.
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

// list returns the proxies by name.
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

// countReports counts the proxies that recently failed to reach a member and those that reached it.
func (w *proxyRegistry) countReports(service, member string) (failing, reaching int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for _, p := range w.proxies {
		if w.clock.Now()-p.lastHeard > labsuccession.ReportMaxAge {
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
	return r.LeaderEpoch != k.epoch() || r.Revision != k.revision() || r.ConfigurationVersion < k.membership().record.Document().Version ||
		k.proxyListChanged(r)
}

// epoch distinguishes the revisions of different reigns.
func (k *Controller) epoch() uint64 {
	return k.epochBase + k.membership().group.Leadership().Term
}

func (k *Controller) revision() uint64 {
	r := k.registry.Revision()<<1 | boolBit(k.membersComplete())

	for _, s := range k.services() {
		if p, ok := k.membership().record.Promotion(s); ok && p.Done {
			r += p.Token << 20 // far above the roster's changes between two promotions
		}
	}

	return r
}

// proxyListRevision numbers the lists of proxies; it is 0 until the list is known.
func (k *Controller) proxyListRevision() uint64 {
	if !k.proxiesKnown() {
		return 0
	}

	return k.proxies.removeSilent() + 1
}

// proxyListChanged reports whether the sender of a watch holds another list of proxies than the one in force.
func (k *Controller) proxyListChanged(r lab.WatchRequest) bool {
	p := k.proxyListRevision()

	return p > 0 && (r.LeaderEpoch != k.epoch() || r.ProxiesRevision != p)
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}

	return 0
}

func (k *Controller) watchResponse(r lab.WatchRequest) (lab.WatchResponse, error) {
	a := lab.WatchResponse{LeaderEpoch: k.epoch(), Revision: k.revision(), MembersComplete: k.membersComplete()}

	if d := k.membership().record.Document(); d.Version > r.ConfigurationVersion {
		a.Configuration = d.Packed
	}

	var err error

	if r.LeaderEpoch != a.LeaderEpoch || r.Revision != a.Revision {
		if a.Members, err = k.memberLists.get(a.LeaderEpoch, a.Revision, k.memberList); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	if k.proxyListChanged(r) {
		a.ProxiesRevision = k.proxyListRevision()
		if a.Proxies, err = k.proxyLists.get(a.LeaderEpoch, a.ProxiesRevision, func() any { return k.proxies.list() }); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	for _, m := range k.membership().group.Members().Instances() {
		a.ControlAddresses = append(a.ControlAddresses, labvoters.Address(m))
	}

	return a, nil
}

func (k *Controller) memberList() any {
	return lab.MemberList{Members: k.members(), Primaries: k.primaries()}
}

// proxiesKnown reports whether this instance has the list of its predecessor or has led long enough to have heard from
// every proxy.
func (k *Controller) proxiesKnown() bool {
	l := k.membership().group.Leadership()
	if l.Self && k.proxies.inheritedValidAt(l.Since) {
		return true
	}

	led := k.Clock.Now() - l.Since

	return l.Self && led > proxySettleTime && (k.proxies.sinceLastNew() > proxyQuietTime || led > proxyListDeadline)
}

// membersComplete reports whether this instance has run long enough to have heard every member.
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
