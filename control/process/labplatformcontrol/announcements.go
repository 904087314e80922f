package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	// broadcastInterval bounds how outdated the member registry of another control instance is when that instance
	// becomes the leader.
	broadcastInterval = 400 * time.Millisecond
	broadcastTimeout  = 400 * time.Millisecond
	// proxyListRounds is the interval, in broadcasts, at which a broadcast includes the proxy list. The list is long,
	// changes little and stays valid for seconds.
	proxyListRounds = 5
)

// Announce records a member's announcement. If it returns nil, the leader has received the announcement.
func (k *Controller) Announce(ctx context.Context, a lab.Announcement) error {
	if a.Region == "" {
		a.Region = k.RegionByZone[a.AvailabilityZone]
	}

	if k.Leading() {
		k.applyAnnouncement(a)

		return nil
	}

	l, ok := k.leader()
	if !ok {
		return lab.ErrNotLeader
	}

	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()

	if err := k.Transport.Call(ctx, labvoters.Address(l), methodAnnounce, a, nil); err != nil {
		return errors.Newf("forward announcement: %w", err)
	}

	k.registry.Apply(a, 0)

	return nil
}

func (k *Controller) applyAnnouncement(a lab.Announcement) {
	newer, changed := k.registry.Apply(a, 0)
	k.Counters.Announcements.Add(1)

	if changed {
		k.Log.Info().Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
			Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).Bool("primary", a.Primary).
			Bool("leaving", a.Draining).Bool("gone", a.Terminated).Msg("member_changed")
	} else if !newer {
		k.Log.Info().Str("member", a.Member).Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).
			Msg("announcement_outdated")
	}
}

func (k *Controller) handleAnnounce(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var a lab.Announcement
	if err := decode(&a); err != nil {
		return nil, err
	}

	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	k.applyAnnouncement(a)

	return struct{}{}, nil
}

// broadcast keeps the member registries of the other control instances up to date while this instance is the leader.
func (k *Controller) broadcast(ctx context.Context) error {
	for round := 0; k.Clock.Sleep(ctx, broadcastInterval) == nil; round++ {
		if !k.Leading() {
			continue
		}

		r := k.buildBroadcast()
		if round%proxyListRounds == 0 {
			r.Proxies, r.ProxiesComplete = k.proxies.list(), k.proxiesComplete()
		}

		for _, m := range k.participation().group.Membership().Instances() {
			if m != k.participation().identity.id {
				go k.broadcastTo(ctx, labvoters.Address(m), r)
			}
		}
	}

	return nil
}

func (k *Controller) buildBroadcast() broadcastRequest {
	var r broadcastRequest

	for _, e := range k.registry.Entries() {
		r.Observations = append(r.Observations, observation{Announcement: e.Announcement, Age: k.Clock.Now() - e.LastHeard})
	}

	return r
}

func (k *Controller) broadcastTo(ctx context.Context, address string, r broadcastRequest) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()

	// An error needs no handling, since the next round sends the same data again.
	_ = k.Transport.Call(ctx, address, methodBroadcast, r, nil)
}

func (k *Controller) handleBroadcast(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r broadcastRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	if !k.Leading() {
		k.proxies.mergeInherited(r.Proxies, r.ProxiesComplete)
	}

	for _, s := range r.Observations {
		k.registry.Apply(s.Announcement, s.Age)
	}

	return struct{}{}, nil
}
