package labplatformcontrol

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// broadcastOf returns a complete list of members in a term. Each has a number in its name and address.
func broadcastOf(term uint64, members ...uint16) broadcastRequest {
	r := broadcastRequest{Term: term, MembersComplete: true}
	for _, m := range members {
		r.Observations = append(r.Observations, observation{Announcement: numberedMember(m)})
	}

	return r
}

func numberedMember(number uint16) lab.Announcement {
	return lab.Announcement{
		Database: "s", Member: fmt.Sprint("m", number), Address: fmt.Sprintf("127.0.0.1:%d", number+1), Incarnation: 1, Sequence: 1,
	}
}

func (k *Controller) receiveBroadcast(ctx context.Context, r broadcastRequest) error {
	_, err := k.handleBroadcast(ctx, "", func(v any) error {
		*v.(*broadcastRequest) = r

		return nil
	})

	return err
}

func assertMembers(t *testing.T, k *Controller, want ...uint16) {
	t.Helper()

	got, all := []string{}, []string{}
	for _, e := range k.registry.Entries() {
		got = append(got, e.Announcement.Member)
	}

	for _, m := range want {
		all = append(all, numberedMember(m).Member)
	}

	assert.DeepEqual(t, got, all)
}

// TestLateBroadcast guards against a broadcast of a former leader that arrives after one of its successor, for example
// because the sender was suspended. It brought back a member that had been removed, and dropped one that had appeared.
func TestLateBroadcast(t *testing.T) {
	start := func(t *testing.T) *knowledge {
		t.Helper()

		k := newKnowledge(t)
		assert.NilError(t, k.receiveBroadcast(t.Context(), broadcastOf(4, 0, 1)))
		assertMembers(t, k.Controller, 0, 1)

		k.clock.now += retainSilence
		assert.NilError(t, k.receiveBroadcast(t.Context(), broadcastOf(5, 0, 2)))
		assertMembers(t, k.Controller, 0, 2)

		return k
	}

	t.Run("a removed member", func(t *testing.T) {
		k := start(t)
		assert.ErrorIs(t, k.receiveBroadcast(t.Context(), broadcastOf(4, 0, 1, 2)), errOutdatedBroadcast)
		assertMembers(t, k.Controller, 0, 2)
	})

	t.Run("a new member", func(t *testing.T) {
		k := start(t)
		k.clock.now += retainSilence
		assert.ErrorIs(t, k.receiveBroadcast(t.Context(), broadcastOf(4, 0, 1)), errOutdatedBroadcast)
		assertMembers(t, k.Controller, 0, 2)
	})

	t.Run("the next broadcast of the same leader", func(t *testing.T) {
		k := start(t)
		assert.NilError(t, k.receiveBroadcast(t.Context(), broadcastOf(5, 0, 2, 3)))
		assertMembers(t, k.Controller, 0, 2, 3)
	})

	t.Run("a sender without terms", func(t *testing.T) {
		k := start(t)
		assert.NilError(t, k.receiveBroadcast(t.Context(), broadcastOf(0, 0, 2, 3)))
		assertMembers(t, k.Controller, 0, 2, 3)
	})
}

// TestLateBroadcastAtLeader guards against the same at the new leader, which gets no broadcasts of its own term.
func TestLateBroadcastAtLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	former := c.leaderIndex()
	member := numberedMember(1)

	c.eventually("announcement accepted", func() bool {
		return c.controllers[former].Announce(context.Background(), member) == nil
	})

	var late broadcastRequest

	c.eventually("a broadcast of the leader", func() bool {
		l := c.controllers[former].leadership()

		var err error
		if late, _, err = c.controllers[former].buildBroadcast(true, 0); err != nil {
			return false
		}

		late.Term = l.Term

		return l.IsLeader
	})
	assert.Equal(t, len(late.Observations), 1)
	c.stop(former)

	k := c.controllers[c.leaderIndexExcept(former)]

	// A member that ends is forgotten after a while, like every member that is silent.
	k.registry.Apply(lab.Announcement{Member: member.Member, Terminated: true}, 0)
	k.registry.Retain(nil, 0)

	assert.ErrorIs(t, k.receiveBroadcast(t.Context(), late), errOutdatedBroadcast)
	assertMembers(t, k)

	c.eventually("broadcasts of the new leader are accepted", func() bool {
		other := c.controllers[3-former-c.leaderIndexExcept(former)]
		other.broadcasts.Lock()
		defer other.broadcasts.Unlock()

		return other.broadcastTerm > late.Term
	})
}
