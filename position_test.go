package lab_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// Guards against comparing offsets of different terms without their switch points. A former primary that has diverged
// could then serve reads of a session although it lacks the session's writes.
func TestHistory(t *testing.T) {
	h := lab.TermHistory{{Term: 1, Offset: 0}, {Term: 2, Offset: 100}, {Term: 3, Offset: 250}}

	covers := func(replayed, minimum lab.WALPosition, want bool) func(*testing.T) {
		return func(t *testing.T) {
			assert.Equal(t, h.Covers(replayed, minimum), want)
		}
	}

	t.Run("same term", covers(lab.WALPosition{Term: 3, Offset: 300}, lab.WALPosition{Term: 3, Offset: 300}, true))
	t.Run("behind", covers(lab.WALPosition{Term: 3, Offset: 299}, lab.WALPosition{Term: 3, Offset: 300}, false))
	t.Run("older minimum", covers(lab.WALPosition{Term: 2, Offset: 120}, lab.WALPosition{Term: 1, Offset: 90}, true))
	t.Run("abandoned minimum", covers(lab.WALPosition{Term: 2, Offset: 100}, lab.WALPosition{Term: 1, Offset: 140}, true))
	t.Run("member in older term below switch", covers(lab.WALPosition{Term: 1, Offset: 80}, lab.WALPosition{Term: 1, Offset: 80}, true))
	t.Run("member in older term, newer minimum", covers(lab.WALPosition{Term: 1, Offset: 100}, lab.WALPosition{Term: 2, Offset: 101}, false))
	t.Run("divergent member", covers(lab.WALPosition{Term: 1, Offset: 500}, lab.WALPosition{Term: 2, Offset: 120}, false))
	t.Run("minimum of an unknown term, older member", covers(lab.WALPosition{Term: 3, Offset: 900}, lab.WALPosition{Term: 4, Offset: 300}, false))
	t.Run("minimum of an unknown term, same term", covers(lab.WALPosition{Term: 4, Offset: 300}, lab.WALPosition{Term: 4, Offset: 300}, true))
	t.Run("divergent tail does not fit", func(t *testing.T) {
		assert.Equal(t, h.Contains(lab.WALPosition{Term: 1, Offset: 101}), false)
		assert.Equal(t, h.Contains(lab.WALPosition{Term: 2, Offset: 250}), true)
	})
}

// Guards against an offset that changes when it is formatted and parsed again, and against accepting malformed text.
func TestOffsetText(t *testing.T) {
	for _, o := range []uint64{0, 1, 1 << 32, 0x16_B374D848, 1<<64 - 1} {
		got, err := lab.ParseLSN(lab.FormatLSN(o))
		assert.NilError(t, err)
		assert.Equal(t, got, o)
	}

	for _, s := range []string{"1", "x/1", "1/x", "1/100000000"} {
		_, err := lab.ParseLSN(s)
		assert.ErrorContains(t, err, "log position")
	}
}

func TestCommitPositionCovers(t *testing.T) {
	for _, c := range []struct {
		name string
		p, q lab.CommitPosition
		want bool
	}{
		{"same", lab.CommitPosition{Term: 1, Number: 24}, lab.CommitPosition{Term: 1, Number: 24}, true},
		{"fewer commits", lab.CommitPosition{Term: 1, Number: 23}, lab.CommitPosition{Term: 1, Number: 24}, false},
		{"a later term with as many commits", lab.CommitPosition{Term: 2, Number: 24}, lab.CommitPosition{Term: 1, Number: 24}, true},
		{"a later term with fewer commits", lab.CommitPosition{Term: 2, Number: 15}, lab.CommitPosition{Term: 1, Number: 24}, false},
		{"an earlier term with more commits", lab.CommitPosition{Term: 1, Number: 24}, lab.CommitPosition{Term: 2, Number: 15}, false},
		{"unset", lab.CommitPosition{Term: 1, Number: 1}, lab.CommitPosition{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.p.Covers(c.q), c.want)
		})
	}
}
