package labplatformcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
	"laburnumlock.dev/lab/process/labtransport"
)

func acknowledged(service string, number uint64) lab.AcknowledgedPosition {
	return lab.AcknowledgedPosition{Service: service, Position: lab.CommitPosition{Term: 1, Number: number}}
}

// TestAcknowledgedPositions guards against a leader that orders a member without commits that proxies have seen
// acknowledged: each leader learns the positions, whichever instance the proxies watch.
func TestAcknowledgedPositions(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, `{"Version":4,"Services":[{"Name":"s"},{"Name":"t"}]}`)

	leader := c.leaderIndex()
	follower := (leader + 1) % 3
	report := func(i int, p lab.AcknowledgedPosition) {
		t.Helper()
		c.eventually("report accepted", func() bool {
			a, err := c.watch(i, lab.WatchRequest{Proxy: proxy("p"), Acknowledged: []lab.AcknowledgedPosition{p}})

			return err == nil && a.Leader == ""
		})
	}
	assertBound := func(i int, want lab.AcknowledgedPosition) {
		t.Helper()
		c.eventually("bound", func() bool { return c.controllers[i].memberLogs.Bound(want.Service).Position == want.Position })
		assert.Equal(t, c.controllers[i].memberLogs.Bound(want.Service).Source, "proxies")
	}

	t.Run("reported to the leader", func(t *testing.T) {
		report(leader, acknowledged("t", 4))
		assertBound(leader, acknowledged("t", 4))
	})

	t.Run("reported to another instance", func(t *testing.T) {
		report(follower, acknowledged("s", 9))
		report(follower, acknowledged("s", 8))
		assertBound(leader, acknowledged("s", 9))
	})

	t.Run("a new leader learns what the others have passed on before", func(t *testing.T) {
		report((leader+2)%3, acknowledged("t", 6))
		assertBound(leader, acknowledged("t", 6))
		c.stop(leader)

		next := c.leaderIndexExcept(leader)
		assertBound(next, acknowledged("s", 9))
		assertBound(next, acknowledged("t", 6))
	})
}

// leaderIndexExcept returns the index of the leader once it is not the stopped instance.
func (c *cluster) leaderIndexExcept(stopped int) int {
	c.t.Helper()

	leader := -1

	c.eventually("a new leader", func() bool {
		leader = slices.IndexFunc(c.controllers, func(k *Controller) bool { return k != c.controllers[stopped] && k.Leading() })

		return leader >= 0
	})

	return leader
}

func TestRelayAcknowledged(t *testing.T) {
	const address = "leader:1"

	start := func(t *testing.T) *relay {
		t.Helper()

		k := &Controller{
			Clock: &manualClock{now: time.Minute}, Random: labrandom.NewSeeded(1), Transport: &labtransport.Transport{},
			DataFolder: t.TempDir(),
		}
		k.Prepare()

		return k.relay
	}
	record := func(y *relay, p ...lab.AcknowledgedPosition) {
		y.recordAcknowledged(p, 4, map[string]bool{"s": true, "t": true})
	}
	// exchange sends a request that the leader answers, and returns its positions.
	exchange := func(t *testing.T, y *relay, leader string, epoch uint64) []lab.AcknowledgedPosition {
		t.Helper()

		r, _ := y.request(leader)
		assert.NilError(t, y.store(leader, r, lab.WatchResponse{LeaderEpoch: epoch, ClockEpoch: epoch}, time.Minute))

		return r.Acknowledged
	}
	assertSent := func(t *testing.T, got []lab.AcknowledgedPosition, want ...lab.AcknowledgedPosition) {
		t.Helper()
		assert.Assert(t, slices.Equal(got, want), "%v", got)
	}

	t.Run("maximum of the proxies", func(t *testing.T) {
		y := start(t)
		record(y, acknowledged("t", 2), acknowledged("s", 9))
		record(y, acknowledged("s", 7), acknowledged("t", 3))
		assertSent(t, exchange(t, y, address, 1), acknowledged("s", 9), acknowledged("t", 3))
	})

	t.Run("changes only", func(t *testing.T) {
		y := start(t)
		exchange(t, y, address, 1)
		record(y, acknowledged("s", 9), acknowledged("t", 3))
		exchange(t, y, address, 1)
		record(y, acknowledged("s", 10), acknowledged("t", 3))
		assertSent(t, exchange(t, y, address, 1), acknowledged("s", 10))
		assertSent(t, exchange(t, y, address, 1))
	})

	t.Run("again after a request without a response", func(t *testing.T) {
		y := start(t)
		exchange(t, y, address, 1)
		record(y, acknowledged("s", 9))
		y.request(address)
		assertSent(t, exchange(t, y, address, 1), acknowledged("s", 9))
	})

	t.Run("all to another leader", func(t *testing.T) {
		y := start(t)
		exchange(t, y, address, 1)
		record(y, acknowledged("s", 9))
		exchange(t, y, address, 1)
		assertSent(t, exchange(t, y, "leader:2", 2), acknowledged("s", 9))
	})

	t.Run("all to the same instance in its next leadership", func(t *testing.T) {
		y := start(t)
		exchange(t, y, address, 1)
		record(y, acknowledged("s", 9))
		exchange(t, y, address, 1)
		exchange(t, y, address, 2)
		assertSent(t, exchange(t, y, address, 2), acknowledged("s", 9))
	})

	t.Run("a service that is no longer configured", func(t *testing.T) {
		y := start(t)
		record(y, acknowledged("s", 9), acknowledged("t", 3))
		y.recordAcknowledged(nil, 5, map[string]bool{"t": true})
		assertSent(t, exchange(t, y, address, 1), acknowledged("t", 3))
	})

	t.Run("a service of a document that is not known here yet", func(t *testing.T) {
		y := start(t)
		record(y)
		record(y, acknowledged("u", 1))
		record(y)
		y.recordAcknowledged(nil, 5, map[string]bool{"u": true})
		assertSent(t, exchange(t, y, address, 1), acknowledged("u", 1))
	})
}

// TestAcknowledgedSize bounds what the positions of 20 services add to each watch.
func TestAcknowledgedSize(t *testing.T) {
	const maxBytes = 700

	var r lab.WatchRequest

	for i := range 20 {
		r.Acknowledged = append(r.Acknowledged, lab.AcknowledgedPosition{
			Service: fmt.Sprintf("huvo11%c", 'a'+i), Position: lab.CommitPosition{Term: 5, Number: 200_000},
		})
	}

	with, err := msgpack.Marshal(r)
	assert.NilError(t, err)

	r.Acknowledged = nil
	without, err := msgpack.Marshal(r)
	assert.NilError(t, err)

	t.Logf("%d bytes for 20 services", len(with)-len(without))
	assert.Assert(t, len(with)-len(without) < maxBytes)
}
