package labfrontier

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// spacing is the least time between two marks that are kept; it bounds their number.
	spacing = 50 * time.Millisecond
	marks   = 64
)

type mark struct {
	asked    time.Duration
	position lab.CommitPosition
}

// Frontier holds the newest positions of one service's primary.
type Frontier struct {
	mutex sync.Mutex
	marks []mark // ascending by time and position
}

// Note records that the primary had reached the position when it answered a question of the given time.
func (f *Frontier) Note(asked time.Duration, position lab.CommitPosition) {
	if position.IsZero() {
		return
	}

	f.mutex.Lock()
	defer f.mutex.Unlock()

	if n := len(f.marks); n > 0 {
		l := f.marks[n-1]
		if asked < l.asked+spacing || position.Before(l.position) {
			return
		}

		if n == marks {
			f.marks = append(f.marks[:0], f.marks[1:]...)
		}
	}

	f.marks = append(f.marks, mark{asked, position})
}

// Floor returns the lowest position that satisfies a read which may miss commits acknowledged before the given time.
// It returns false when no position was asked for since then.
func (f *Frontier) Floor(since time.Duration) (lab.CommitPosition, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	for _, m := range f.marks {
		if m.asked >= since {
			return m.position, true
		}
	}

	return lab.CommitPosition{}, false
}

// Newest returns the newest position and when it was asked for, and false when there is none.
func (f *Frontier) Newest() (asked time.Duration, position lab.CommitPosition, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()

	if len(f.marks) == 0 {
		return 0, lab.CommitPosition{}, false
	}

	l := f.marks[len(f.marks)-1]

	return l.asked, l.position, true
}
