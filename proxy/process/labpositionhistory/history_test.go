package labpositionhistory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func testPosition(number uint64) lab.CommitPosition {
	return lab.CommitPosition{Term: 1, Number: number}
}

func TestMinPosition(t *testing.T) {
	var h History

	_, ok := h.MinPosition(0)
	assert.Assert(t, !ok)

	h.Record(time.Second, testPosition(5))
	h.Record(2*time.Second, testPosition(9))

	for _, c := range []struct {
		name  string
		since time.Duration
		want  uint64 // number of the expected position, 0 for none
	}{
		{"oldest position that is recent enough", 500 * time.Millisecond, 5},
		{"requested at exactly that time", time.Second, 5},
		{"older positions don't count", 1500 * time.Millisecond, 9},
		{"no position is recent enough", 2500 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, ok := h.MinPosition(c.since)
			assert.Equal(t, ok, c.want != 0)
			assert.Equal(t, p.Number, c.want)
		})
	}
}

func TestRecord(t *testing.T) {
	var h History

	h.Record(time.Second, testPosition(5))
	h.Record(time.Second+minSpacing/2, testPosition(6)) // less than minSpacing after the observation before
	h.Record(2*time.Second, testPosition(4))            // a late response with an older position
	h.Record(3*time.Second, lab.CommitPosition{})

	_, p, ok := h.Newest()
	assert.Assert(t, ok)
	assert.Equal(t, p, testPosition(5))

	for i := range 3 * maxObservations {
		h.Record(time.Duration(10+i)*time.Second, testPosition(uint64(10+i)))
	}

	assert.Equal(t, len(h.observations), maxObservations)

	p, ok = h.MinPosition(0)
	assert.Assert(t, ok)
	assert.Equal(t, p.Number, uint64(10+2*maxObservations))
}
