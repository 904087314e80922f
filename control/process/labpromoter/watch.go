package labpromoter

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// watch is what the promoter remembers of one database between steps; none of it is needed to resume.
type watch struct {
	lock      sync.Mutex
	running   bool
	next      time.Duration // earliest time of the next step
	failed    int           // consecutive failures
	losses    map[report]time.Duration
	stream    map[string]lab.WALPosition // last position with a known term by member
	statuses  map[string]lab.MemberStatus
	missing   time.Duration            // first failed attempt to reach the chosen member, 0 for none
	started   time.Duration            // when the running promotion was first worked on, 0 for none
	absent    map[string]time.Duration // first failed probe of members other than the primary
	resting   time.Duration            // no new promotion starts before this time
	suspected time.Duration            // how long control's own probes of the primary must fail, 0 for no suspicion
	refused   time.Duration            // first failed probe of a suspected primary, 0 for none
}

// report identifies who sees which member as unreachable.
type report struct {
	member   string
	reporter lab.InstanceID
}

func (w *watch) observe(now time.Duration, from lab.InstanceID, s lab.MemberStatus) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if s.Received.Term != 0 {
		w.stream[s.Member] = s.Received
	}
	w.statuses[s.Member] = s
	key := report{member: s.Member, reporter: from}
	if s.Reachable {
		delete(w.losses, key)

		return
	}
	if _, lost := w.losses[key]; !lost {
		w.losses[key] = now - s.UnreachableFor
	}
}

// anyLost reports whether any gateway sees the member as unreachable.
func (w *watch) anyLost(member string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	for k := range w.losses {
		if k.member == member {
			return true
		}
	}

	return false
}

// absence takes in a probe of a member and returns for how long probes have failed.
func (w *watch) absence(now time.Duration, member string, reachable bool) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if reachable {
		delete(w.absent, member)

		return 0
	}
	if _, known := w.absent[member]; !known {
		w.absent[member] = now
	}

	return now - w.absent[member]
}

// trust ends a suspicion, because the primary's gateway reached it.
func (w *watch) trust() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.suspected, w.refused = 0, 0
}

func (w *watch) streamed(member string) lab.WALPosition {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.stream[member]
}

// lostSince returns since when a reporter sees a member as unreachable.
func (w *watch) lostSince(member string, reporter lab.InstanceID) (time.Duration, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	t, lost := w.losses[report{member: member, reporter: reporter}]

	return t, lost
}

func (w *watch) suspect(wait time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.suspected == 0 || wait < w.suspected {
		w.suspected = wait
	}
}

func (w *watch) isSuspected() bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.suspected > 0
}

// probed takes in control's own probe of a suspected primary and reports whether probes failed for long enough.
func (w *watch) probed(now time.Duration, reachable bool) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if reachable {
		w.suspected, w.refused = 0, 0

		return false
	}
	if w.refused == 0 {
		w.refused = now
	}

	return w.suspected > 0 && now-w.refused >= w.suspected
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

func (w *watch) end() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.running = false
}

func (w *watch) failures() int {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.failed
}

// settle records the result of a step; only failures are backed off.
func (w *watch) settle(now, delay time.Duration, failed bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !failed {
		w.failed, w.next = 0, now

		return
	}
	w.failed++
	w.next = now + delay
}

// work returns when this leader first worked on the running promotion.
func (w *watch) work(now time.Duration) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.started == 0 {
		w.started = now
	}

	return w.started
}

// rests reports whether a reinstated primary is not to be replaced yet.
func (w *watch) rests(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return now < w.resting
}

// done forgets the finished promotion and what was reported about the primary that now holds the term.
func (w *watch) done(primary string, resting time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.started, w.missing, w.refused, w.suspected, w.resting = 0, 0, 0, 0, resting
	for k := range w.losses {
		if k.member == primary && resting == 0 {
			delete(w.losses, k)
		}
	}
}

// unreachable returns how long the chosen member has been unreachable.
func (w *watch) unreachable(now time.Duration, failed bool) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !failed {
		w.missing = 0

		return 0
	}
	if w.missing == 0 {
		w.missing = now
	}

	return now - w.missing
}
