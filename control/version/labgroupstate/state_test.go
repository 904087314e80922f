package labgroupstate

import (
	"testing"

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
