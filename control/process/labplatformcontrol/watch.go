package labplatformcontrol

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
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
	// manyPositions is the number of positions from which they are sent compressed and up to 100 ms late.
	manyPositions = 64
	// redirectAfter is how long an instance that knows the leader but can't watch it waits before it sends its proxies to
	// the leader. Hundreds of proxies at once would overload a leader that has just been elected.
	redirectAfter = 2 * time.Second
)

func (k *Controller) handleWatch(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r lab.WatchRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	receivedAt := k.Clock.Now()

	v := k.view()
	if !v.available() {
		return k.redirect()
	}

	k.recordWatch(r, receivedAt)
	k.awaitChanges(ctx, v, r)

	// The leader may have changed meanwhile. What is granted counts from a time before that is checked, since the process may
	// be suspended after the check.
	now := k.Clock.Now()

	if v = k.view(); !v.available() {
		return nil, lab.ErrNotLeader
	}

	a, err := v.response(r)
	a.ClockEpoch, a.ReceivedAt, a.SentAt = k.epochBase, receivedAt, k.Clock.Now()
	a.Leaving = k.registry.Leaving()

	if err == nil {
		err = k.addPositions(r, &a)
	}

	if err == nil {
		a.Permissions = v.grantPermissions(r, receivedAt, now)
	}

	return a, err
}

// addPositions adds the newest positions of the primaries to a response.
func (k *Controller) addPositions(r lab.WatchRequest, a *lab.WatchResponse) (err error) {
	if r.AcceptsChanges && k.positions.Len() > manyPositions {
		a.PackedPositions, err = k.positions.Packed(a.SentAt)
	} else {
		a.Positions = k.positions.Newest(a.SentAt)
	}

	return err
}

// redirect names the leader in the response, or returns an error if it is unknown. An instance that has just started to
// watch the leader answers soon, so it doesn't send its proxies to the leader.
func (k *Controller) redirect() (any, error) {
	l, ok := k.leader()
	if !ok || k.Clock.Now()-k.participation().group.Leadership().Since < redirectAfter {
		return nil, lab.ErrNotLeader
	}

	return lab.WatchResponse{Leader: lab.InstanceID(labvoters.Address(l))}, nil
}

// recordWatch records what the sender of a watch and the proxies that watch the sender report.
func (k *Controller) recordWatch(r lab.WatchRequest, receivedAt time.Duration) {
	k.Counters.Watches.Add(1)

	if r.ClockEpoch == k.epochBase {
		k.recordPositions(r.Positions, receivedAt)
	}

	k.recordAcknowledged(r.Acknowledged)

	if !k.Leading() {
		k.relay.record(r, receivedAt)

		return
	}

	k.recordPermissions(r, receivedAt)

	if !r.Relay {
		k.proxies.record(r)
	}

	for _, p := range r.Relayed {
		k.proxies.record(lab.WatchRequest{Proxy: p.Proxy, Draining: p.Draining, Primaries: p.Primaries})
	}
}

// awaitChanges waits until there are changes for the sender of a watch, at most for the time that the sender allows.
func (k *Controller) awaitChanges(ctx context.Context, v view, r lab.WatchRequest) {
	timer := time.NewTimer(min(r.MaxWait, maxWatchWait))
	defer timer.Stop()

	for {
		c := k.changes()
		if hasChanges(v, r) || !v.available() {
			return
		}

		select {
		case <-c:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// leaderEpoch returns a number that differs between leaders and between runs of a process. Revisions can be compared
// only within one leader epoch.
func (k *Controller) leaderEpoch() uint64 {
	return k.epochBase + k.participation().group.Leadership().Term
}

// addProxyList adds the changes of the list of proxies to a response, or the whole list if the sender has no list of
// this leader or one that is too old.
func (k *Controller) addProxyList(r lab.WatchRequest, a *lab.WatchResponse) (err error) {
	a.ProxiesRevision = leaderView{k}.proxiesRevision()

	if r.LeaderEpoch == a.LeaderEpoch && r.ProxiesRevision > 0 {
		if c, ok := k.proxies.changesSince(r.ProxiesRevision - 1); ok {
			a.ProxyChanges, err = k.proxyChanges.get(a.LeaderEpoch, r.ProxiesRevision, a.ProxiesRevision, c)

			return err
		}
	}

	a.Proxies, err = k.proxyLists.get(a.LeaderEpoch, a.ProxiesRevision, func() any { return k.proxies.list() })

	return err
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

// proxyListKnown reports whether this instance has a complete proxy list, as the leader or from the leader.
func (k *Controller) proxyListKnown() bool {
	return k.proxiesComplete() || k.proxies.inheritedValidAt(k.Clock.Now())
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
