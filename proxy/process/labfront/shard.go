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
}

func (h *shard) add(c *connection, now time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()

	if h.open == nil {
		h.open = make(map[*connection]struct{})
		h.starting = make(map[*connection]time.Time)
	}

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
}

func (h *shard) all() []*connection {
	h.lock.Lock()
	defer h.lock.Unlock()

	all := make([]*connection, 0, len(h.open))
	for c := range h.open {
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
