package labplatformcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labfailover"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

const (
	// recordInterval is the interval at which the recorded holders are compared with the members if none has changed.
	recordInterval = time.Second
	// retireInterval is the interval at which holders without a member are checked.
	retireInterval = time.Second
	// retireAfter is how long no member must have been heard from at the address of a holder that has ended before the holder
	// is removed. It is far longer than the time between the end of a member and the start of its successor.
	retireAfter = labmembers.ExpireAfter
)

// heldServices returns the services that have members or holders. The caller must not change the slice.
func (k *Controller) heldServices() []string {
	services, layout := k.registry.Services()

	h := k.participation().state.HoldersRevision()
	if k.held != nil && layout == k.heldLayout && h == k.heldHolders {
		return k.held
	}

	out := append(slices.Clone(services), slices.Collect(maps.Keys(k.participation().state.Holders()))...)
	slices.Sort(out)
	k.held, k.heldLayout, k.heldHolders = slices.Compact(out), layout, h

	return k.held
}

// successors returns the number of members that could replace the primary.
func (k *Controller) successors(v serviceView) int {
	former, _ := formerPrimary(v)
	n := 0

	for i := range v.members {
		a := &v.members[i].Announcement
		if !a.Terminated && !a.Draining && (a.Member != former.Member || orderedUnconfirmed(v, a.Member)) {
			n++
		}
	}

	return n
}

// orderedUnconfirmed reports whether a member other than the primary has been ordered to lead and the promotion is not
// confirmed. Such a member counts as a replica even if it leads by now: nobody has read what it had received until then.
func orderedUnconfirmed(v serviceView, member string) bool {
	o := &v.state.Promotion

	return v.state.Ordered && !o.Confirmed && o.Member == member && o.Member != v.state.Primary.Member
}

// replicas returns the members other than the former primary. They could become the primary, or have commits that the
// primary acknowledged. Those recorded by an earlier leader count even if this instance has never heard from them.
func (k *Controller) replicas(service string) []labfailover.ReplicaState {
	var out []labfailover.ReplicaState

	v := k.viewService(nil, service)
	former, address := formerPrimary(v)
	live, names := map[string]bool{}, map[string]bool{} // by address and by name

	add := func(a lab.Announcement) {
		if a.Member != former.Member || orderedUnconfirmed(v, a.Member) {
			out = append(out, labfailover.ReplicaState{Member: a, Former: address != "" && a.Address == address})
		}
	}

	for _, e := range v.members {
		if a := e.Announcement; !a.Terminated {
			live[a.Address], names[a.Member] = true, true
			add(a)
		}
	}

	for _, h := range v.state.Holders {
		if live[h.Address] {
			continue
		}

		// The member has another address by now. Whoever responds at this one, under any name, may have the log.
		if names[h.Member] {
			h.Member += formerPlaceSuffix
		}

		add(lab.Announcement{Database: service, Member: h.Member, Address: h.Address, Region: h.Region})
	}

	return out
}

// formerPlaceSuffix marks the name of a member at an address that it has left. No member has such a name, so another one that
// responds there takes the place.
const formerPlaceSuffix = "@former"

// recordHolders records members that have become known in the replicated log, so that the next leader knows of them. It
// removes the holders of services that are no longer configured.
func (k *Controller) recordHolders(ctx context.Context) {
	r, now := k.registry.Revision(), k.Clock.Now()
	if r == k.recordedRevision && now < k.nextRecording {
		return
	}

	k.recordedRevision, k.nextRecording = r, now+recordInterval

	c := k.holdersChange()
	if len(c.Set)+len(c.Removed) == 0 || !k.recordingHolders.CompareAndSwap(false, true) {
		return
	}

	go func() {
		defer k.recordingHolders.Store(false)

		k.changeHolders(ctx, c)
	}()
}

func (k *Controller) changeHolders(ctx context.Context, c labgroupstate.HoldersChange) {
	_, err := k.propose(ctx, labgroupstate.Command{Holders: &c})

	for _, h := range c.Set {
		k.Log.Info().Err(err).Str("service", h.Service).Str("member", h.Member).Str("address", h.Address).Msg("holder_recorded")
	}

	for _, h := range c.Removed {
		k.Log.Info().Err(err).Str("service", h.Service).Str("member", h.Member).Str("address", h.Address).Msg("holder_removed")
	}
}

func (k *Controller) holdersChange() labgroupstate.HoldersChange {
	var c labgroupstate.HoldersChange

	known, configured := k.participation().state.Holders(), k.configuredServices()
	services, _ := k.registry.Services()

	var members []labmembers.Entry

	for _, s := range services {
		if configured != nil && !configured[s] {
			continue
		}

		members = k.registry.AppendService(members[:0], s)

		for i := range members {
			a := &members[i].Announcement
			if !a.Terminated && !slices.ContainsFunc(known[s], func(h labgroupstate.Holder) bool {
				return h.Address == a.Address && h.Member == a.Member
			}) {
				c.Set = append(c.Set, labgroupstate.Holder{
					Service: s, Member: a.Member, Address: a.Address, Region: a.Region, Primary: a.Primary,
				})
			}
		}
	}

	for s, all := range known {
		for _, h := range all {
			if configured != nil && !configured[s] {
				c.Removed = append(c.Removed, h)
			}
		}
	}

	return c
}

// ended reports whether the member of a holder has ended, or has announced another address, which is no evidence that the
// log at the address of the holder is gone: the announcement may be from another writer.
func (k *Controller) ended(h labgroupstate.Holder) bool {
	e, known := k.registry.Entry(h.Member)

	return known && (e.Announcement.Terminated || e.Announcement.Address != h.Address)
}

// retireHolders removes holders that have ended or moved and whose place no member has taken again for a long time, once other members
// are known to have everything that they can have acknowledged. A holder that is only silent may go on acknowledging.
func (k *Controller) retireHolders(ctx context.Context) {
	if k.Clock.Now() < k.nextRetirement {
		return
	}

	k.nextRetirement = k.Clock.Now() + retireInterval

	if configured := k.configuredServices(); configured != nil {
		k.memberLogs.Retain(func(service string) bool { return configured[service] })
	}

	if e := k.leaderEpoch(); e != k.unseenEpoch {
		k.unseenSince, k.unseenEpoch = nil, e
	}

	for h, position := range k.dueHolders() {
		go func() {
			if k.retirable(ctx, h, position) {
				k.changeHolders(ctx, labgroupstate.HoldersChange{Removed: []labgroupstate.Holder{h}})
			}
		}()
	}
}

// dueHolders returns the holders that have ended and have had no successor for retireAfter, with a position that the primary
// had after that. A holder is returned again after retireAfter.
func (k *Controller) dueHolders() map[labgroupstate.Holder]lab.CommitPosition {
	out, unseen := map[labgroupstate.Holder]lab.CommitPosition{}, map[labgroupstate.Holder]time.Duration{}
	now := k.Clock.Now()

	for s, all := range k.participation().state.Holders() {
		for _, h := range all {
			if _, ok := k.registry.Live(s, h.Address); ok {
				continue
			}

			since, ok := k.unseenSince[h]
			if !ok {
				if !k.ended(h) {
					continue
				}

				since = now
			}

			if p, known := k.memberLogs.PrimarySince(s, since+retireAfter); known {
				out[h], since = p, now
			}

			unseen[h] = since
		}
	}

	k.unseenSince = unseen

	return out
}

// retirable reports whether no member of the service responds at the address of a holder, and a replica has received the
// log up to a position that the primary had after the holder was last heard from.
func (k *Controller) retirable(ctx context.Context, h labgroupstate.Holder, position lab.CommitPosition) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	l, err := k.Dialer.Dial(ctx, lab.Announcement{Database: h.Service, Address: h.Address}, "")
	if err == nil {
		l.Close()
		k.Log.Info().Str("service", h.Service).Str("member", h.Member).Str("address", h.Address).Msg("holder_responds")

		return false
	}

	return slices.ContainsFunc(k.replicas(h.Service), func(r labfailover.ReplicaState) bool {
		return r.Member.Address != h.Address && !r.Member.Draining && k.hasReceived(ctx, r.Member, position)
	})
}

// hasReceived reports whether a replica has received the log up to a position.
func (k *Controller) hasReceived(ctx context.Context, m lab.Announcement, position lab.CommitPosition) bool {
	l, err := k.Dialer.Dial(ctx, m, "")
	if err != nil {
		return false
	}
	defer l.Close()

	st, err := k.Dialer.State(time.Now().Add(probeTimeout), l, lab.Operation{Kind: lab.OperationStatus})

	return err == nil && !st.Primary && st.Received.Covers(position)
}

// dropMissing removes the holders that a replacement has given up. A member that comes back is recorded again.
func (k *Controller) dropMissing(ctx context.Context, s *labfailover.Replacement) {
	var c labgroupstate.HoldersChange

	for _, h := range k.participation().state.Service(s.Service).Holders {
		if slices.ContainsFunc(s.Replicas, func(r labfailover.ReplicaState) bool {
			return r.Member.Address == h.Address && !r.Readable && !r.Former
		}) {
			c.Removed = append(c.Removed, h)
		}
	}

	k.Log.Warn().Str("service", s.Service).Int("holders", len(c.Removed)).Msg("missing_members_given_up")
	k.changeHolders(ctx, c)
}

// endSucceeded records that a member has ended, since another one responds at its address.
func (k *Controller) endSucceeded(a lab.Announcement) {
	if known, ok := k.registry.Live(a.Database, a.Address); ok && known.Member == a.Member {
		k.registry.Apply(lab.Announcement{Member: a.Member, Terminated: true}, 0)
	}
}
