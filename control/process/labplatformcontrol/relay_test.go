package labplatformcontrol

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

// watch calls the handler of an instance as a proxy does.
func (c *cluster) watch(i int, r lab.WatchRequest) (lab.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	decode := func(v any) error { *v.(*lab.WatchRequest) = r; return nil }

	a, err := c.controllers[i].handleWatch(ctx, "", decode)
	if err != nil {
		return lab.WatchResponse{}, err
	}

	return a.(lab.WatchResponse), nil
}

func (c *cluster) leaderIndex() int {
	c.t.Helper()

	leader := -1

	c.eventually("a leader", func() bool {
		leader = slices.IndexFunc(c.controllers, (*Controller).Leading)

		return leader >= 0
	})

	return leader
}

// TestRelay checks that each control instance answers watches, and that the leader learns what the proxies report to the
// others. At 300 proxies, the watches of all at the leader kept it so busy that it lost the leadership 200 times in 20 s.
func TestRelay(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()
	follower := (leader + 1) % 3

	announcement := lab.Announcement{Database: "s", Member: "m", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, Primary: true}
	c.eventually("announcement accepted", func() bool {
		return c.controllers[follower].Announce(context.Background(), announcement) == nil
	})

	var a lab.WatchResponse

	t.Run("a follower answers", func(t *testing.T) {
		c.eventually("members and document", func() bool {
			var err error

			a, err = c.watch(follower, lab.WatchRequest{Proxy: proxy("p")})
			if err != nil || a.Leader != "" || len(a.Configuration) == 0 {
				return false
			}

			var l lab.MemberList

			assert.NilError(t, labpack.Decode(a.Members, &l))

			return l.Primaries["s"] == "m" // the first list is older than the announcement
		})
		assert.Equal(t, len(a.ControlAddresses), 3)
	})

	t.Run("an instance has the revisions of the leader", func(t *testing.T) {
		c.eventually("the same revision", func() bool {
			direct, err := c.watch(leader, lab.WatchRequest{Proxy: proxy("q")})
			assert.NilError(t, err)

			a, err = c.watch(follower, lab.WatchRequest{Proxy: proxy("p")})

			return err == nil && a.LeaderEpoch == direct.LeaderEpoch && a.MembersRevision == direct.MembersRevision
		})
	})

	t.Run("reports reach the leader", func(t *testing.T) {
		c.eventually("an observer's failure", func() bool {
			_, err := c.watch(follower, lab.WatchRequest{Proxy: proxy("p"), Primaries: []lab.PrimaryReport{
				{Service: "s", Member: "m", UnreachableFor: time.Second, Observer: true},
			}})
			failing, _ := c.controllers[leader].proxies.countReports("s", "m")

			return err == nil && failing == 1
		})
	})

	t.Run("positions reach the other proxies", func(t *testing.T) {
		sentAt := c.controllers[follower].Clock.Now()
		position := lab.CommitPosition{Term: 1, Number: 7}

		_, err := c.watch(follower, lab.WatchRequest{
			Proxy: proxy("p"), ClockEpoch: a.ClockEpoch, Positions: []lab.PositionReport{{Service: "s", Position: position, RequestedAt: sentAt}},
		})
		assert.NilError(t, err)

		c.eventually("the position", func() bool {
			b, err := c.watch((leader+2)%3, lab.WatchRequest{Proxy: proxy("r")})
			if err != nil || len(b.Positions) != 1 {
				return false
			}

			// All instances of the test share a clock, so the bound can be compared.
			assert.Equal(t, b.Positions[0].Position, position)
			assert.Assert(t, b.Positions[0].RequestedAt <= sentAt)
			assert.Assert(t, b.Positions[0].RequestedAt > sentAt-time.Second)

			return true
		})
	})

	t.Run("a draining proxy leaves the list", func(t *testing.T) {
		known := func() bool { return slices.Contains(c.controllers[leader].proxies.list(), proxy("p")) }

		c.eventually("the proxy is known", known)
		c.eventually("the proxy is gone", func() bool {
			_, err := c.watch(follower, lab.WatchRequest{Proxy: proxy("p"), Draining: true})
			assert.NilError(t, err)

			return !known()
		})
	})

	t.Run("an instance without a leader doesn't answer", func(t *testing.T) {
		c.stop(leader)
		c.stop((leader + 2) % 3)

		c.eventually("no answer", func() bool {
			_, err := c.watch(follower, lab.WatchRequest{Proxy: proxy("p")})

			return err != nil
		})

		c.restart(leader)
		c.eventually("an answer", func() bool {
			a, err := c.watch(follower, lab.WatchRequest{Proxy: proxy("p")})

			return err == nil && a.Leader == ""
		})
	})
}

// TestRelayedProxyList replays a restart of proxies in turn: a proxy that follows the changes has the list of the leader,
// also if it moves between instances.
func TestRelayedProxyList(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	leader := c.leaderIndex()

	for n := range 20 {
		c.controllers[leader].proxies.record(lab.WatchRequest{Proxy: proxy(fmt.Sprintf("p%02d", n))})
	}

	var (
		r    lab.WatchRequest
		list = map[lab.InstanceID]bool{}
	)

	follow := func(i int) bool {
		a, err := c.watch(i, r)
		if err != nil || a.Leader != "" {
			return false
		}

		if len(a.Proxies) > 0 {
			var all []lab.Instance

			assert.NilError(t, labpack.Decode(a.Proxies, &all))
			clear(list)

			for _, p := range all {
				list[p.ID] = true
			}
		}

		if len(a.ProxyChanges) > 0 {
			var changes lab.ProxyChanges

			assert.NilError(t, labpack.Decode(a.ProxyChanges, &changes))

			for _, id := range changes.Removed {
				delete(list, id)
			}

			for _, p := range changes.Set {
				list[p.ID] = true
			}
		}

		r.LeaderEpoch, r.MembersRevision = a.LeaderEpoch, a.MembersRevision
		if a.ProxiesRevision > 0 {
			r.ProxiesRevision = a.ProxiesRevision
		}

		return true
	}

	r.Proxy = proxy("p00")

	c.eventually("the first list", func() bool { return follow(0) && len(list) >= 20 })

	for n := range 12 {
		p := proxy(fmt.Sprintf("p%02d", n+1))
		c.controllers[leader].proxies.record(lab.WatchRequest{Proxy: p, Draining: true})

		if n%2 == 0 {
			c.controllers[leader].proxies.record(lab.WatchRequest{Proxy: p})
		}

		follow(n % 3)
	}

	c.eventually("the leader's list", func() bool {
		follow(1)

		want := c.controllers[leader].proxies.list()

		return len(list) == len(want) && !slices.ContainsFunc(want, func(p lab.Instance) bool { return !list[p.ID] })
	})
}
