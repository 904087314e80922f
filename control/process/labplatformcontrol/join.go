package labplatformcontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/control/process/labvoters"
)

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 400 * time.Millisecond
	// joinReportMaxAge is how long a join request is valid: four times the interval at which requests are sent.
	joinReportMaxAge = 4 * joinInterval
	changeTimeout    = time.Second
	// stopNoticeTimeout bounds the time by which a notice to the other instances delays the end of the process.
	stopNoticeTimeout = 300 * time.Millisecond
	// leaderContactTime is the time within which a new leader hears from each voter that runs. Until then only silence in
	// its own term counts, since it may have been without contact for long before.
	leaderContactTime = time.Second
)

// join periodically reports this instance to the leader and learns whether it has been removed from the group.
func (k *Controller) join(ctx context.Context) error {
	for k.Clock.Sleep(ctx, joinInterval) == nil {
		if k.Leading() {
			k.recordJoinReport(k.participation().identity.id, k.AvailabilityZone)

			continue
		}

		if l, ok := k.leader(); ok {
			k.sendJoin(ctx, labvoters.Address(l))

			continue
		}

		for _, a := range k.controlAddresses() {
			if a != k.Address && k.sendJoin(ctx, a) {
				break
			}
		}
	}

	return nil
}

// sendJoin sends a join request to an instance and, if that instance names another one as the leader, to the leader
// too. It reports whether a leader got the request.
func (k *Controller) sendJoin(ctx context.Context, address string) bool {
	a, err := k.callJoin(ctx, address)
	if err != nil {
		return false
	}

	if a.Leader != "" && labvoters.Address(a.Leader) != address {
		if a, err = k.callJoin(ctx, labvoters.Address(a.Leader)); err != nil {
			return false
		}
	}

	if a.Removed {
		p := k.participation()
		p.removedOnce.Do(func() { close(p.removed) })
	}

	return a.Leader != ""
}

func (k *Controller) callJoin(ctx context.Context, address string) (joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()

	var a joinResponse

	err := k.Transport.Call(ctx, address, methodJoin, joinRequest{
		ID: k.participation().identity.id, Fresh: !k.isMember(), Zone: k.AvailabilityZone,
	}, &a)

	return a, err
}

// announceStop tells the other instances of the group that this one stops, so that a learner takes its place at once.
// Whether the process will start again isn't known.
func (k *Controller) announceStop(ctx context.Context) {
	p := k.participation()
	if p.group == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, stopNoticeTimeout)
	defer cancel()

	var calls sync.WaitGroup

	for _, id := range p.group.Membership().Instances() {
		if id == p.identity.id {
			continue
		}

		calls.Go(func() {
			if err := k.Transport.Call(ctx, labvoters.Address(id), methodJoin, joinRequest{
				ID: p.identity.id, Zone: k.AvailabilityZone, Stopping: true,
			}, nil); err != nil {
				k.Log.Info().Err(err).Str("instance", string(id)).Msg("stop_notice_failed")
			}
		})
	}

	calls.Wait()
}

// isMember reports whether the membership in the local log contains this instance.
func (k *Controller) isMember() bool {
	return slices.Contains(k.participation().group.Membership().Instances(), k.participation().identity.id)
}

// controlAddresses returns the process addresses of all known control instances.
func (k *Controller) controlAddresses() []string {
	out := slices.Clone(k.Seeds())

	if g := k.participation().group; g != nil {
		for _, m := range g.Membership().Instances() {
			out = append(out, labvoters.Address(m))
		}
	}

	slices.Sort(out)

	return slices.Compact(out)
}

func (k *Controller) handleJoin(_ context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var r joinRequest
	if err := decode(&r); err != nil {
		return nil, err
	}

	g := k.participation().group
	if g == nil {
		return joinResponse{}, nil
	}

	a := joinResponse{Leader: g.Leadership().Leader}

	if r.Stopping {
		k.recordStop(r.ID)

		return a, nil
	}

	if !k.Leading() {
		return a, nil
	}

	k.recordContact(r.ID)

	// The instance discards its log when it is told of its removal, so the removal must be committed.
	if !r.Fresh && !slices.Contains(g.Membership().Instances(), r.ID) &&
		!slices.Contains(g.CommittedMembership().Instances(), r.ID) {
		a.Removed = true

		return a, nil
	}

	k.recordJoinReport(r.ID, r.Zone)

	return a, nil
}

func (k *Controller) recordStop(id lab.InstanceID) {
	k.Log.Info().Str("instance", string(id)).Msg("instance_stopping")

	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.stoppedAt[id] = k.Clock.Now()
}

func (k *Controller) recordJoinReport(id lab.InstanceID, zone string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	k.joinReports.Record(id, k.Clock.Now())
	k.zones[id] = zone
}

// controlInstances returns the process addresses of the group's members and their availability zones, without learners that
// have ended.
func (k *Controller) controlInstances() (addresses, zones []string) {
	g := k.participation().group
	s := k.groupState(g.Membership(), g.Leadership().Since)

	for _, id := range s.Membership.Instances() {
		if s.Membership.Voter(id) || !s.Absent(id) {
			addresses, zones = append(addresses, labvoters.Address(id)), append(zones, s.Zones[id])
		}
	}

	return addresses, zones
}

// maintainVoters maintains the group's membership while this instance is the leader. A change may wait for its learner or a
// quorum, so it has a goroutine of its own.
func (k *Controller) maintainVoters(ctx context.Context) error {
	for k.Clock.Sleep(ctx, reconcileInterval) == nil {
		if k.Leading() {
			k.reconcileVoters(ctx)
		}
	}

	return nil
}

// reconcileVoters performs the next change of the group's membership if one is due.
func (k *Controller) reconcileVoters(ctx context.Context) {
	g := k.participation().group
	s := k.groupState(g.Membership(), g.Leadership().Since)

	c, ok := s.NextChange()
	if !ok {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()

	var err error

	switch c.Kind {
	case labreplica.ChangeAddLearner:
		err = g.AddLearner(ctx, c.Instance)
	case labreplica.ChangePromote:
		err = g.Promote(ctx, c.Instance)
	case labreplica.ChangeRemove:
		err = g.Remove(ctx, c.Instance)
	case labreplica.ChangeDemote:
		err = g.Demote(ctx, c.Instance)
	}

	k.Counters.Memberships.Add(1)
	k.Log.Info().Uint8("change", uint8(c.Kind)).Str("member", string(c.Instance)).Str("zone", s.Zones[c.Instance]).
		Int("voters", len(s.Membership.Voters)).Dur("silent", s.SilentFor[c.Instance]).AnErr("error", err).Msg("membership_change")
}

func (k *Controller) groupState(m labreplica.Membership, since time.Duration) *labvoters.GroupState {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	const copiesPerLoss = 2 // 2f+1 voters still have a quorum after the loss of f voters

	now := k.Clock.Now()
	s := &labvoters.GroupState{
		Self: k.participation().identity.id, Membership: m, TargetVoters: copiesPerLoss*k.ToleratedLosses + 1,
		SilentFor: map[lab.InstanceID]time.Duration{}, Stopped: map[lab.InstanceID]bool{}, CatchUpPeriod: k.CatchUpPeriod,
		Zones: maps.Clone(k.zones),
	}

	s.LiveInstances, s.CaughtUp = k.joinReports.Live(now), k.participation().group.CaughtUpLearners()

	for _, id := range m.Instances() {
		heard, ok := k.lastContact[id]
		if !ok || now-since < leaderContactTime {
			heard = max(heard, since)
		}

		s.SilentFor[id] = now - heard

		// An instance takes part until it has sent its notices. Later messages come from a new start.
		stoppedAt, ok := k.stoppedAt[id]
		s.Stopped[id] = ok && k.lastContact[id] <= stoppedAt+stopNoticeTimeout
	}

	return s
}

// contacts returns how long ago this leader has heard from the instances of the group.
func (k *Controller) contacts() []contact {
	m := k.participation().group.Membership()

	k.mutex.Lock()
	defer k.mutex.Unlock()

	out := []contact{{k.participation().identity.id, 0, k.AvailabilityZone}}

	for _, id := range m.Instances() {
		if at, ok := k.lastContact[id]; ok {
			out = append(out, contact{id, k.Clock.Now() - at, k.zones[id]})
		}
	}

	return out
}

// recordContacts records what the leader has told of its contacts, so that the next leader doesn't count the silence of
// an instance from its own election on and knows the zones of instances that have ended.
func (k *Controller) recordContacts(contacts []contact) {
	k.mutex.Lock()
	defer k.mutex.Unlock()

	for _, c := range contacts {
		k.lastContact[c.Instance] = max(k.lastContact[c.Instance], k.Clock.Now()-c.Age)

		if c.Zone != "" {
			k.zones[c.Instance] = c.Zone
		}
	}
}
