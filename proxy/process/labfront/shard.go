package labfront

import (
	"sync"
	"time"
)

const shardCount = 64

// shard holds a part of the open connections. A listener has several shards, so that its event loops rarely wait for
// the same lock.
type shard struct {
	lock     sync.Mutex
	open     map[*connection]struct{}  // all open connections of the shard
	starting map[*connection]time.Time // accept time of each connection that is not yet authenticated
	closing  map[*connection]struct{}  // connections that are being closed
}

func (s *shard) reset() {
	s.open = make(map[*connection]struct{})
	s.starting = make(map[*connection]time.Time)
	s.closing = make(map[*connection]struct{})
}

func (s *shard) add(c *connection, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.open[c] = struct{}{}
	s.starting[c] = now
}

func (s *shard) removeStarting(c *connection) {
	s.lock.Lock()
	defer s.lock.Unlock()

	delete(s.starting, c)
}

func (s *shard) remove(c *connection) {
	s.lock.Lock()
	defer s.lock.Unlock()

	delete(s.open, c)
	delete(s.starting, c)
	delete(s.closing, c)
}

func (s *shard) markClosing(c *connection) {
	s.lock.Lock()
	defer s.lock.Unlock()

	delete(s.starting, c)
	s.closing[c] = struct{}{}
}

func (s *shard) openConnections() []*connection {
	return s.list(s.open)
}

func (s *shard) closingConnections() []*connection {
	return s.list(s.closing)
}

func (s *shard) list(set map[*connection]struct{}) []*connection {
	s.lock.Lock()
	defer s.lock.Unlock()

	all := make([]*connection, 0, len(set))
	for c := range set {
		all = append(all, c)
	}

	return all
}

// overdue returns the connections that were accepted before the cutoff and are not yet authenticated.
func (s *shard) overdue(cutoff time.Time) []*connection {
	s.lock.Lock()
	defer s.lock.Unlock()

	var overdue []*connection

	for c, t := range s.starting {
		if t.Before(cutoff) {
			overdue = append(overdue, c)
		}
	}

	return overdue
}
