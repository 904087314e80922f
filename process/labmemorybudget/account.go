package labmemorybudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// account implements lab.MemoryAccount.
type account struct {
	budget *Budget
	evict  func()
	bytes  atomic.Int64

	mutex  sync.Mutex // guards closed and the changes of bytes
	closed bool

	// The budget's mutex guards the following.
	largeSince time.Duration // when the account exceeded SmallBytes, by the budget's clock
	evicted    bool          // whether evict was called and the account is not yet closed
	class      int           // size class during a choice
}

// Add changes the number of bytes.
func (a *account) Add(bytes int) {
	if bytes == 0 || !a.add(int64(bytes)) {
		return
	}

	if b := a.budget; bytes > 0 && b.Limit > 0 && b.used.Load() > b.Limit {
		b.evictAbove()
	}
}

func (a *account) add(bytes int64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.closed {
		return false
	}

	after := a.bytes.Add(bytes)
	a.budget.used.Add(bytes)

	if large := after > SmallBytes; large != (after-bytes > SmallBytes) {
		a.budget.setLarge(a, large)
	}

	return true
}

// Bytes returns the number of bytes.
func (a *account) Bytes() int { return int(a.bytes.Load()) }

// Keep cancels an eviction.
func (a *account) Keep() {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()

	a.evicted = false
}

// Close returns all bytes.
func (a *account) Close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.closed {
		return
	}

	a.closed = true
	a.budget.used.Add(-a.bytes.Swap(0))
	a.budget.setLarge(a, false)
}
