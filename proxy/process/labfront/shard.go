package labfront

import (
	"sync"
	"time"
)

const shardCount = 64

// shard holds a part of the open connections.
type shard struct {
	lock     sync.Mutex
	open     map[*connection]struct{}
	starting map[*connection]time.Time // those not yet authenticated, with the time of their accept
	leaving  map[*connection]struct{}  // those that are being closed
}

func (h *shard) reset() {
	h.open = make(map[*connection]struct{})
	h.starting = make(map[*connection]time.Time)
	h.leaving = make(map[*connection]struct{})
}

func (h *shard) add(c *connection, now time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()

	h.open[c] = struct{}{}
	h.starting[c] = now
}

func (h *shard) started(c *connection) {
	h.lock.Lock()
	defer h.lock.Unlock()

	delete(h.starting, c)
}

func (h *shard) remove(c *connection) {
	h.lock.Lock()
	defer h.lock.Unlock()

	delete(h.open, c)
	delete(h.starting, c)
	delete(h.leaving, c)
}

func (h *shard) leave(c *connection) {
	h.lock.Lock()
	defer h.lock.Unlock()

	delete(h.starting, c)
	h.leaving[c] = struct{}{}
}

func (h *shard) all() []*connection {
	return h.list(h.open)
}

func (h *shard) departing() []*connection {
	return h.list(h.leaving)
}

func (h *shard) list(set map[*connection]struct{}) []*connection {
	h.lock.Lock()
	defer h.lock.Unlock()

	all := make([]*connection, 0, len(set))
	for c := range set {
		all = append(all, c)
	}

	return all
}

// overdue returns the connections accepted before a time and not yet authenticated.
func (h *shard) overdue(before time.Time) []*connection {
	h.lock.Lock()
	defer h.lock.Unlock()

	var late []*connection

	for c, t := range h.starting {
		if t.Before(before) {
			late = append(late, c)
		}
	}

	return late
}
