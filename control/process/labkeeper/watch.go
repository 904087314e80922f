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
	// watchLimit bounds the wait of a watch.
	watchLimit = time.Second
	// proxyAge is how long a proxy counts after its last watch. It covers a change of leaders, since gateways that move
	// cost every member new connections.
	proxyAge = 8 * time.Second
	// A leader takes the proxies it knows for all when it has led for proxySettleTime, two of their watches, and none has
	// been new for proxyQuietTime, at the latest after proxyLatest.
	proxySettleTime = 1200 * time.Millisecond
	proxyQuietTime  = time.Second
	proxyLatest     = 6 * time.Second
	// settleTime is how long an instance must have run to have heard every member, three announcements' intervals.
	settleTime = 4 * time.Second
)

// watchers holds the newest reports of the proxies.
type watchers struct {
	clock lab.Clock

	mutex     sync.Mutex
	proxies   map[lab.InstanceID]*watcher
	changes   uint64        // grows with each proxy that comes or goes
	arrived   time.Duration // when the last new proxy came
	inherited time.Duration // when another leader's list was taken over last, 0 for never
}

type watcher struct {
	proxy   lab.Instance
	heard   time.Duration
	reports []lab.PrimaryReport
}

func (w *watchers) note(r lab.WatchRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*watcher{}
	}

	old, known := w.proxies[r.Proxy.ID]

	switch {
	case r.Draining && known:
		delete(w.proxies, r.Proxy.ID)

		w.changes++
	case !r.Draining:
		if !known || old.proxy != r.Proxy {
			w.changes++
			w.arrived = w.clock.Now()
		}

		w.proxies[r.Proxy.ID] = &watcher{proxy: r.Proxy, heard: w.clock.Now(), reports: r.Primaries}
	}
}

// inherit takes over the proxies that another leader knows.
func (w *watchers) inherit(proxies []lab.Instance) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if len(proxies) > 0 {
		w.inherited = w.clock.Now()
	}

	if w.proxies == nil {
		w.proxies = map[lab.InstanceID]*watcher{}
	}

	for _, p := range proxies {
		old, known := w.proxies[p.ID]
		if !known || old.proxy != p {
			w.changes++
		}

		w.proxies[p.ID] = &watcher{proxy: p, heard: w.clock.Now()}
	}
}

// quiet returns for how long no new proxy has come.
func (w *watchers) quiet() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.clock.Now() - w.arrived
}

// heir reports whether the list of another leader was still valid at the given time.
func (w *watchers) heir(since time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.inherited > 0 && w.inherited+proxyAge > since
}

// sweep forgets silent proxies and returns a number that grows with each change.
func (w *watchers) sweep() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	now := w.clock.Now()

	for id, p := range w.proxies {
		if now-p.heard > proxyAge {
			delete(w.proxies, id)

			w.changes++
		}
	}

	return w.changes
}

// all returns the proxies by name.
func (w *watchers) all() []lab.Instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	out := make([]lab.Instance, 0, len(w.proxies))
	for _, p := range w.proxies {
		out = append(out, p.proxy)
	}

	slices.SortFunc(out, func(a, b lab.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })

	return out
}

// votes counts the proxies that recently failed to reach a member and those that reached it.
func (w *watchers) votes(service, member string) (failing, reaching int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for _, p := range w.proxies {
		if w.clock.Now()-p.heard > labsuccession.ReportAge {
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

func (k *Keeper) handleWatch(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
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

	k.watchers.note(r)
	k.Counters.Watches.Add(1)

	timer := time.NewTimer(min(r.MaxWait, watchLimit))
	defer timer.Stop()

	for {
		c := k.change()
		if k.news(r) {
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

	return k.answer(r)
}

func (k *Keeper) news(r lab.WatchRequest) bool {
	return r.LeaderEpoch != k.epoch() || r.Revision != k.revision() || r.ConfigurationVersion < k.part().record.Document().Version ||
		k.moved(r)
}

// epoch distinguishes the revisions of different reigns.
func (k *Keeper) epoch() uint64 {
	return k.boot + k.part().group.Leadership().Term
}

func (k *Keeper) revision() uint64 {
	r := k.roster.Revision()<<1 | flag(k.complete())

	for _, s := range k.services() {
		if p, ok := k.part().record.Promotion(s); ok && p.Done {
			r += p.Token << 20 // far above the roster's changes between two promotions
		}
	}

	return r
}

// placement numbers the lists of proxies; it is 0 until the list is known.
func (k *Keeper) placement() uint64 {
	if !k.proxiesKnown() {
		return 0
	}

	return k.watchers.sweep() + 1
}

// moved reports whether the sender of a watch holds another list of proxies than the one in force.
func (k *Keeper) moved(r lab.WatchRequest) bool {
	p := k.placement()

	return p > 0 && (r.LeaderEpoch != k.epoch() || r.ProxiesRevision != p)
}

func flag(b bool) uint64 {
	if b {
		return 1
	}

	return 0
}

func (k *Keeper) answer(r lab.WatchRequest) (lab.WatchResponse, error) {
	a := lab.WatchResponse{LeaderEpoch: k.epoch(), Revision: k.revision(), MembersComplete: k.complete()}

	if d := k.part().record.Document(); d.Version > r.ConfigurationVersion {
		a.Configuration = d.Packed
	}

	var err error

	if r.LeaderEpoch != a.LeaderEpoch || r.Revision != a.Revision {
		if a.Members, err = k.memberLists.of(a.LeaderEpoch, a.Revision, k.memberList); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	if k.moved(r) {
		a.ProxiesRevision = k.placement()
		if a.Proxies, err = k.proxyLists.of(a.LeaderEpoch, a.ProxiesRevision, func() any { return k.watchers.all() }); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	for _, m := range k.part().group.Members().Instances() {
		a.ControlAddresses = append(a.ControlAddresses, labvoters.Address(m))
	}

	return a, nil
}

func (k *Keeper) memberList() any {
	return lab.MemberList{Members: k.members(), Primaries: k.primaries()}
}

// proxiesKnown reports whether this instance has the list of its predecessor or has led long enough to have heard from
// every proxy.
func (k *Keeper) proxiesKnown() bool {
	l := k.part().group.Leadership()
	if l.Self && k.watchers.heir(l.Since) {
		return true
	}

	led := k.Clock.Now() - l.Since

	return l.Self && led > proxySettleTime && (k.watchers.quiet() > proxyQuietTime || led > proxyLatest)
}

// complete reports whether this instance has run long enough to have heard every member.
func (k *Keeper) complete() bool {
	return k.Clock.Now()-k.started > settleTime
}

func (k *Keeper) members() []lab.Announcement {
	var out []lab.Announcement

	for _, e := range k.roster.Entries() {
		out = append(out, e.Announcement)
	}

	return out
}

func (k *Keeper) services() []string {
	var out []string

	for _, e := range k.roster.Entries() {
		out = append(out, e.Announcement.Database)
	}

	slices.Sort(out)

	return slices.Compact(out)
}
