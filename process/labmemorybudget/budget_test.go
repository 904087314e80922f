package labmemorybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// steppingClock advances by a second with each reading.
type steppingClock struct {
	lab.Clock

	now time.Duration
}

func (c *steppingClock) Now() time.Duration {
	c.now += time.Second

	return c.now
}

// opened is an account of a test and whether it was evicted.
type opened struct {
	lab.MemoryAccount

	evicted bool
}

func open(b *Budget, bytes int) *opened {
	o := &opened{}
	o.MemoryAccount = b.Open(func() { o.evicted = true })
	o.Add(bytes)

	return o
}

func newBudget(limit int64) *Budget { return &Budget{Limit: limit, Clock: &steppingClock{}} }

// TestEviction guards against a choice that closes ordinary clients, or too many.
func TestEviction(t *testing.T) {
	t.Run("largest first", func(t *testing.T) {
		b := newBudget(1 << 20)
		small, middle, large := open(b, SmallBytes), open(b, 100<<10), open(b, 900<<10)
		assert.Assert(t, !large.evicted)
		small.Add(200 << 10)
		assert.Assert(t, large.evicted && !middle.evicted && !small.evicted)
	})

	t.Run("slowest of similar size first", func(t *testing.T) {
		b := newBudget(1 << 20)
		first, second, third := open(b, 320<<10), open(b, 380<<10), open(b, 500<<10)
		assert.Assert(t, first.evicted && !second.evicted && !third.evicted)
	})

	t.Run("small accounts stay", func(t *testing.T) {
		b := newBudget(SmallBytes)
		for range 10 {
			assert.Assert(t, !open(b, SmallBytes).evicted)
		}
	})

	t.Run("no more while evicted ones are being closed", func(t *testing.T) {
		b := newBudget(1 << 20)
		large, middle := open(b, 900<<10), open(b, 200<<10)
		assert.Assert(t, large.evicted)
		middle.Add(100 << 10)
		assert.Assert(t, !middle.evicted)
		large.Close()
		middle.Add(800 << 10)
		assert.Assert(t, middle.evicted)
	})

	t.Run("an eviction that was cancelled", func(t *testing.T) {
		b := newBudget(1 << 20)
		large := open(b, 2<<20)
		assert.Assert(t, large.evicted)
		large.evicted = false
		large.Keep()
		large.Add(1)
		assert.Assert(t, large.evicted)
	})

	t.Run("no limit", func(t *testing.T) {
		assert.Assert(t, !open(newBudget(0), 1<<30).evicted)
	})
}

// TestReserve guards against work that starts without memory for it, and against refused small messages.
func TestReserve(t *testing.T) {
	b := newBudget(1 << 20)
	held := open(b, 600<<10)
	assert.Assert(t, b.Reserve(400<<10))
	assert.Assert(t, !b.Reserve(400<<10))
	assert.Assert(t, held.evicted)
	assert.Assert(t, b.Reserve(smallReservation))
	b.Release(400<<10 + smallReservation)
	held.Close()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, b.Refused.Value(), int64(1))
}

// TestClosedAccount guards against bytes that are counted for ever after their connection has gone.
func TestClosedAccount(t *testing.T) {
	b := newBudget(1 << 20)
	a := open(b, 100<<10)
	a.Close()
	a.Add(100 << 10)
	a.Close()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.large), 0)
}

// BenchmarkAdd measures what an ordinary message costs.
func BenchmarkAdd(b *testing.B) {
	a := open(newBudget(1<<20), 0)

	for b.Loop() {
		a.Add(300)
		a.Add(-300)
	}
}
