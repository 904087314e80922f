package labhistory

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// minSpacing is the least time between two marks that are kept; it bounds their number.
	minSpacing      = 50 * time.Millisecond
	maxObservations = 64
)

type observation struct {
	requestedAt time.Duration
	position    lab.CommitPosition
}

// History holds the newest positions of one service's primary.
type History struct {
	mutex        sync.Mutex
	observations []observation // ascending by time and position
}

// Record records that the primary had reached the position when it answered a question of the given time.
func (h *History) Record(requestedAt time.Duration, position lab.CommitPosition) {
	if position.IsZero() {
		return
	}

	h.mutex.Lock()
	defer h.mutex.Unlock()

	if n := len(h.observations); n > 0 {
		l := h.observations[n-1]
		if requestedAt < l.requestedAt+minSpacing || position.Before(l.position) {
			return
		}

		if n == maxObservations {
			h.observations = append(h.observations[:0], h.observations[1:]...)
		}
	}

	h.observations = append(h.observations, observation{requestedAt, position})
}

// MinPosition returns the lowest position that satisfies a read which may miss commits acknowledged before the given time.
// It returns false when no position was asked for since then.
func (h *History) MinPosition(since time.Duration) (lab.CommitPosition, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	for _, m := range h.observations {
		if m.requestedAt >= since {
			return m.position, true
		}
	}

	return lab.CommitPosition{}, false
}

// Newest returns the newest position and when it was asked for, and false when there is none.
func (h *History) Newest() (requestedAt time.Duration, position lab.CommitPosition, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if len(h.observations) == 0 {
		return 0, lab.CommitPosition{}, false
	}

	l := h.observations[len(h.observations)-1]

	return l.requestedAt, l.position, true
}
