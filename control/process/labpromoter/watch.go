package labpromoter

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// watch is what the promoter remembers of one database between steps; none of it is needed to resume.
type watch struct {
	lock    sync.Mutex
	running bool
	next    time.Duration // earliest time of the next step
	failed  int           // consecutive failures
	losses  map[string]loss
	stream  map[string]lab.Position // last position with a known term by member
	since   time.Duration           // first failed attempt to reach the chosen member, 0 for none
	started time.Duration           // when the running promotion was first worked on, 0 for none
}

// loss is a member's unreachability as its gateway sees it.
type loss struct {
	reporter lab.InstanceID
	since    time.Duration
}

func (w *watch) observe(now time.Duration, from lab.InstanceID, s lab.MemberStatus) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if s.Received.Term != 0 {
		w.stream[s.Member] = s.Received
	}
	old, lost := w.losses[s.Member]
	switch {
	case s.Reachable:
		delete(w.losses, s.Member)
	case !lost || old.reporter != from:
		w.losses[s.Member] = loss{reporter: from, since: now - s.LostFor}
	}
}

func (w *watch) streamed(member string) lab.Position {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.stream[member]
}

func (w *watch) loss(member string) (loss, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	l, ok := w.losses[member]

	return l, ok
}

func (w *watch) forget(member string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delete(w.losses, member)
}

// begin reserves the database for one step.
func (w *watch) begin(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.running || now < w.next {
		return false
	}
	w.running = true

	return true
}
