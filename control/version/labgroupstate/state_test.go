package labgroupstate

import (
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func apply(t *testing.T, r *State, index uint64, c Command) any {
	t.Helper()

	b, err := c.Encode()
	assert.NilError(t, err)

	return r.Apply(index, b)
}

func document(version uint64, source string) Command {
	return Command{Document: &Document{Version: version, Packed: []byte(source)}}
}

func TestDocument(t *testing.T) {
	r := &State{}
	assert.Equal(t, apply(t, r, 1, document(5, "five")), true)
	assert.Equal(t, apply(t, r, 2, document(4, "four")), false, "an older version must not take effect")
	assert.Equal(t, apply(t, r, 3, document(5, "other")), false, "another document with the same version must not take effect")
	assert.Equal(t, string(r.Document().Packed), "five")
	assert.Equal(t, apply(t, r, 4, document(9, "nine")), true)
	assert.Equal(t, r.Document().Version, uint64(9))
}

func TestPromotion(t *testing.T) {
	r := &State{}
	assert.Equal(t, apply(t, r, 7, Command{Order: &Order{Service: "s", Member: "a"}}), uint64(7))
	assert.Equal(t, apply(t, r, 8, Command{Order: &Order{Service: "s", Member: "b"}}), uint64(8))
	assert.Equal(t, apply(t, r, 9, Command{OrderConfirmed: &OrderConfirmed{Service: "s", Token: 7}}), false, "a later order exists")

	p, _ := r.Promotion("s")
	assert.Assert(t, !p.Confirmed)
	assert.Equal(t, apply(t, r, 10, Command{OrderConfirmed: &OrderConfirmed{Service: "s", Token: 8}}), true)

	p, _ = r.Promotion("s")
	assert.Assert(t, p.Confirmed && p.Member == "b")
}

// TestConditionalOrder guards against an order that rests on what its sender knew before another leader's order.
func TestConditionalOrder(t *testing.T) {
	r := &State{}
	order := func(after uint64) Command {
		return Command{Order: &Order{Service: "s", Member: "a", After: after, Conditional: true}}
	}

	assert.Equal(t, apply(t, r, 7, order(0)), uint64(7))
	assert.Equal(t, apply(t, r, 8, order(0)), ErrSuperseded)
	assert.Equal(t, apply(t, r, 9, order(7)), uint64(9))
	assert.Equal(t, apply(t, r, 10, order(7)), ErrSuperseded)

	p, _ := r.Promotion("s")
	assert.Equal(t, p.Token, uint64(9))
}

func TestSnapshot(t *testing.T) {
	r := &State{}
	apply(t, r, 1, document(5, "five"))
	apply(t, r, 2, Command{Order: &Order{Service: "s", Member: "a"}})

	b, err := r.Snapshot()
	assert.NilError(t, err)

	o := &State{}
	assert.NilError(t, o.Restore(b))
	assert.DeepEqual(t, o.Document(), r.Document())

	p, ok := o.Promotion("s")
	assert.Assert(t, ok && p.Token == 2)
}

func holder(member, address string, primary bool) Holder {
	return Holder{Service: "s", Member: member, Address: address, Primary: primary}
}

func TestHolders(t *testing.T) {
	start := func(t *testing.T) *State {
		t.Helper()

		r := &State{}
		apply(t, r, 1, Command{Holders: &HoldersChange{Set: []Holder{holder("b", "2", false), holder("a", "1", true)}}})

		return r
	}

	t.Run("sorted by address", func(t *testing.T) {
		assert.DeepEqual(t, start(t).Holders()["s"], []Holder{holder("a", "1", true), holder("b", "2", false)})
	})

	t.Run("a successor takes the place of the member before it", func(t *testing.T) {
		r := start(t)
		apply(t, r, 2, Command{Holders: &HoldersChange{Set: []Holder{holder("c", "2", false)}}})
		apply(t, r, 3, Command{Holders: &HoldersChange{Removed: []Holder{holder("b", "2", false)}}})
		assert.DeepEqual(t, r.Holders()["s"], []Holder{holder("a", "1", true), holder("c", "2", false)})
	})

	t.Run("removed", func(t *testing.T) {
		r := start(t)
		before := r.Holders()["s"]
		apply(t, r, 2, Command{Holders: &HoldersChange{Removed: []Holder{holder("a", "1", true)}}})
		assert.DeepEqual(t, r.Holders()["s"], []Holder{holder("b", "2", false)})
		assert.Equal(t, len(before), 2, "a list that was handed out doesn't change")
		apply(t, r, 3, Command{Holders: &HoldersChange{Removed: []Holder{holder("b", "2", false)}}})
		assert.Equal(t, len(r.Holders()), 0)
	})

	t.Run("address of the primary", func(t *testing.T) {
		r := start(t)
		assert.Equal(t, r.Primary("s"), Leader{"a", "1"})
		apply(t, r, 2, Command{Holders: &HoldersChange{Set: []Holder{holder("c", "2", true)}}})
		assert.Equal(t, r.Primary("s"), Leader{"a", "1"}, "only an order changes the primary")
		apply(t, r, 3, Command{Order: &Order{Service: "s", Member: "c", Address: "2"}})
		assert.Equal(t, r.Primary("s"), Leader{"a", "1"})
		apply(t, r, 4, Command{OrderConfirmed: &OrderConfirmed{Service: "s", Token: 3}})
		assert.Equal(t, r.Primary("s"), Leader{"c", "2"})
	})

	t.Run("kept in a snapshot", func(t *testing.T) {
		r, o := start(t), &State{}
		apply(t, r, 2, Command{Attempt: &Attempt{Service: "s", Open: true}})

		b, err := r.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, o.Restore(b))
		assert.DeepEqual(t, o.Holders(), r.Holders())
		assert.Equal(t, o.Primary("s"), Leader{"a", "1"})
		assert.Assert(t, o.AttemptOpen("s"))
	})
}

func TestAttempt(t *testing.T) {
	r := &State{}
	assert.Assert(t, !r.AttemptOpen("s"))
	apply(t, r, 1, Command{Attempt: &Attempt{Service: "s", Open: true}})
	assert.Assert(t, r.AttemptOpen("s") && !r.AttemptOpen("t"))
	apply(t, r, 2, Command{Attempt: &Attempt{Service: "s"}})
	assert.Assert(t, !r.AttemptOpen("s"))
}

// TestOpenOrders checks which orders count as ones that can still take effect.
func TestOpenOrders(t *testing.T) {
	order := func(member string) Command { return Command{Order: &Order{Service: "s", Member: member}} }
	refused := func(token uint64) Command { return Command{OrderRefused: &OrderRefused{Service: "s", Token: token}} }
	confirmed := func(token uint64, answered bool) Command {
		return Command{OrderConfirmed: &OrderConfirmed{Service: "s", Token: token, Answered: answered}}
	}
	assertOpen := func(t *testing.T, r *State, want ...OpenOrders) {
		t.Helper()
		assert.Assert(t, slices.Equal(r.OpenOrders("s"), want), "%v", r.OpenOrders("s"))
	}

	// start returns a state with orders 1 and 3 for a, and order 2 for b.
	start := func(t *testing.T) *State {
		t.Helper()

		r := &State{}
		apply(t, r, 1, order("a"))
		apply(t, r, 2, order("b"))
		apply(t, r, 3, order("a"))

		return r
	}

	t.Run("none", func(t *testing.T) { assertOpen(t, &State{}) })

	t.Run("recorded", func(t *testing.T) {
		r := start(t)
		assertOpen(t, r, OpenOrders{"a", 3, 2}, OpenOrders{"b", 2, 1})
		assert.Equal(t, len(r.OpenOrders("t")), 0)
	})

	t.Run("a superseded order is not open", func(t *testing.T) {
		r := start(t)
		apply(t, r, 4, Command{Order: &Order{Service: "s", Member: "c", After: 1, Conditional: true}})
		assertOpen(t, r, OpenOrders{"a", 3, 2}, OpenOrders{"b", 2, 1})
	})

	t.Run("refused", func(t *testing.T) {
		r := start(t)
		before := r.OpenOrders("s")
		apply(t, r, 4, refused(2))
		assertOpen(t, r, OpenOrders{"a", 3, 2})
		assert.Equal(t, len(before), 2, "a list that was handed out doesn't change")
		apply(t, r, 5, refused(9))
		assertOpen(t, r, OpenOrders{"a", 3, 2})
		apply(t, r, 6, refused(3))
		assertOpen(t, r, OpenOrders{"a", 3, 1})
		apply(t, r, 7, refused(1))
		assertOpen(t, r, OpenOrders{"a", 3, 1})
	})

	t.Run("an answered confirmation clears all", func(t *testing.T) {
		r := start(t)
		apply(t, r, 4, confirmed(3, true))
		assertOpen(t, r)
		apply(t, r, 5, order("b"))
		assertOpen(t, r, OpenOrders{"b", 5, 1})
	})

	t.Run("an unanswered confirmation keeps the member's own", func(t *testing.T) {
		r := &State{}
		apply(t, r, 1, order("a"))
		apply(t, r, 2, order("a"))
		apply(t, r, 3, confirmed(2, false))
		assertOpen(t, r, OpenOrders{"a", 2, 2})
	})

	t.Run("the confirmation of an earlier order clears nothing", func(t *testing.T) {
		r := start(t)
		assert.Equal(t, apply(t, r, 4, confirmed(2, true)), false)
		assertOpen(t, r, OpenOrders{"a", 3, 2}, OpenOrders{"b", 2, 1})
	})

	t.Run("kept in a snapshot", func(t *testing.T) {
		r, o := start(t), &State{}

		b, err := r.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, o.Restore(b))
		assertOpen(t, o, OpenOrders{"a", 3, 2}, OpenOrders{"b", 2, 1})
	})

	t.Run("a cleared list stays cleared in a snapshot", func(t *testing.T) {
		r, o := start(t), &State{}
		apply(t, r, 4, confirmed(3, true))

		b, err := r.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, o.Restore(b))
		assertOpen(t, o)
	})

	t.Run("a snapshot of an earlier version", func(t *testing.T) {
		b, err := msgpack.Marshal(map[string]any{"p": map[string]Promotion{
			"s": {Service: "s", Member: "a", Token: 7}, "t": {Service: "t", Member: "b", Token: 8, Confirmed: true},
		}})
		assert.NilError(t, err)

		r := &State{}
		assert.NilError(t, r.Restore(b))
		assertOpen(t, r, OpenOrders{"a", 7, 1})
		assert.Equal(t, len(r.OpenOrders("t")), 0)

		// The first command may come before the list is read.
		r = &State{}
		assert.NilError(t, r.Restore(b))
		apply(t, r, 9, order("b"))
		assertOpen(t, r, OpenOrders{"a", 7, 1}, OpenOrders{"b", 9, 1})
	})
}
