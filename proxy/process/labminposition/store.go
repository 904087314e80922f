package labminposition

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

const shards = 16

// store holds minimum positions by the key that positionKey returns. Each shard has two generations. A write puts the
// position into the current generation. When the current generation is full or as old as the retention, it becomes the
// previous generation, and the positions of the generation before that are dropped.
type store struct {
	shards [shards]shard
}

type shard struct {
	lock      sync.Mutex
	current   map[string]lab.WALPosition // positions of the current generation
	previous  map[string]lab.WALPosition // positions of the previous generation
	rotatedAt time.Duration              // value of Clock.Now when the current generation started
}

func (s *store) shard(key string) *shard {
	return &s.shards[xxhash.Sum64String(key)%shards]
}

// raise stores a minimum position unless the store has a later one for the key.
func (s *store) raise(now time.Duration, key string, minPosition lab.WALPosition, limit int, retention time.Duration) {
	sh := s.shard(key)
	sh.lock.Lock()
	defer sh.lock.Unlock()

	sh.rotate(now, limit, retention)

	if stored, ok := sh.find(key); ok && stored.Later(minPosition) {
		minPosition = stored
	}

	delete(sh.previous, key)
	sh.current[key] = minPosition
}

func (s *store) lookup(now time.Duration, key string, limit int, retention time.Duration) (lab.WALPosition, bool) {
	sh := s.shard(key)
	sh.lock.Lock()
	defer sh.lock.Unlock()

	sh.rotate(now, limit, retention)

	return sh.find(key)
}

func (sh *shard) find(key string) (lab.WALPosition, bool) {
	if p, ok := sh.current[key]; ok {
		return p, true
	}

	p, ok := sh.previous[key]

	return p, ok
}

// rotate starts a new generation when the current generation is full or as old as the retention. Each generation holds
// at most half of the shard's share of the limit, so that the two generations together stay within that share.
func (sh *shard) rotate(now time.Duration, limit int, retention time.Duration) {
	full := len(sh.current) >= max(limit/shards/2, 1)
	if sh.current != nil && !full && now-sh.rotatedAt < retention {
		return
	}

	sh.previous = sh.current
	if now-sh.rotatedAt >= 2*retention {
		sh.previous = nil
	}

	sh.current = map[string]lab.WALPosition{}
	sh.rotatedAt = now
}
