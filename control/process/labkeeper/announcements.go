package labkeeper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	// spreadInterval bounds how old the roster of another control instance is when it becomes the leader.
	spreadInterval = 400 * time.Millisecond
	spreadTimeout  = 400 * time.Millisecond
	// proxiesEvery rounds the list of proxies goes with them; it is far longer than what changes, and holds for seconds.
	proxiesEvery = 5
)

// Announce takes over a member's announcement; nil means that the leader knows it.
func (k *Keeper) Announce(ctx context.Context, a lab.Announcement) error {
	if a.Region == "" {
		a.Region = k.Regions[a.AvailabilityZone]
	}

	if k.Leading() {
		k.announce(a)

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

	k.roster.Apply(a, 0)

	return nil
}

func (k *Keeper) announce(a lab.Announcement) {
	news, material := k.roster.Apply(a, 0)
	k.Counters.Announcements.Add(1)

	if material {
		k.Log.Info().Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
			Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).Bool("primary", a.Primary).
			Bool("leaving", a.Draining).Bool("gone", a.Terminated).Msg("member_changed")
	} else if !news {
		k.Log.Info().Str("member", a.Member).Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).
			Msg("announcement_outdated")
	}
}

func (k *Keeper) handleAnnounce(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var a lab.Announcement
	if err := decode(&a); err != nil {
		return nil, err
	}

	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	k.announce(a)

	return struct{}{}, nil
}

// spread keeps the rosters of the other control instances up to date while this one leads.
func (k *Keeper) spread(ctx context.Context) error {
	for round := 0; k.Clock.Sleep(ctx, spreadInterval) == nil; round++ {
		if !k.Leading() {
			continue
		}

		r := k.sightings()
		if round%proxiesEvery == 0 {
			r.Proxies = k.watchers.all()
		}

		for _, m := range k.part().group.Members().Instances() {
			if m != k.part().identity.id {
				go k.spreadTo(ctx, labvoters.Address(m), r)
			}
		}
	}

	return nil
}

func (k *Keeper) sightings() spreadRequest {
	var r spreadRequest

	for _, e := range k.roster.Entries() {
		r.Sightings = append(r.Sightings, sighting{Announcement: e.Announcement, Age: k.Clock.Now() - e.Heard})
	}

	return r
}

func (k *Keeper) spreadTo(ctx context.Context, address string, r spreadRequest) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()

	// The next round repeats what this one could not deliver.
	_ = k.Transport.Call(ctx, address, methodSpread, r, nil)
}

func (k *Keeper) handleSpread(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r spreadRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	if !k.Leading() {
		k.watchers.inherit(r.Proxies)
	}

	for _, s := range r.Sightings {
		k.roster.Apply(s.Announcement, s.Age)
	}

	return struct{}{}, nil
}
