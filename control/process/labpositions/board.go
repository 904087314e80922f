package labpositions

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
)

// maxAge is how old a position may be to be passed on. The strictest routes accept data that is 1.5 s old.
const maxAge = 1500 * time.Millisecond

// packInterval is how long Packed returns the same list. Hundreds of proxies get a list twice a second each.
const packInterval = 100 * time.Millisecond

// Board holds the newest position of each service's primary. It is safe for concurrent use.
type Board struct {
	mutex    sync.Mutex
	newest   map[string]lab.PositionReport // by service
	packed   []byte                        // result of Packed
	packedAt time.Duration
}

// Record adds reported positions. Their times are on the leader's clock, as is now. A report from the future is not
// credible and is ignored.
func (b *Board) Record(reports []lab.PositionReport, now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.newest == nil {
		b.newest = map[string]lab.PositionReport{}
	}

	for _, r := range reports {
		if known, ok := b.newest[r.Service]; r.RequestedAt <= now && (!ok || r.RequestedAt > known.RequestedAt) {
			b.newest[r.Service] = r
		}
	}
}

// Newest returns the positions that are at most maxAge old, sorted by service, and forgets the others.
func (b *Board) Newest(now time.Duration) []lab.PositionReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	out := make([]lab.PositionReport, 0, len(b.newest))

	for s, r := range b.newest {
		if now-r.RequestedAt > maxAge {
			delete(b.newest, s)

			continue
		}

		out = append(out, r)
	}

	slices.SortFunc(out, func(a, b lab.PositionReport) int { return strings.Compare(a.Service, b.Service) })

	return out
}

// Packed returns what Newest returned at most packInterval ago, compressed. The times are rounded down to milliseconds,
// which leaves them lower bounds and needs less space.
func (b *Board) Packed(now time.Duration) ([]byte, error) {
	b.mutex.Lock()
	packed, age := b.packed, now-b.packedAt
	b.mutex.Unlock()

	if packed != nil && age >= 0 && age < packInterval {
		return packed, nil
	}

	all := b.Newest(now)
	for i := range all {
		all[i].RequestedAt = all[i].RequestedAt.Truncate(time.Millisecond)
	}

	packed, err := labpack.Encode(all)
	if err != nil {
		return nil, errors.Newf("pack positions: %w", err)
	}

	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.packed, b.packedAt = packed, now

	return packed, nil
}

// Len returns the number of positions, including old ones that Newest would forget.
func (b *Board) Len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return len(b.newest)
}
