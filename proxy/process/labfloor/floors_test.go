package labfloor_test

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
	"laburnumlock.dev/lab/proxy/process/labfloor"
)

// fakeClock stands until it is moved; its Sleep runs a hook.
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

// network connects six proxies in three zones.
type network struct {
	clock   *fakeClock
	proxies map[string]*labfloor.Floors
	list    []lab.Instance
	down    map[string]bool
}

func (n *network) Open(context.Context, string, lab.Method, any) (lab.Stream, error) {
	return nil, errors.New("no streams")
}

func (n *network) Call(ctx context.Context, address string, _ lab.Method, request, answer any) error {
	if n.down[address] {
		return errors.New("unreachable")
	}

	sent, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}

	a, err := n.proxies[address].Handle(ctx, "", func(into any) error { return msgpack.Unmarshal(sent, into) })
	if err != nil {
		return err
	}

	got, err := msgpack.Marshal(a)
	if err != nil {
		return err
	}

	return msgpack.Unmarshal(got, answer)
}

func connected() *network {
	n := &network{clock: &fakeClock{}, proxies: map[string]*labfloor.Floors{}, down: map[string]bool{}}

	for i := range 6 {
		id := fmt.Sprint("p", i)
		n.list = append(n.list, lab.Instance{
			ID: lab.InstanceID(id), Address: id, AvailabilityZone: string(rune('a' + i%3)),
		})
		n.restart(id)
	}

	return n
}

func (n *network) restart(id string) {
	n.proxies[id] = &labfloor.Floors{
		Self: lab.Instance{ID: lab.InstanceID(id)}, Peers: n, Clock: n.clock, Limit: 3200,
		Candidates: func() []lab.Instance { return n.list },
	}
}

// holders returns the proxies that hold a floor of the session, by calls as on the network.
func (n *network) holders(session string) []lab.Instance {
	var found []lab.Instance

	for _, i := range n.list {
		var answer struct {
			Found bool `msgpack:"o"`
		}

		call := map[string]any{"k": fmt.Sprint(len(session), " ", session, " rota")}
		if n.Call(context.Background(), i.Address, lab.MethodMinPosition, call, &answer) == nil && answer.Found {
			found = append(found, i)
		}
	}

	return found
}

// survivor returns a proxy that is not the lost one.
func (n *network) survivor(lost lab.Instance) string {
	if n.list[0] == lost {
		return n.list[1].Address
	}

	return n.list[0].Address
}

func at(offset uint64) lab.WALPosition { return lab.WALPosition{Term: 1, Offset: offset} }

func keep(t *testing.T, n *network, proxy string, offset uint64) {
	t.Helper()
	assert.NilError(t, n.proxies[proxy].Store(t.Context(), "s", "rota", at(offset)))
}

func assertRecalled(t *testing.T, n *network, want lab.StoredMinPosition) {
	t.Helper()

	for _, i := range n.list {
		if !n.down[i.Address] {
			assert.Equal(t, n.proxies[i.Address].Load(t.Context(), "s", "rota"), want)
		}
	}
}

// Guards against a session that reads less than it wrote after it moved without a token.
func TestFloors(t *testing.T) {
	primary := lab.StoredMinPosition{PrimaryOnly: true}

	t.Run("recalled everywhere", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(10)})
	})
	t.Run("two zones", func(t *testing.T) {
		n := connected()
		for i := range 50 {
			session := fmt.Sprint(i)
			assert.NilError(t, n.proxies["p0"].Store(t.Context(), session, "rota", at(10)))

			h := n.holders(session)
			assert.Equal(t, len(h), 2)
			assert.Assert(t, h[0].AvailabilityZone != h[1].AvailabilityZone)
		}
	})
	t.Run("never lowered", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 20)
		keep(t, n, "p1", 10)
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(20)})
	})
	t.Run("unknown session", func(t *testing.T) {
		assertRecalled(t, connected(), primary)
	})
	t.Run("one peer lost", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		n.down[n.holders("s")[0].Address] = true
		assertRecalled(t, n, primary)
	})
	t.Run("one peer restarted", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		n.restart(n.holders("s")[1].Address)
		assertRecalled(t, n, primary)
		keep(t, n, "p0", 10)
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(10)})
	})
	t.Run("one peer replaced", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		lost := n.holders("s")[0]
		whole := n.list
		n.list = slices.DeleteFunc(slices.Clone(n.list), func(i lab.Instance) bool { return i.ID == lost.ID })
		assertRecalled(t, n, primary)
		keep(t, n, n.list[0].Address, 20)

		// A proxy with the old list asks the peer that both lists name.
		n.list = whole
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(20)})
	})
	t.Run("kept only at both", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		lost := n.holders("s")[0]
		n.down[lost.Address] = true

		ctx, cancel := context.WithCancel(t.Context())
		n.clock.sleep = cancel

		assert.ErrorContains(t, n.proxies[n.survivor(lost)].Store(ctx, "s", "rota", at(20)), "unreachable")
	})
	t.Run("tries again with a new list", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		lost := n.holders("s")[0]
		n.down[lost.Address] = true
		n.clock.sleep = func() {
			n.list = slices.DeleteFunc(slices.Clone(n.list), func(i lab.Instance) bool { return i.ID == lost.ID })
		}

		keep(t, n, n.survivor(lost), 20)
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(20)})
	})
	t.Run("list changes while a floor is kept", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		lost, whole := n.holders("s")[0], n.list
		n.list = slices.DeleteFunc(slices.Clone(n.list), func(i lab.Instance) bool { return i.ID == lost.ID })

		writer := n.proxies[n.survivor(lost)]
		current := writer.Candidates
		lists := [][]lab.Instance{whole}
		writer.Candidates = func() []lab.Instance {
			if len(lists) == 0 {
				return current()
			}

			first := lists[0]
			lists = lists[1:]

			return first
		}
		assert.NilError(t, writer.Store(t.Context(), "s", "rota", at(20)))
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(20)})
	})
	t.Run("another instance at the address of a peer", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)

		h := n.holders("s")
		n.proxies[h[0].Address] = n.proxies[h[1].Address]

		for _, i := range n.list {
			if !slices.Contains(h, i) {
				assert.Equal(t, n.proxies[i.Address].Load(t.Context(), "s", "rota"), primary)
			}
		}
	})
	t.Run("too few peers", func(t *testing.T) {
		n := connected()
		n.list = n.list[:1]
		assertRecalled(t, n, primary)
	})
}

// Guards against memory that grows with the number of sessions, and against floors that are kept for ever.
func TestStoreBounds(t *testing.T) {
	t.Run("number", func(t *testing.T) {
		n := connected()
		for i := range 20_000 {
			assert.NilError(t, n.proxies["p0"].Store(t.Context(), fmt.Sprint(i), "rota", at(1)))
		}

		found := 0
		for i := range 20_000 {
			if len(n.holders(fmt.Sprint(i))) > 0 {
				found++
			}
		}

		assert.Assert(t, found < 6*3200 && found > 3200, "%d sessions found", found)
	})
	t.Run("time", func(t *testing.T) {
		n := connected()
		keep(t, n, "p0", 10)
		n.clock.now.Store(int64(59 * time.Minute))
		assertRecalled(t, n, lab.StoredMinPosition{MinPosition: at(10)})
		n.clock.now.Store(int64(3 * time.Hour))
		assertRecalled(t, n, lab.StoredMinPosition{PrimaryOnly: true})
	})
}
