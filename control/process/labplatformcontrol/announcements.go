package labplatformcontrol

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmemberlist"
	"laburnumlock.dev/lab/control/process/labvoters"
	"laburnumlock.dev/lab/process/labpack"
)

const (
	// announceTimeout bounds an announcement. A member takes one for lost that is not acknowledged within a second.
	announceTimeout = 900 * time.Millisecond
	// leaderGone is the time without a leader after which announcements are refused at once: an election takes a few hundred
	// milliseconds, and an instance that finds no leader for longer may be the one that is cut off.
	leaderGone = 2 * time.Second
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
	// manyMembers is the number of members from which a broadcast lists all members only every memberListRounds; the
	// others list those that have changed. The time since the last announcement of a member, as the next leader knows it,
	// is then wrong by up to 1.2 s, which together with the announcement interval stays below announcedMaxAge.
	manyMembers      = 200
	memberListRounds = 3
	// forwardWindow is how long an announcement without news waits for others that are forwarded to the leader. Each of
	// 3,000 members announces itself every 1.2 s, to any of the control instances.
	forwardWindow = 40 * time.Millisecond
	// forwardSpacing replaces forwardWindow for announcements that change what is known of a member.
	forwardSpacing = 5 * time.Millisecond
)

// Announce records a member's announcement. If it returns nil, the leader has received the announcement.
func (k *Controller) Announce(ctx context.Context, a lab.Announcement) error {
	if a.Region == "" {
		a.Region = k.RegionByZone[a.AvailabilityZone]
	}

	if err := k.checkService(a); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	if err := k.awaitLeader(ctx); err != nil {
		return errors.Newf("announce member %q: %w", a.Member, err)
	}

	if k.Leading() {
		return k.applyAnnouncement(a)
	}

	ctx, cancel = context.WithTimeout(ctx, forwardTimeout)
	defer cancel()

	e, known := k.registry.Entry(a.Member)

	if err := k.forwarder.Forward(ctx, a, known && labmemberlist.Differ(e.Announcement, a)); err != nil {
		return errors.Newf("forward announcement: %w", err)
	}

	k.registry.Apply(a, 0)

	return nil
}

// awaitLeader waits until this instance leads or knows the leader. A member whose announcement is refused calls the next
// instance at once, so without the wait the announcements of thousands of members would be multiplied by the number of
// instances just while these elect a leader.
func (k *Controller) awaitLeader(ctx context.Context) error {
	for {
		changed := k.leaderChanges()

		if _, ok := k.leader(); ok || k.Leading() {
			return nil
		}

		if k.Clock.Now()-time.Duration(k.leaderSeenAt.Load()) > leaderGone {
			return lab.ErrNotLeader
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return lab.ErrNotLeader
		}
	}
}

// leaderChanges returns a channel that is closed when logLeadership next sees a change.
func (k *Controller) leaderChanges() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	return k.leaderChanged
}

// notifyLeaderWaiters wakes those who wait for a leader.
func (k *Controller) notifyLeaderWaiters() {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	close(k.leaderChanged)
	k.leaderChanged = make(chan struct{})
}

// forwardAnnouncements sends announcements to the leader. It implements labforwarder.Forwarder.Send.
func (k *Controller) forwardAnnouncements(ctx context.Context, all []lab.Announcement) ([]string, error) {
	l, ok := k.leader()
	if !ok {
		return nil, lab.ErrNotLeader
	}

	if len(all) == 1 {
		err := k.Transport.Call(ctx, labvoters.Address(l), methodAnnounce, all[0], nil)

		return []string{""}, err
	}

	var a announceAllResponse

	err := k.Transport.Call(ctx, labvoters.Address(l), methodAnnounceAll, announceAllRequest{all}, &a)

	return a.Refusals, err
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

// errContested is returned for an announcement that has no effect because its member is recorded as ended, or because another
// member has announced the address. If the member runs, its next announcement has an effect.
var errContested = errors.New("the member is recorded as ended, or another one has its address")

// verifySpacing is the time between two connections to a member that find out whether it runs.
const verifySpacing = time.Second

// verifyRunning connects to the member of a contested announcement, and records the announcement if that member answers. An
// announcement alone is no evidence that another member has ended: it may be late, or from another writer.
func (k *Controller) verifyRunning(a lab.Announcement) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	if k.verifying[a.Member] {
		return
	}

	if k.verifying == nil {
		k.verifying = map[string]bool{}
	}

	k.verifying[a.Member] = true

	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()

		l, err := k.Dialer.Dial(ctx, a, "")
		if err == nil {
			l.Close()
			k.registry.Revive(a)
		}

		k.Log.Info().Err(err).Str("service", a.Database).Str("member", a.Member).Str("address", a.Address).
			Uint64("incarnation", a.Incarnation).Bool("runs", err == nil).Msg("contested_member_verified")

		time.AfterFunc(verifySpacing, func() {
			k.mutex.Lock()
			defer k.mutex.Unlock()

			delete(k.verifying, a.Member)
		})
	}()
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

		if k.registry.Contested(a) {
			k.verifyRunning(a)

			return errContested
		}

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

	if err := k.receiveAnnouncement(a); err != nil {
		return nil, err
	}

	return struct{}{}, nil
}

// receiveAnnouncement applies an announcement that another instance has forwarded.
func (k *Controller) receiveAnnouncement(a lab.Announcement) error {
	if err := a.Validate(); err != nil {
		return errors.Newf("forwarded announcement: %w", err)
	}

	if !k.Leading() {
		return lab.ErrNotLeader
	}

	if err := k.checkService(a); err != nil {
		return err
	}

	return k.applyAnnouncement(a)
}

func (k *Controller) handleAnnounceAll(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r announceAllRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	out := announceAllResponse{Refusals: make([]string, len(r.Announcements))}

	for i, a := range r.Announcements {
		if err := k.receiveAnnouncement(a); err != nil {
			out.Refusals[i] = err.Error()
		}
	}

	return out, nil
}

// broadcast keeps the member registries of the other control instances up to date while this instance is the leader.
func (k *Controller) broadcast(ctx context.Context) error {
	var listed, previous uint64 // revisions of the registry in the last two broadcasts

	for round := 0; k.Clock.Sleep(ctx, broadcastInterval) == nil; round++ {
		l := k.leadership()
		if !l.IsLeader {
			continue
		}

		// Changes are sent twice, since a broadcast may be lost.
		r, revision, err := k.buildBroadcast(round%memberListRounds == 0, previous)
		if err != nil {
			k.Log.Error().Err(err).Msg("broadcast_not_packed")

			continue
		}

		r.Term, r.Contacts = l.Term, k.contacts()
		previous, listed = listed, revision

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

// buildBroadcast returns a broadcast with all members, or with those that have changed since a revision of the registry
// if there are many and whole is not set. It returns the revision of the registry.
func (k *Controller) buildBroadcast(whole bool, since uint64) (broadcastRequest, uint64, error) {
	changed, revision, known := k.registry.ChangesSince(since)
	now := k.Clock.Now()
	r := broadcastRequest{Leaving: k.registry.Leaving()}

	if !whole && known && k.registry.Len() > manyMembers {
		for _, m := range changed {
			if e, ok := k.registry.Entry(m); ok {
				r.Observations = append(r.Observations, observation{e.Announcement, now - e.LastHeard})
			}
		}

		return r, revision, nil
	}

	l := memberObservations{MembersComplete: k.membersComplete()}
	for _, e := range k.registry.Entries() {
		l.Observations = append(l.Observations, observation{e.Announcement, now - e.LastHeard})
	}

	if len(l.Observations) <= manyMembers {
		r.Observations, r.MembersComplete = l.Observations, l.MembersComplete

		return r, revision, nil
	}

	// Digits beyond a millisecond can't be compressed.
	for i := range l.Observations {
		l.Observations[i].Age = l.Observations[i].Age.Truncate(time.Millisecond)
	}

	var err error

	r.Packed, err = labpack.Encode(l)

	return r, revision, err
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

	if len(r.Packed) > 0 {
		var l memberObservations
		if err := labpack.Decode(r.Packed, &l); err != nil {
			return nil, err
		}

		r.Observations, r.MembersComplete = l.Observations, l.MembersComplete
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
	k.recordContacts(r.Contacts)

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
