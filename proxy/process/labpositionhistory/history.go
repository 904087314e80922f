package labpositionhistory

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// minSpacing is the minimum time between two recorded observations. A history holds maxObservations of them, which
	// limits its memory. Due to the spacing they cover at least 3 s.
	minSpacing      = 50 * time.Millisecond
	maxObservations = 64
)

// observation is a position that the primary had reached when it responded to a request.
type observation struct {
	requestedAt time.Duration // time at which the request was sent
	position    lab.CommitPosition
}

// History holds the recent positions of one service's primary. It is safe for concurrent use.
type History struct {
	mutex        sync.Mutex
	observations []observation // sorted by time and position in ascending order
}

// Record adds the position that the primary returned for a request sent at the given time.
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

// MinPosition returns the position that a member must have reached so that a read at this member sees every commit
// acknowledged before the time since. It is the oldest recorded position that was requested at that time or later.
// MinPosition returns false when there is no such position.
func (h *History) MinPosition(since time.Duration) (lab.CommitPosition, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	for _, o := range h.observations {
		if o.requestedAt >= since {
			return o.position, true
		}
	}

	return lab.CommitPosition{}, false
}

// Newest returns the newest position and the time of its request, or false when no position is recorded.
func (h *History) Newest() (requestedAt time.Duration, position lab.CommitPosition, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	if len(h.observations) == 0 {
		return 0, lab.CommitPosition{}, false
	}

	l := h.observations[len(h.observations)-1]

	return l.requestedAt, l.position, true
}
