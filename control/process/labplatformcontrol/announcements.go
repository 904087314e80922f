package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/process/labpack"
)

const (
	// broadcastInterval bounds how outdated the member registry of another control instance is when that instance
	// becomes the leader.
	broadcastInterval = 400 * time.Millisecond
	broadcastTimeout  = 400 * time.Millisecond
	// retainSilence is how long a member that the leader doesn't list must have been silent to be dropped. The member may
	// have announced itself here while the broadcast was on its way.
	retainSilence = 2 * time.Second
	// proxyListRounds is the interval, in broadcasts, at which a broadcast includes the proxy list. The list is long,
	// changes little and stays valid for seconds.
	proxyListRounds = 5
)

// Announce records a member's announcement. If it returns nil, the leader has received the announcement.
func (k *Controller) Announce(ctx context.Context, a lab.Announcement) error {
	if a.Region == "" {
		a.Region = k.RegionByZone[a.AvailabilityZone]
	}

	if err := k.checkService(a); err != nil {
		return err
	}

	if k.Leading() {
		return k.applyAnnouncement(a)
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

// checkService returns an error if the configuration has no service of the announced name. Such an entry comes from
// another writer. It names no member, and it could have the id or the address of one.
func (k *Controller) checkService(a lab.Announcement) error {
	if a.Terminated {
		return nil
	}

	if s := k.configuredServices(); s != nil && !s[a.Database] {
		return errors.Mark(errors.Newf("member %q: service %q is not configured", a.Member, a.Database), ErrInvalid)
	}

	return nil
}

// configuredServices returns the names of the services in the newest document, or nil if no document names a service.
func (k *Controller) configuredServices() map[string]bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.readConfigurationLocked()

	return k.serviceNames
}

// configuration returns the newest document. It is empty if there is none or it is unreadable.
func (k *Controller) configuration() *lab.Configuration {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.readConfigurationLocked()

	if k.configurationRead == nil {
		return &lab.Configuration{}
	}

	return k.configurationRead
}

// readConfigurationLocked reads the newest document unless it has been read. The mutex must be held.
func (k *Controller) readConfigurationLocked() {
	d := k.participation().state.Document()
	if d.Version == k.readVersion {
		return
	}

	k.readVersion, k.configurationRead, k.serviceNames = d.Version, nil, nil

	if d.Version == 0 {
		return
	}

	source, err := labpack.Unpack(d.Packed)
	if err != nil {
		k.Log.Error().Err(err).Uint64("version", d.Version).Msg("document_unreadable")

		return
	}

	c, err := k.DocumentReader.Read(source)
	if err != nil {
		k.Log.Error().Err(err).Uint64("version", d.Version).Msg("document_unreadable")

		return
	}

	k.configurationRead = c

	for _, s := range c.Services {
		if k.serviceNames == nil {
			k.serviceNames = map[string]bool{}
		}

		k.serviceNames[s.Name] = true
	}
}

// errOutdated is returned for an announcement of an incarnation before the known one. Since it has no effect, it isn't
// acknowledged.
var errOutdated = errors.New("a later start of the member is known")

func (k *Controller) applyAnnouncement(a lab.Announcement) error {
	newer, changed := k.registry.Apply(a, 0)
	k.Counters.Announcements.Add(1)

	if changed {
		k.Log.Info().Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
			Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).Bool("primary", a.Primary).
			Bool("leaving", a.Draining).Bool("gone", a.Terminated).Msg("member_changed")
	} else if !newer {
		k.Log.Info().Str("member", a.Member).Uint64("incarnation", a.Incarnation).Uint64("sequence", a.Sequence).
			Msg("announcement_outdated")

		if k.registry.Outdated(a) {
			return errOutdated
		}
	}

	return nil
}

func (k *Controller) handleAnnounce(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var a lab.Announcement
	if err := decode(&a); err != nil {
		return nil, err
	}

	if err := a.Validate(); err != nil {
		return nil, errors.Newf("forwarded announcement: %w", err)
	}

	if !k.Leading() {
		return nil, lab.ErrNotLeader
	}

	if err := k.checkService(a); err != nil {
		return nil, err
	}

	if err := k.applyAnnouncement(a); err != nil {
		return nil, err
	}

	return struct{}{}, nil
}

// broadcast keeps the member registries of the other control instances up to date while this instance is the leader.
func (k *Controller) broadcast(ctx context.Context) error {
	for round := 0; k.Clock.Sleep(ctx, broadcastInterval) == nil; round++ {
		l := k.leadership()
		if !l.IsLeader {
			continue
		}

		r := k.buildBroadcast()
		r.Term = l.Term

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
	r := broadcastRequest{MembersComplete: k.membersComplete(), Leaving: k.registry.Leaving()}

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

// errOutdatedBroadcast is returned for a broadcast of a former leader. It could bring back a member that has been removed
// since, and remove one that has appeared since.
var errOutdatedBroadcast = errors.New("broadcast of a former leader")

func (k *Controller) handleBroadcast(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r broadcastRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	k.broadcasts.Lock()
	defer k.broadcasts.Unlock()

	if known := max(k.broadcastTerm, k.leadership().Term); r.Term > 0 && r.Term < known {
		k.Log.Info().Uint64("term", r.Term).Uint64("known", known).Msg("broadcast_outdated")

		return nil, errors.Newf("%w: term %d, term %d is known", errOutdatedBroadcast, r.Term, known)
	}

	k.broadcastTerm = max(k.broadcastTerm, r.Term)

	if !k.Leading() {
		k.proxies.mergeInherited(r.Proxies, r.ProxiesComplete)
	}

	present := map[string]bool{}

	for _, s := range r.Observations {
		if err := s.Announcement.Validate(); err != nil {
			k.Log.Warn().Err(err).Msg("announcement_invalid")

			continue
		}

		k.registry.Apply(s.Announcement, s.Age)
		present[s.Announcement.Member] = true
	}

	k.recordLeaving(r.Leaving)

	if r.MembersComplete && !k.Leading() {
		k.registry.Retain(present, retainSilence)
	}

	return struct{}{}, nil
}

// recordLeaving records since when members have been leaving, as the leader knows it. The times are late by the time of
// the transfer.
func (k *Controller) recordLeaving(members []lab.LeavingMember) {
	for _, m := range members {
		k.registry.RecordLeaving(m.Member, m.Incarnation, k.Clock.Now()-m.For)
	}
}
