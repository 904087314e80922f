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
