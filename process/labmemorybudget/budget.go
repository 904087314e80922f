package labmemorybudget

import (
	"cmp"
	"expvar"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"

	"laburnumlock.dev/lab"
)

const (
	// SmallBytes is the largest account that is never evicted, in bytes. An ordinary message has a few hundred bytes.
	SmallBytes = 4 << 10
	// smallReservation is the largest reservation that is never refused, in bytes: that of a message of SmallBytes.
	smallReservation = 4 * SmallBytes
	// processShare is the part of a process's memory limit that its budget has. Go's heap may use two thirds of the memory
	// limit. While 24 members send rows without end, garbage takes two to three times the budget: with a quarter a proxy
	// came to 90 MB of 96.
	processShare = 6
	// An eviction frees memory down to lowNumerator/lowDenominator of the limit, so that one search for accounts serves
	// many messages.
	lowNumerator   = 7
	lowDenominator = 8
)

// Budget implements lab.MemoryBudget. Its exported fields are set before use. The zero Limit is no limit.
type Budget struct {
	Limit int64 // bytes that may be held
	Clock lab.Clock

	Evicted expvar.Int // number of accounts that were evicted
	Refused expvar.Int // number of reservations that were refused

	used  atomic.Int64
	mutex sync.Mutex
	large map[*account]struct{} // accounts with more than SmallBytes
}

var _ lab.MemoryBudget = (*Budget)(nil)

// Limit returns the bytes of the budget of a process with a memory limit in bytes.
func Limit(processBytes int64) int64 { return processBytes / processShare }

// Publish adds the budget's figures to a map.
func (b *Budget) Publish(m *expvar.Map) {
	m.Set("memory_budget_limit_bytes", expvar.Func(func() any { return b.Limit }))
	m.Set("memory_budget_used_bytes", expvar.Func(func() any { return b.Used() }))
	m.Set("memory_budget_evicted", &b.Evicted)
	m.Set("memory_budget_refused", &b.Refused)
}

// Used returns the number of bytes that are held or reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns an account for one connection.
func (b *Budget) Open(evict func()) lab.MemoryAccount {
	return &account{budget: b, evict: evict}
}

// Reserve takes bytes and reports whether they are free. Up to smallReservation are always granted. If there are too few, it
// evicts accounts for later reservations.
func (b *Budget) Reserve(bytes int) bool {
	used := b.used.Add(int64(bytes))
	if b.Limit == 0 || used <= b.Limit || bytes <= smallReservation {
		return true
	}

	b.evictAbove()
	b.used.Add(-int64(bytes))
	b.Refused.Add(1)

	return false
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int) { b.used.Add(-int64(bytes)) }

// evictAbove evicts accounts if the budget is exceeded: the largest first, and those of similar size (the same power of
// two) in the order in which they became large, since their connections take longest.
func (b *Budget) evictAbove() {
	for _, a := range b.choose() {
		b.Evicted.Add(1)
		a.evict()
	}
}

// choose returns the accounts to evict and marks them as evicted.
func (b *Budget) choose() []*account {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	used := b.used.Load()
	candidates := make([]*account, 0, len(b.large))

	for a := range b.large {
		if a.evicted {
			used -= a.bytes.Load() // the connection is being closed
		} else {
			candidates = append(candidates, a)
		}
	}

	if used <= b.Limit {
		return nil
	}

	for _, a := range candidates {
		a.class = bits.Len64(uint64(max(0, a.bytes.Load())))
	}

	slices.SortFunc(candidates, func(a, o *account) int {
		return cmp.Or(cmp.Compare(o.class, a.class), cmp.Compare(a.largeSince, o.largeSince))
	})

	count := 0

	for ; count < len(candidates) && used > b.Limit/lowDenominator*lowNumerator; count++ {
		candidates[count].evicted = true
		used -= candidates[count].bytes.Load()
	}

	return candidates[:count]
}

// setLarge adds an account to the large ones or removes it.
func (b *Budget) setLarge(a *account, large bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if !large {
		delete(b.large, a)

		return
	}

	if b.large == nil {
		b.large = map[*account]struct{}{}
	}

	a.largeSince = b.Clock.Now()
	b.large[a] = struct{}{}
}
