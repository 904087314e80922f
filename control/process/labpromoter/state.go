package labpromoter

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// databaseState is what the promoter remembers of one database between steps; none of it is needed to resume.
type databaseState struct {
	lock                   sync.Mutex
	stepRunning            bool
	nextStepAt             time.Duration // earliest time of the next step
	failureCount           int           // consecutive failures
	lossReports            map[lossReport]time.Duration
	streamPositions        map[string]lab.WALPosition // last position with a known term by member
	statuses               map[string]lab.MemberStatus
	chosenUnreachableSince time.Duration            // first failed attempt to reach the chosen member, 0 for none
	promotionStartedAt     time.Duration            // when the running promotion was first worked on, 0 for none
	unreachableSince       map[string]time.Duration // first failed probe of members other than the primary
	cooldownUntil          time.Duration            // no new promotion starts before this time
	suspicionTimeout       time.Duration            // how long control's own probes of the primary must fail, 0 for no suspicion
	probesFailingSince     time.Duration            // first failed probe of a suspected primary, 0 for none
}

// lossReport identifies who sees which member as unreachable.
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

// reportedUnreachable reports whether any gateway sees the member as unreachable.
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

// unreachableFor takes in a probe of a member and returns for how long probes have failed.
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

// clearSuspicion ends a suspicion, because the primary's gateway reached it.
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

// reportedUnreachableSince returns since when a reporter sees a member as unreachable.
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

// recordPrimaryProbe takes in control's own probe of a suspected primary and reports whether probes failed for long enough.
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

// beginStep reserves the database for one step.
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

// recordStep records the result of a step; only failures are backed off.
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

// promotionStart returns when this leader first worked on the running promotion.
func (w *databaseState) promotionStart(now time.Duration) time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.promotionStartedAt == 0 {
		w.promotionStartedAt = now
	}

	return w.promotionStartedAt
}

// coolingDown reports whether a reinstated primary is not to be replaced yet.
func (w *databaseState) coolingDown(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()

	return now < w.cooldownUntil
}

// finishPromotion forgets the finished promotion and what was reported about the primary that now holds the term.
func (w *databaseState) finishPromotion(primary string, resting time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.promotionStartedAt, w.chosenUnreachableSince, w.probesFailingSince, w.suspicionTimeout, w.cooldownUntil = 0, 0, 0, 0, resting
	for k := range w.lossReports {
		if k.member == primary && resting == 0 {
			delete(w.lossReports, k)
		}
	}
}

// chosenUnreachableFor returns how long the chosen member has been unreachable.
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
