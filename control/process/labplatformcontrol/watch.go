package labplatformcontrol

import (
	"context"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/process/labpack"
)

const (
	// maxWatchWait bounds how long the response to a watch is delayed while nothing changes.
	maxWatchWait = time.Second
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

	receivedAt := k.Clock.Now()

	k.proxies.record(r)
	k.Counters.Watches.Add(1)

	if r.LeaderEpoch == k.leaderEpoch() {
		k.positions.Record(r.Positions, receivedAt)
	}

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

	a, err := k.watchResponse(r)
	a.ReceivedAt, a.SentAt, a.Positions = receivedAt, k.Clock.Now(), k.positions.Newest(k.Clock.Now())

	return a, err
}

// hasChanges reports whether there are changes that must be sent at once. Changes of the list of proxies wait for the
// next regular response unless the sender has no list yet: a proxy that has stopped is noticed by its gateway users
// themselves, and during a restart of all proxies every change would otherwise wake all watches.
func (k *Controller) hasChanges(r lab.WatchRequest) bool {
	return r.LeaderEpoch != k.leaderEpoch() || r.MembersRevision != k.membersRevision() ||
		r.ConfigurationVersion < k.participation().state.Document().Version ||
		(r.ProxiesRevision == 0 && k.proxyListChanged(r))
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
		if err := k.addProxyList(r, &a); err != nil {
			return lab.WatchResponse{}, err
		}
	}

	for _, m := range k.participation().group.Membership().Instances() {
		a.ControlAddresses = append(a.ControlAddresses, labvoters.Address(m))
	}

	return a, nil
}

// addProxyList adds the changes of the list of proxies to a response, or the whole list if the sender has no list of
// this leader or one that is too old.
func (k *Controller) addProxyList(r lab.WatchRequest, a *lab.WatchResponse) (err error) {
	a.ProxiesRevision = k.proxyListRevision()

	if r.LeaderEpoch == a.LeaderEpoch && r.ProxiesRevision > 0 {
		if c, ok := k.proxies.changesSince(r.ProxiesRevision - 1); ok {
			a.ProxyChanges, err = labpack.Encode(c)

			return err
		}
	}

	a.Proxies, err = k.proxyLists.get(a.LeaderEpoch, a.ProxiesRevision, func() any { return k.proxies.list() })

	return err
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
