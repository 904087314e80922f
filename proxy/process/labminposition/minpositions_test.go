package labminposition_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labminposition"
)

// fakeClock is a simulated clock that changes only when a test sets it. Its method Sleep calls the function sleep, if
// it is set, and returns at once.
type fakeClock struct {
	now   atomic.Int64
	sleep func()
}

func (c *fakeClock) Now() time.Duration { return time.Duration(c.now.Load()) }
func (c *fakeClock) Wall() time.Time    { return time.Time{} }

func (c *fakeClock) Sleep(ctx context.Context, _ time.Duration) error {
	if c.sleep != nil {
		c.sleep()
	}

	return ctx.Err()
}

// network connects six proxies in three availability zones.
type network struct {
	clock       *fakeClock
	stores      map[string]*labminposition.MinPositions
	candidates  []lab.Instance
	unreachable map[string]bool
}

func (n *network) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errors.New("no streams")
}

func (n *network) Call(ctx context.Context, address string, _ lab.Method, request, response any) error {
	if n.unreachable[address] {
		return errors.New("unreachable")
	}

	sent, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}

	handled, err := n.stores[address].Handle(ctx, "", func(into any) error { return msgpack.Unmarshal(sent, into) })
	if err != nil {
		return err
	}

	reply, err := msgpack.Marshal(handled)
	if err != nil {
		return err
	}

	return msgpack.Unmarshal(reply, response)
}

func newNetwork() *network {
	n := &network{
		clock: &fakeClock{}, stores: map[string]*labminposition.MinPositions{}, unreachable: map[string]bool{},
	}

	for i := range 6 {
		id := fmt.Sprint("p", i)
		n.candidates = append(n.candidates, lab.Instance{
			ID: lab.InstanceID(id), Address: id, AvailabilityZone: string(rune('a' + i%3)),
		})
		n.restart(id)
	}

	return n
}

func (n *network) restart(id string) {
	n.stores[id] = &labminposition.MinPositions{
		Self: lab.Instance{ID: lab.InstanceID(id)}, Peers: n, Clock: n.clock, MaxPositions: 3200,
		Candidates: func() []lab.Instance { return n.candidates },
	}
}

// storingPeers returns the proxies that have a minimum position of the session. It asks each proxy by a network call.
func (n *network) storingPeers(session string) []lab.Instance {
	var found []lab.Instance

	for _, i := range n.candidates {
		var response struct {
			Found bool `msgpack:"o"`
		}

		call := map[string]any{"k": fmt.Sprint(len(session), " ", session, " rota")}
		if n.Call(context.Background(), i.Address, lab.MethodMinPosition, call, &response) == nil && response.Found {
			found = append(found, i)
		}
	}

	return found
}

// reachableProxy returns the address of a proxy other than the lost one.
func (n *network) reachableProxy(lost lab.Instance) string {
	if n.candidates[0] == lost {
		return n.candidates[1].Address
	}

	return n.candidates[0].Address
}

func position(offset uint64) lab.WALPosition { return lab.WALPosition{Term: 1, Offset: offset} }

func storePosition(t *testing.T, n *network, proxy string, offset uint64) {
	t.Helper()
	assert.NilError(t, n.stores[proxy].Store(t.Context(), "s", "rota", position(offset)))
}

func assertLoaded(t *testing.T, n *network, want lab.StoredMinPosition) {
	t.Helper()

	for _, i := range n.candidates {
		if !n.unreachable[i.Address] {
			assert.Equal(t, n.stores[i.Address].Load(t.Context(), "s", "rota"), want)
		}
	}
}

// Guards against a named session that misses its own writes after it reconnects to another proxy without a token.
func TestMinPositions(t *testing.T) {
	primaryOnly := lab.StoredMinPosition{PrimaryOnly: true}

	t.Run("loaded by every proxy", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(10)})
	})
	t.Run("two zones", func(t *testing.T) {
		n := newNetwork()
		for i := range 50 {
			session := fmt.Sprint(i)
			assert.NilError(t, n.stores["p0"].Store(t.Context(), session, "rota", position(10)))

			peers := n.storingPeers(session)
			assert.Equal(t, len(peers), 2)
			assert.Assert(t, peers[0].AvailabilityZone != peers[1].AvailabilityZone)
		}
	})
	t.Run("never lowered", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 20)
		storePosition(t, n, "p1", 10)
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(20)})
	})
	t.Run("unknown session", func(t *testing.T) {
		assertLoaded(t, newNetwork(), primaryOnly)
	})
	t.Run("one peer lost", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		n.unreachable[n.storingPeers("s")[0].Address] = true
		assertLoaded(t, n, primaryOnly)
	})
	t.Run("one peer restarted", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		n.restart(n.storingPeers("s")[1].Address)
		assertLoaded(t, n, primaryOnly)
		storePosition(t, n, "p0", 10)
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(10)})
	})
	t.Run("one peer replaced", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		lost := n.storingPeers("s")[0]
		allCandidates := n.candidates
		n.candidates = slices.DeleteFunc(slices.Clone(n.candidates), func(i lab.Instance) bool {
			return i.ID == lost.ID
		})
		assertLoaded(t, n, primaryOnly)
		storePosition(t, n, n.candidates[0].Address, 20)

		// A proxy with the old candidate list still calls the peer that both lists give.
		n.candidates = allCandidates
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(20)})
	})
	t.Run("stored only at both peers", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		lost := n.storingPeers("s")[0]
		n.unreachable[lost.Address] = true

		ctx, cancel := context.WithCancel(t.Context())
		n.clock.sleep = cancel

		assert.ErrorContains(t, n.stores[n.reachableProxy(lost)].Store(ctx, "s", "rota", position(20)), "unreachable")
	})
	t.Run("retries with a new candidate list", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		lost := n.storingPeers("s")[0]
		n.unreachable[lost.Address] = true
		n.clock.sleep = func() {
			n.candidates = slices.DeleteFunc(slices.Clone(n.candidates), func(i lab.Instance) bool {
				return i.ID == lost.ID
			})
		}

		storePosition(t, n, n.reachableProxy(lost), 20)
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(20)})
	})
	t.Run("candidate list changes while a position is stored", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		lost, allCandidates := n.storingPeers("s")[0], n.candidates
		n.candidates = slices.DeleteFunc(slices.Clone(n.candidates), func(i lab.Instance) bool {
			return i.ID == lost.ID
		})

		writer := n.stores[n.reachableProxy(lost)]
		current := writer.Candidates
		lists := [][]lab.Instance{allCandidates}
		writer.Candidates = func() []lab.Instance {
			if len(lists) == 0 {
				return current()
			}

			first := lists[0]
			lists = lists[1:]

			return first
		}
		assert.NilError(t, writer.Store(t.Context(), "s", "rota", position(20)))
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(20)})
	})
	t.Run("another instance at the address of a peer", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)

		peers := n.storingPeers("s")
		n.stores[peers[0].Address] = n.stores[peers[1].Address]

		for _, i := range n.candidates {
			if !slices.Contains(peers, i) {
				assert.Equal(t, n.stores[i.Address].Load(t.Context(), "s", "rota"), primaryOnly)
			}
		}
	})
	t.Run("too few peers", func(t *testing.T) {
		n := newNetwork()
		n.candidates = n.candidates[:1]
		assertLoaded(t, n, primaryOnly)
	})
}

// Guards against memory that grows with the number of sessions, and against minimum positions that never expire.
func TestStoreBounds(t *testing.T) {
	t.Run("number", func(t *testing.T) {
		n := newNetwork()
		for i := range 20_000 {
			assert.NilError(t, n.stores["p0"].Store(t.Context(), fmt.Sprint(i), "rota", position(1)))
		}

		found := 0
		for i := range 20_000 {
			if len(n.storingPeers(fmt.Sprint(i))) > 0 {
				found++
			}
		}

		assert.Assert(t, found < 6*3200 && found > 3200, "%d sessions found", found)
	})
	t.Run("time", func(t *testing.T) {
		n := newNetwork()
		storePosition(t, n, "p0", 10)
		n.clock.now.Store(int64(59 * time.Minute))
		assertLoaded(t, n, lab.StoredMinPosition{MinPosition: position(10)})
		n.clock.now.Store(int64(3 * time.Hour))
		assertLoaded(t, n, lab.StoredMinPosition{PrimaryOnly: true})
	})
}
