package labplatformcontrol

import (
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmemberlist"
)

const (
	// memberListSpacing is the minimum time between two revisions of the list of members. At the start of thousands of
	// members, their changes travel together.
	memberListSpacing = reconcileInterval
	// urgentMemberListSpacing replaces memberListSpacing if a change concerns the clients of a member. The first such
	// change after a pause goes at once. Those of a power loss travel together, as they do through other control
	// instances (relaySpacing).
	urgentMemberListSpacing = relaySpacing
)

// memberLists is the list of members that proxies and other control instances get. While this instance leads, the list
// follows the registry and the replicated state, otherwise the list of the leader.
type memberLists struct {
	list labmemberlist.List

	mutex       sync.Mutex
	term        uint64 // term as of the latest comparison
	registry    uint64 // revision of the registry as of the latest comparison
	promotions  uint64 // revision of the promotion orders as of the latest comparison
	publishedAt time.Duration
	urgent      bool // a change since the latest comparison must not wait
	timer       bool // waiters will be woken once urgentMemberListSpacing has passed
}

// membersChanged is called after a change of the registry. Changes that can wait are published by reconcile.
func (k *Controller) membersChanged(urgent bool) {
	k.changeCount.Add(1)

	if !urgent || !k.Leading() {
		return
	}

	k.memberLists.mutex.Lock()
	k.memberLists.urgent = true
	waiting := k.memberLists.timer
	k.memberLists.mutex.Unlock()

	if !waiting {
		k.notifyWaiters()
	}
}

// publishMembers makes the list of members follow the registry and the replicated state if this instance leads.
func (k *Controller) publishMembers() {
	if before := k.memberLists.list.Revision(); k.refreshMembers() != before {
		k.notifyWaiters()
	}
}

// refreshMembers returns the revision of the list of members, after it has added what changed if this instance leads. It
// waits for changes that may follow shortly.
func (k *Controller) refreshMembers() uint64 {
	w := &k.memberLists

	w.mutex.Lock()
	defer w.mutex.Unlock()

	l := k.participation().group.Leadership()
	revision, complete := w.list.Complete()
	next, ok := w.list.Next(l.Term)

	if !l.IsLeader || !ok {
		return revision
	}

	// A new leader begins revisions of its own even if nothing has changed: the former one may have gone on for a while.
	elected := w.term != l.Term || revision == 0

	services, promotions, promotionsKnown := k.participation().state.PromotionsSince(w.promotions)
	changed := k.registry.Revision() != w.registry || promotions != w.promotions || complete != k.membersComplete()

	if !elected && (!changed || w.wait(k.Clock.Now(), promotions != w.promotions, k.endMemberListWait)) {
		return revision
	}

	members, registry, membersKnown := k.registry.ChangesSince(w.registry)
	if elected || !membersKnown || !promotionsKnown {
		members = append(k.registry.Members(), w.list.Members()...)
		services, _ = k.registry.Services()
		services = slices.Clone(services)
	}

	c := k.memberChanges(members, services)
	w.term, w.registry, w.promotions, w.urgent = l.Term, registry, promotions, false

	now := k.membersComplete()
	if len(c.Set)+len(c.Removed)+len(c.Primaries) == 0 && complete == now && !elected {
		return revision
	}

	w.publishedAt = k.Clock.Now()
	w.list.Apply(revision, c, now, next)

	return next
}

// wait reports whether the present changes wait for others. If they are urgent, end is called once the wait is over;
// others are published by reconcile. The mutex must be held.
func (w *memberLists) wait(now time.Duration, promoted bool, end func()) bool {
	urgent, since := w.urgent || promoted, now-w.publishedAt
	if since >= memberListSpacing || (urgent && since >= urgentMemberListSpacing) {
		return false
	}

	if urgent && !w.timer {
		w.timer = true

		time.AfterFunc(urgentMemberListSpacing-since, end)
	}

	return true
}

func (k *Controller) endMemberListWait() {
	k.memberLists.mutex.Lock()
	k.memberLists.timer = false
	k.memberLists.mutex.Unlock()

	k.notifyWaiters()
}

// memberChanges returns how the members, and the primaries of their services and of the given services, differ from the
// list of members.
func (k *Controller) memberChanges(members, services []string) lab.MemberChanges {
	var c lab.MemberChanges

	list := &k.memberLists.list

	for _, m := range members {
		e, known := k.registry.Entry(m)
		old, listed := list.Member(m)

		if listed {
			services = append(services, old.Database)
		}

		switch {
		case known && (!listed || labmemberlist.Differ(old, e.Announcement)):
			c.Set = append(c.Set, e.Announcement)
			services = append(services, e.Announcement.Database)
		case listed && !known:
			c.Removed = append(c.Removed, lab.MemberName{Service: old.Database, Member: m})
		}
	}

	slices.Sort(services)

	for _, s := range slices.Compact(services) {
		var name string
		if e, ok := k.primary(s); ok {
			name = e.Announcement.Member
		}

		if former := list.Primary(s); former != name {
			if c.Primaries == nil {
				c.Primaries = map[string]string{}
			}

			c.Primaries[s] = name
			k.logPrimary(s, name, former)
		}
	}

	return c
}

// logPrimary logs a primary that the proxies learn of, and what it rests on: a confirmed order, or only what the member
// says of itself.
func (k *Controller) logPrimary(service, member, former string) {
	if member == "" {
		return
	}

	p, ordered := k.participation().state.Promotion(service)
	k.Log.Info().Str("service", service).Str("member", member).Str("former", former).Bool("ordered", ordered).
		Bool("confirmed", p.Confirmed).Str("ordered_member", p.Member).Uint64("token", p.Token).Msg("primary_listed")
}
