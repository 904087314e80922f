package labplatformcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBroadcastMany checks that another instance learns of all of many members from the broadcasts, and drops none that
// a broadcast of changes doesn't list.
func TestBroadcastMany(t *testing.T) {
	leader, other := newScale(t), newKnowledge(t)
	clock := leader.Clock.(*steppedClock)

	broadcast := func(whole bool, since uint64) (size int, revision uint64) {
		t.Helper()

		r, revision, err := leader.buildBroadcast(whole, since)
		assert.NilError(t, err)

		_, err = other.handleBroadcast(t.Context(), "", func(v any) error { *v.(*broadcastRequest) = r; return nil })
		assert.NilError(t, err)

		return len(r.Observations), revision
	}

	clock.now += time.Second + time.Microsecond
	size, revision := broadcast(true, 0)
	assert.Equal(t, size, 0, "the list is compressed")
	assert.Equal(t, other.registry.Len(), scaleMembers)

	e, _ := other.registry.Entry(scaleMember(1, 1).Member)
	assert.Equal(t, other.Clock.Now()-e.LastHeard, time.Second)

	a := scaleMember(1, 2)
	a.Draining = true
	leader.registry.Apply(a, 0)

	other.clock.now += time.Minute
	size, _ = broadcast(false, revision)
	assert.Equal(t, size, 1)
	assert.Equal(t, other.registry.Len(), scaleMembers, "a broadcast of changes is no complete list")

	e, _ = other.registry.Entry(a.Member)
	assert.Assert(t, e.Announcement.Draining)

	for n := range scaleMembers {
		if n%2 == 0 {
			leader.registry.Apply(scaleMember(n, 2), 0)
		}
	}

	clock.now += time.Second
	leader.registry.Retain(map[string]bool{}, 2*time.Second)

	other.clock.now += retainSilence
	broadcast(true, 0)
	assert.Assert(t, leader.registry.Len() < scaleMembers)
	assert.Equal(t, other.registry.Len(), leader.registry.Len(), "members that the leader doesn't know are dropped")
}
