package labpromoter

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// databaseState is what the promoter remembers about one database between steps. A promotion can be resumed without it.
type databaseState struct {
	lock                   sync.Mutex
	stepRunning            bool
	nextStepAt             time.Duration                // earliest time of the next step
	failureCount           int                          // number of consecutive failed steps
	lossReports            map[lossReport]time.Duration // by report, the time when the member became unreachable
	streamPositions        map[string]lab.WALPosition   // by member, the last reported position with a known term
	statuses               map[string]lab.MemberStatus  // last reported status of each member, by name
	chosenUnreachableSince time.Duration                // time of the first failed probe of the chosen member, or 0
	promotionStartedAt     time.Duration                // start of this leader's work on the running promotion, or 0
	unreachableSince       map[string]time.Duration     // by member, the time of control's first failed probe
	cooldownUntil          time.Duration                // no new promotion starts before this time
	suspicionTimeout       time.Duration                // how long probes of a suspected primary must fail, 0 for none
	probesFailingSince     time.Duration                // time of the first failed probe of a suspected primary, or 0
}

// lossReport identifies a member reported as unreachable and the instance that reports it.
type lossReport struct {
	member   string
	reporter lab.InstanceID
}

func (w *databaseState) observe(now time.Duration, from lab.InstanceID, s lab.MemberStatus) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if s.Received.Term != 0 {
		w.streamPositions[s.Member] = s.Received
	}
	w.statuses[s.Member] = s
	key := lossReport{member: s.Member, reporter: from}
	if s.Reachable {
		delete(w.lossReports, key)

		return
	}
	if _, lost := w.lossReports[key]; !lost {
		w.lossReports[key] = now - s.UnreachableFor
	}
}

// reportedUnreachable reports whether any gateway reports the member as unreachable.
func (w *databaseState) reportedUnreachable(member string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	for k := range w.lossReports {
		if k.member == member {
			return true
		}
	}

	return false
}

// unreachableFor records the result of a probe and returns for how long probes of the member have failed.
func (w *databaseState) unreachableFor(now time.Duration, member string, reachable bool) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if reachable {
		delete(w.unreachableSince, member)

		return 0
	}
	if _, known := w.unreachableSince[member]; !known {
		w.unreachableSince[member] = now
	}

	return now - w.unreachableSince[member]
}

// clearSuspicion ends the suspicion of the primary after its gateway has reached it.
func (w *databaseState) clearSuspicion() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.suspicionTimeout, w.probesFailingSince = 0, 0
}

func (w *databaseState) streamPosition(member string) lab.WALPosition {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.streamPositions[member]
}

// reportedUnreachableSince returns the time since which a member has been unreachable according to a reporter. It
// returns false if the reporter does not report the member as unreachable.
func (w *databaseState) reportedUnreachableSince(member string, reporter lab.InstanceID) (time.Duration, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	t, lost := w.lossReports[lossReport{member: member, reporter: reporter}]

	return t, lost
}

func (w *databaseState) suspect(wait time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.suspicionTimeout == 0 || wait < w.suspicionTimeout {
		w.suspicionTimeout = wait
	}
}

func (w *databaseState) isSuspected() bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.suspicionTimeout > 0
}

// recordPrimaryProbe records the result of control's own probe of a suspected primary and reports whether probes have
// failed for long enough to replace it.
func (w *databaseState) recordPrimaryProbe(now time.Duration, reachable bool) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if reachable {
		w.suspicionTimeout, w.probesFailingSince = 0, 0

		return false
	}
	if w.probesFailingSince == 0 {
		w.probesFailingSince = now
	}

	return w.suspicionTimeout > 0 && now-w.probesFailingSince >= w.suspicionTimeout
}

// beginStep reserves the database for one step. It returns false while a step is running or before the next one is due.
func (w *databaseState) beginStep(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.stepRunning || now < w.nextStepAt {
		return false
	}
	w.stepRunning = true

	return true
}

func (w *databaseState) endStep() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stepRunning = false
}

func (w *databaseState) failures() int {
	w.lock.Lock()
	defer w.lock.Unlock()

	return w.failureCount
}

// recordStep records the result of a step. Only a failed step delays the next one.
func (w *databaseState) recordStep(now, delay time.Duration, failed bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !failed {
		w.failureCount, w.nextStepAt = 0, now

		return
	}
	w.failureCount++
	w.nextStepAt = now + delay
}

// promotionStart returns the time when this leader began to work on the running promotion; the first call sets it.
func (w *databaseState) promotionStart(now time.Duration) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.promotionStartedAt == 0 {
		w.promotionStartedAt = now
	}

	return w.promotionStartedAt
}

// coolingDown reports whether the primary was reinstated recently and must not be replaced yet.
func (w *databaseState) coolingDown(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return now < w.cooldownUntil
}

// finishPromotion resets the state of a finished promotion. cooldownUntil is 0 unless the old primary was reinstated.
// If a new member was promoted, the loss reports about it are dropped.
func (w *databaseState) finishPromotion(primary string, cooldownUntil time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.promotionStartedAt, w.chosenUnreachableSince, w.probesFailingSince, w.suspicionTimeout, w.cooldownUntil = 0, 0, 0, 0, cooldownUntil
	for k := range w.lossReports {
		if k.member == primary && cooldownUntil == 0 {
			delete(w.lossReports, k)
		}
	}
}

// chosenUnreachableFor records whether the chosen member could not be reached and returns for how long it has been
// unreachable.
func (w *databaseState) chosenUnreachableFor(now time.Duration, failed bool) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if !failed {
		w.chosenUnreachableSince = 0

		return 0
	}
	if w.chosenUnreachableSince == 0 {
		w.chosenUnreachableSince = now
	}

	return now - w.chosenUnreachableSince
}
