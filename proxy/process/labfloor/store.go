package labfloor

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const shards = 16

// store keeps floors for other proxies. Each shard has two generations: a floor moves to the young one when it is
// written, and the old one is dropped when the young one is full or has reached the retention.
type store struct {
	shards [shards]shard
}

type shard struct {
	lock    sync.Mutex
	young   map[string]lab.WALPosition
	old     map[string]lab.WALPosition
	rotated time.Duration
}

func (s *store) shard(key string) *shard {
	return &s.shards[xxhash.Sum64String(key)%shards]
}

// raise stores a floor unless a later one is there.
func (s *store) raise(now time.Duration, key string, floor lab.WALPosition, limit int, retention time.Duration) {
	h := s.shard(key)
	h.lock.Lock()
	defer h.lock.Unlock()

	h.rotate(now, limit, retention)

	if known, ok := h.find(key); ok && known.Later(floor) {
		floor = known
	}

	delete(h.old, key)
	h.young[key] = floor
}

func (s *store) lookup(now time.Duration, key string, limit int, retention time.Duration) (lab.WALPosition, bool) {
	h := s.shard(key)
	h.lock.Lock()
	defer h.lock.Unlock()

	h.rotate(now, limit, retention)

	return h.find(key)
}

func (h *shard) find(key string) (lab.WALPosition, bool) {
	if p, ok := h.young[key]; ok {
		return p, true
	}

	p, ok := h.old[key]

	return p, ok
}

// rotate bounds both generations together to the shard's part of the limit.
func (h *shard) rotate(now time.Duration, limit int, retention time.Duration) {
	full := len(h.young) >= max(limit/shards/2, 1)
	if h.young != nil && !full && now-h.rotated < retention {
		return
	}

	h.old = h.young
	if now-h.rotated >= 2*retention {
		h.old = nil
	}

	h.young = map[string]lab.WALPosition{}
	h.rotated = now
}
