package labpositions

import (
	"slices"
	"strings"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// maxAge is how old a position may be to be passed on. The strictest routes accept data that is 1.5 s old.
const maxAge = 1500 * time.Millisecond

// Board holds the newest position of each service's primary. It is safe for concurrent use.
type Board struct {
	mutex  sync.Mutex
	newest map[string]lab.PositionReport // by service
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

// NewestOf returns the positions of some services that are at most maxAge old, in the order of the services.
func (b *Board) NewestOf(services []string, now time.Duration) []lab.PositionReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	out := make([]lab.PositionReport, 0, len(services))

	for _, s := range services {
		if r, ok := b.newest[s]; ok && now-r.RequestedAt <= maxAge {
			out = append(out, r)
		}
	}

	return out
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
