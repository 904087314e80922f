package labplatformcontrol

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

// TestEntriesOfAnotherWriter checks that odd entries among those of the members replace no member, and that all who read
// the list go on: the leader, the other instances, the stored list and the watches.
func TestEntriesOfAnotherWriter(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4, "Services":[{"Name":"s"}]}`)

	leader := c.leaderIndex()
	follower := (leader + 1) % 3
	valid := lab.Announcement{Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: 5, Sequence: 1, Primary: true}

	c.eventually("document known to both", func() bool {
		return c.controllers[leader].configuredServices()["s"] && c.controllers[follower].configuredServices()["s"]
	})
	c.eventually("announcement accepted", func() bool {
		return c.controllers[follower].Announce(context.Background(), valid) == nil
	})

	odd := map[string]lab.Announcement{
		"unknown service under the id of a member":      {Database: "x", Member: "m", Address: "127.0.0.1:9", Incarnation: 9, Sequence: 9},
		"unknown service at the address of a member":    {Database: "x", Member: "n", Address: "127.0.0.1:1", Incarnation: 9, Sequence: 9},
		"port out of range under the id of a member":    {Database: "s", Member: "m", Address: "127.0.0.1:99999", Incarnation: 9},
		"sequence that would bar all later ones":        {Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: 5, Sequence: math.MaxUint64},
		"incarnation that would bar all later ones":     {Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: math.MaxUint64},
		"farewell of an incarnation that can't be true": {Member: "m", Incarnation: math.MaxUint64, Terminated: true},
	}

	assertListed := func(i int) {
		t.Helper()
		c.eventually("the member is listed alone", func() bool {
			a, err := c.watch(i, lab.WatchRequest{Proxy: proxy("p")})
			if err != nil || a.Leader != "" {
				return false
			}

			var l lab.MemberList

			assert.NilError(t, labpack.Decode(a.Members, &l))

			return len(l.Members) == 1 && l.Members[0] == valid && l.Primaries["s"] == "m"
		})
	}

	for name, a := range odd {
		t.Run(name, func(t *testing.T) {
			for _, i := range []int{leader, follower} {
				k := c.controllers[i]

				if a.Database == "x" {
					assert.Assert(t, errors.Is(k.Announce(t.Context(), a), ErrInvalid))
				}

				// The same entry from an older or damaged control instance.
				_, err := k.handleBroadcast(t.Context(), "", func(v any) error {
					if a.Database != "x" {
						v.(*broadcastRequest).Observations = []observation{{Announcement: a}}
					}

					return nil
				})
				assert.NilError(t, err)
				assertListed(i)
			}
		})
	}

	t.Run("later announcements of the member count", func(t *testing.T) {
		valid.Sequence, valid.Draining = 2, true
		assert.NilError(t, c.controllers[leader].Announce(t.Context(), valid))
		assertListed(leader)
		assertListed(follower)
	})

	t.Run("stored list", func(t *testing.T) {
		k := c.controllers[follower]
		all := []lab.Announcement{valid}

		for _, a := range odd {
			if a.Database != "x" {
				all = append(all, a)
			}
		}

		b, err := msgpack.Marshal(all)
		assert.NilError(t, err)
		c.eventually("the instance has stored its own list", func() bool {
			var stored []lab.Announcement

			b, err := os.ReadFile(filepath.Join(k.DataFolder, membersFile))

			return err == nil && msgpack.Unmarshal(b, &stored) == nil && len(stored) == 1 && stored[0] == valid
		})
		assert.NilError(t, replaceFile(k.DataFolder, membersFile, b))
		k.loadLists()
		assertListed(follower)
		assert.Equal(t, len(k.members()), 1)
	})
}

// TestLeftWhileDown checks that a member that left while a control instance was down is not in use again after the
// instance has restarted with its stored list, even if it becomes the leader.
func TestLeftWhileDown(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	announce := func(a lab.Announcement) {
		c.eventually("announcement accepted", func() bool {
			for _, k := range c.controllers {
				if k.Leading() {
					return k.Announce(context.Background(), a) == nil
				}
			}

			return false
		})
	}

	leader := c.leaderIndex()
	down := (leader + 1) % 3
	stays := lab.Announcement{Database: "s", Member: "stays", Address: "127.0.0.1:1", Incarnation: 5, Sequence: 1}
	leaves := lab.Announcement{Database: "s", Member: "leaves", Address: "127.0.0.1:2", Incarnation: 5, Sequence: 1}

	announce(stays)
	announce(leaves)
	c.eventually("both members stored", func() bool {
		var stored []lab.Announcement

		c.controllers[down].loadList(membersFile, &stored)

		return len(stored) == 2
	})
	c.stop(down)

	announce(lab.Announcement{Member: "leaves", Terminated: true})

	// The farewell is forgotten after a while, like every member that is silent.
	c.controllers[leader].registry.Retain(map[string]bool{"stays": true}, 0)
	c.restart(down)

	c.eventually("the member that left is dropped", func() bool {
		m := c.controllers[down].members()

		return len(m) == 1 && m[0].Member == "stays"
	})
}
