package labplatformcontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labgroupstate"
	"laburnumlock.dev/lab/process/labpack"
)

// listFollower is a proxy that follows the list of members.
type listFollower struct {
	t         *testing.T
	request   lab.WatchRequest
	members   map[string]lab.Announcement
	primaries map[string]string
	whole     int // number of whole lists received
}

func (f *listFollower) apply(a lab.WatchResponse) {
	f.t.Helper()

	var (
		l lab.MemberList
		c lab.MemberChanges
	)

	if len(a.Members) > 0 {
		assert.NilError(f.t, labpack.Decode(a.Members, &l))

		f.members, f.primaries = map[string]lab.Announcement{}, map[string]string{}
		f.whole++
		c = lab.MemberChanges{Set: l.Members, Primaries: l.Primaries}
	} else if len(a.MemberChanges) > 0 {
		assert.NilError(f.t, labpack.Decode(a.MemberChanges, &c))
	}

	for _, n := range c.Removed {
		delete(f.members, n.Member)
	}

	for _, m := range c.Set {
		f.members[m.Member] = m
	}

	for s, p := range c.Primaries {
		f.primaries[s] = p
	}

	assert.Assert(f.t, f.request.MembersRevision <= a.MembersRevision || len(a.Members)+len(a.MemberChanges) == 0)
	f.request.LeaderEpoch, f.request.MembersRevision = a.LeaderEpoch, max(a.MembersRevision, f.request.MembersRevision)
}

// TestMemberListSpacing replays the start of thousands of members, in which every member sent the whole list to every
// proxy, and a failover, which must not wait.
func TestMemberListSpacing(t *testing.T) {
	k := newScale(t)
	clock := k.Clock.(*steppedClock)
	k.registry.Changed = k.membersChanged

	start := func() uint64 {
		clock.now += time.Second
		revision := k.refreshMembers()
		clock.now += time.Second

		return revision
	}
	appear := func(n int) {
		for i := range 100 {
			k.registry.Apply(scaleMember(scaleMembers+n*100+i, 1), 0)
		}
	}

	t.Run("new members travel together", func(t *testing.T) {
		before := start()

		appear(0)
		assert.Equal(t, k.refreshMembers(), before+1, "after a pause, changes needn't wait")
		appear(1)
		assert.Equal(t, k.refreshMembers(), before+1)
		clock.now += memberListSpacing
		assert.Equal(t, k.refreshMembers(), before+2)
	})

	t.Run("a leaving member doesn't wait for them", func(t *testing.T) {
		before := start()

		appear(2)
		k.refreshMembers()

		clock.now += urgentMemberListSpacing
		a := scaleMember(1, 2)
		a.Draining = true
		changed := k.changes()
		k.registry.Apply(a, 0)
		<-changed
		assert.Equal(t, k.refreshMembers(), before+2)
	})

	t.Run("a promotion doesn't wait for them", func(t *testing.T) {
		before := start()

		appear(3)
		k.refreshMembers()

		clock.now += urgentMemberListSpacing

		for _, c := range []labgroupstate.Command{
			{Order: &labgroupstate.Order{Service: "service-0001", Member: "service-0001-2"}},
			{OrderConfirmed: &labgroupstate.OrderConfirmed{Service: "service-0001", Token: 1 << 30}},
		} {
			b, err := c.Encode()
			assert.NilError(t, err)
			k.participation().state.Apply(1<<30, b)
		}

		assert.Equal(t, k.refreshMembers(), before+2)
		assert.Equal(t, k.memberLists.list.Primary("service-0001"), "service-0001-2")
	})

	// A former leader may have sent later revisions of its term. Its receivers must notice that theirs is not the list.
	t.Run("a new leader begins revisions of its own", func(t *testing.T) {
		before := start()
		k.memberLists.term--
		assert.Equal(t, k.refreshMembers(), before+1)
	})

	t.Run("a change that must wait wakes the waiters afterwards", func(t *testing.T) {
		before := start()

		k.registry.Apply(scaleMember(7, 2), 0)

		for _, leaving := range []bool{true, false} {
			a := scaleMember(7, 3)
			a.Draining = leaving
			a.Incarnation++
			k.registry.Apply(a, 0)
			k.refreshMembers()
		}

		a := scaleMember(8, 2)
		a.Draining = true
		k.registry.Apply(a, 0)
		assert.Equal(t, k.refreshMembers(), before+1)
		changed := k.changes()
		<-changed

		clock.now += urgentMemberListSpacing
		assert.Equal(t, k.refreshMembers(), before+2)
	})
}

// TestMemberListFollowed checks that a proxy that moves between instances has the leader's list in the end, also if the
// leader changes, and that it gets changes only.
func TestMemberListFollowed(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()
	f := &listFollower{t: t, request: lab.WatchRequest{Proxy: proxy("p"), AcceptsChanges: true}}

	follow := func(i int) {
		if a, err := c.watch(i, f.request); err == nil && a.Leader == "" {
			f.apply(a)
		}
	}
	announce := func(n int, change func(*lab.Announcement)) {
		a := lab.Announcement{
			Database: "s", Member: fmt.Sprint("m", n), Address: fmt.Sprint("127.0.0.1:", n+1), Incarnation: 1, Sequence: 1,
			Primary: n == 0,
		}
		change(&a)
		assert.NilError(t, c.controllers[leader].Announce(t.Context(), a))
	}
	equal := func(i int) func() bool {
		return func() bool {
			follow(i)

			want := c.controllers[leader].members()

			for _, m := range want {
				if got, ok := f.members[m.Member]; !ok || got.Terminated != m.Terminated || got.Draining != m.Draining {
					return false
				}
			}

			return len(want) == len(f.members) && f.primaries["s"] == "m0"
		}
	}

	for n := range 20 {
		announce(n, func(*lab.Announcement) {})
	}

	c.eventually("the first list", equal(leader))

	whole := f.whole

	for n := range 12 {
		announce(n, func(a *lab.Announcement) {
			a.Sequence, a.Draining, a.Terminated = 2, n%2 == 0, n%3 == 2
		})
		follow(n % 3)
	}

	c.controllers[leader].registry.Retain(map[string]bool{"m0": true, "m12": true, "m13": true}, 0)

	for i := range 3 {
		c.eventually("the leader's list", equal(i))
	}

	assert.Equal(t, f.whole, whole, "changes are enough while the leader stays")

	for _, k := range c.controllers {
		c.eventually("the next leader knows the primary", func() bool {
			_, known := k.primary("s")

			return known
		})
	}

	c.stop(leader)
	c.eventually("the list of the next leader", func() bool {
		for i, k := range c.controllers {
			if i != leader && k.Leading() {
				leader = i

				return true
			}
		}

		return false
	})
	announce(14, func(a *lab.Announcement) { a.Sequence = 3 })
	c.eventually("the list of the next leader", equal(leader))
}
