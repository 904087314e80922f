package labplatformcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

// namedMembers accepts connections to the member that runs at an address.
type namedMembers map[string]string

func (m namedMembers) Dial(_ context.Context, a lab.Announcement, _ string) (lab.MemberConnection, error) {
	if m[a.Address] != a.Member {
		return nil, &lab.OtherMemberError{Member: m[a.Address]}
	}

	return scriptedConnection{}, nil
}

func (namedMembers) State(time.Time, lab.MemberConnection, lab.Operation) (lab.MemberState, error) {
	return lab.MemberState{}, errors.New("not scripted")
}

// TestContested guards against the loss of a running member and of its place in the log by what another writer announced, and
// against taking back one that has ended.
func TestContested(t *testing.T) {
	const interval = 1200 * time.Millisecond

	sequence := uint64(0)
	announce := func(k *knowledge, member, address string, incarnation uint64) error {
		sequence++

		return k.applyAnnouncement(lab.Announcement{
			Database: "s", Member: member, Address: address, Incarnation: incarnation, Sequence: sequence,
		})
	}

	start := func(t *testing.T) *knowledge {
		t.Helper()

		k := newKnowledge(t)
		k.Dialer = namedMembers{"h:2": "a", "h:3": "b"}

		for m, address := range map[string]string{"a": "h:2", "b": "h:3"} {
			k.record(m, address, false)
			assert.NilError(t, announce(k, m, address, 10))
		}

		k.clock.now += interval

		return k
	}

	assertRuns := func(t *testing.T, k *knowledge, member, address string, want bool) {
		t.Helper()

		for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(time.Millisecond) {
			a, _ := k.registry.Live("s", address)
			if (a.Member == member) == want {
				return
			}

			assert.Assert(t, time.Now().Before(end), "%s: %+v", address, a)
		}
	}

	record := func(k *knowledge) {
		c := k.holdersChange()
		if len(c.Set)+len(c.Removed) > 0 {
			k.apply(labgroupstate.Command{Holders: &c})
		}
	}

	t.Run("a replica is announced at the address of another", func(t *testing.T) {
		k := start(t)
		assert.NilError(t, announce(k, "a", "h:3", 20))
		record(k)

		k.clock.now += interval
		assert.Assert(t, errors.Is(announce(k, "b", "h:3", 10), errContested), "it has no effect, so it isn't acknowledged")
		assertRuns(t, k, "b", "h:3", true)
		assert.NilError(t, announce(k, "b", "h:3", 10))
		assert.NilError(t, announce(k, "a", "h:2", 10))
		record(k)
		k.assertReplicas("a", "b")
	})

	t.Run("an unknown member is announced at the address of another", func(t *testing.T) {
		k := start(t)
		assert.NilError(t, announce(k, "c", "h:3", 20))
		k.clock.now += interval
		assert.Assert(t, errors.Is(announce(k, "b", "h:3", 10), errContested))
		assertRuns(t, k, "b", "h:3", true)
	})

	t.Run("late announcements of a member that has a successor", func(t *testing.T) {
		k := start(t)
		k.Dialer = namedMembers{"h:3": "c"}
		assert.NilError(t, announce(k, "c", "h:3", 20))

		for range 3 {
			k.clock.now += interval
			assert.Assert(t, errors.Is(announce(k, "b", "h:3", 10), errContested))
		}

		assertRuns(t, k, "c", "h:3", true)
	})

	t.Run("an announcement from before the end", func(t *testing.T) {
		k := start(t)
		assert.NilError(t, k.applyAnnouncement(lab.Announcement{Member: "b", Terminated: true}))
		assert.NilError(t, announce(k, "b", "h:3", 10))
		assertRuns(t, k, "b", "h:3", false)
	})

	t.Run("other instances follow", func(t *testing.T) {
		k, other := start(t), start(t)
		assert.NilError(t, k.applyAnnouncement(lab.Announcement{Member: "b", Terminated: true}))
		other.registry.Apply(lab.Announcement{Member: "b", Incarnation: 10, Terminated: true}, 0)

		k.clock.now += interval
		assert.Assert(t, errors.Is(announce(k, "b", "h:3", 10), errContested))
		assertRuns(t, k, "b", "h:3", true)

		e, _ := k.registry.Entry("b")
		other.registry.Apply(e.Announcement, 0)
		assertRuns(t, other, "b", "h:3", true)
	})
}
