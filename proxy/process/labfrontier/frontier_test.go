package labfrontier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func at(number uint64) lab.CommitPosition { return lab.CommitPosition{Term: 1, Number: number} }

func TestFloor(t *testing.T) {
	var f Frontier

	_, ok := f.Floor(0)
	assert.Assert(t, !ok)

	f.Note(time.Second, at(5))
	f.Note(2*time.Second, at(9))

	for _, c := range []struct {
		name  string
		since time.Duration
		want  uint64 // 0 for none
	}{
		{"lowest that is new enough", 500 * time.Millisecond, 5},
		{"asked at that moment", time.Second, 5},
		{"older ones don't count", 1500 * time.Millisecond, 9},
		{"none is new enough", 2500 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, ok := f.Floor(c.since)
			assert.Equal(t, ok, c.want != 0)
			assert.Equal(t, p.Number, c.want)
		})
	}
}

func TestNote(t *testing.T) {
	var f Frontier

	f.Note(time.Second, at(5))
	f.Note(time.Second+spacing/2, at(6)) // too close
	f.Note(2*time.Second, at(4))         // a late answer
	f.Note(3*time.Second, lab.CommitPosition{})

	_, p, ok := f.Newest()
	assert.Assert(t, ok)
	assert.Equal(t, p, at(5))

	for i := range 3 * marks {
		f.Note(time.Duration(10+i)*time.Second, at(uint64(10+i)))
	}

	assert.Equal(t, len(f.marks), marks)

	p, ok = f.Floor(0)
	assert.Assert(t, ok)
	assert.Equal(t, p.Number, uint64(10+2*marks))
}
