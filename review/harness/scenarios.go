package main

import (
	"errors"
	"time"
)

// Times of the day review/3/day.toml.
const (
	deafTime    = 6500 * time.Millisecond // for_s of replica_lag, how = "deaf", in the list of troubles of the site
	crashTime   = 7 * time.Second         // for_s of srv_crash
	firstCrash  = 500 * time.Millisecond  // of the other replica, after the replication has stopped
	secondCrash = 5600 * time.Millisecond // of the primary
)

// runCrashes makes one replica receive nothing for 6.5 s. Meanwhile the other replica crashes, and 5 s later the
// primary. Both are back after 7 s.
func runCrashes(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	primary, deaf, other := x.service.members[0], x.service.members[1], x.service.members[2]

	if x.trouble {
		deaf.setDeaf(true)
		time.AfterFunc(deafTime, func() { deaf.setDeaf(false) })
		time.AfterFunc(firstCrash, other.crash)
		time.AfterFunc(firstCrash+crashTime, other.restart)
		time.AfterFunc(secondCrash, primary.crash)
		time.AfterFunc(secondCrash+crashTime, primary.restart)
	}

	time.Sleep(secondCrash + crashTime + 3*time.Second)
	l.end()

	return x.checkLost(l)
}

// deafCrashTime is for_s of replica_lag, how = "deaf crash", on a standard day of the site.
const deafCrashTime = 6 * time.Second

// leaverStays is how long a leaving member goes on serving beyond drainMs.
const leaverStays = 2 * time.Second

// Times of runLeaving, before or after the end of the leaving replica.
const (
	deafBefore   = 2400 * time.Millisecond // the other replica receives nothing from then on
	crashAfter   = 600 * time.Millisecond  // crash of the primary, 3 s after the replication has stopped
	replacedLate = 3 * time.Second         // a new member starts at the address with the log, later than reuseAfterS
)

// runLeaving lets one replica leave as planned. Before its end, the other replica begins to receive nothing for 6 s,
// and 3 s after that the primary crashes for 7 s.
func runLeaving(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	primary, deaf, leaver := x.service.members[0], x.service.members[1], x.service.members[2]

	x.rec.note("planned work: replica %s leaves", leaver.id)
	leaver.leave()

	if !x.awaitConfirmed(leaver) {
		return false, errNotConfirmed
	}

	time.Sleep(drainTime + leaverStays - deafBefore)

	if x.trouble {
		deaf.setDeaf(true)
		time.AfterFunc(deafCrashTime, func() { deaf.setDeaf(false) })
		time.AfterFunc(deafBefore+crashAfter, primary.crash)
		time.AfterFunc(deafBefore+crashAfter+crashTime, primary.restart)
	}

	time.Sleep(deafBefore)
	leaver.end()
	time.Sleep(replacedLate)

	if err := x.service.replace(leaver); err != nil {
		return false, err
	}

	time.Sleep(crashAfter + crashTime)
	l.end()

	return x.checkLost(l)
}

// Times of runRefused, before the end of the leaving replica.
const (
	deafBeforeEnd  = 3200 * time.Millisecond // the other replica receives nothing from then on
	crashBeforeEnd = 600 * time.Millisecond  // crash of the primary; control needs 0.35 s to order a promotion
)

// runRefused lets one replica leave as planned. 3.2 s before its end, the other replica begins to receive nothing for
// 6 s, and the primary crashes so late that the leaving replica ends while its promotion is ordered.
func runRefused(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	primary, deaf, leaver := x.service.members[0], x.service.members[1], x.service.members[2]

	x.rec.note("planned work: replica %s leaves", leaver.id)
	leaver.leave()

	if !x.awaitConfirmed(leaver) {
		return false, errNotConfirmed
	}

	time.Sleep(drainTime + leaverStays - deafBeforeEnd)

	if x.trouble {
		deaf.setDeaf(true)
		time.AfterFunc(deafCrashTime, func() { deaf.setDeaf(false) })
		time.AfterFunc(deafBeforeEnd-crashBeforeEnd, primary.crash)
		time.AfterFunc(deafBeforeEnd-crashBeforeEnd+crashTime, primary.restart)
	}

	time.Sleep(deafBeforeEnd)
	leaver.end()
	time.Sleep(replacedLate)

	if err := x.service.replace(leaver); err != nil {
		return false, err
	}

	time.Sleep(crashTime)
	l.end()

	return x.checkLost(l)
}

var errNotConfirmed = errors.New("the departure was not confirmed")

func (x *run) awaitConfirmed(m *member) bool {
	return eventually(5*time.Second, func() bool {
		x.service.mutex.Lock()
		defer x.service.mutex.Unlock()

		return m.confirmedAt > 0
	})
}

// checkLost reports whether a commit whose success a consumer has seen was not in the log of a promoted member.
func (x *run) checkLost(l *load) (bool, error) {
	seen := l.succeeded()

	x.service.mutex.Lock()
	lost, promotions := x.service.lost, x.service.promotions
	x.service.mutex.Unlock()

	x.rec.note("%d writes and transactions had success, %d promotions", len(seen), promotions)

	if len(seen) < 100 {
		return false, errors.New("too little was served")
	}

	var found []write

	for _, id := range lost {
		if w, ok := seen[id]; ok {
			found = append(found, w)
		}
	}

	x.rec.note("LOST: %d acknowledged commits were not in the log of the promoted member; consumers saw the success of %d",
		len(lost), len(found))
	x.readBack(found)

	return len(found) > 0, nil
}

// readBack reads the first lost writes through laburnumlock, on a route of kind primary.
func (x *run) readBack(lost []write) {
	const most = 3

	for _, w := range lost[:min(most, len(lost))] {
		c, err := connect(x.rec, x.deployment.address(0, clientPort), "flags", "reader")
		if err != nil {
			x.rec.note("read back: %v", err)

			return
		}

		a := c.query(newID(), "FETCH "+w.item)
		x.rec.note("%s, written by %s, now reads as %q (fault %q); written was %q", w.item, w.id, a.rows, a.code, w.data)
		c.close()
	}
}

// runDrain lets the platform's API give no response while the primary leaves, until 1 s after the primary has gone.
func runDrain(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	primary := x.service.members[0]

	if x.trouble {
		x.rec.note("the platform's API is down")
		x.platform.down.Store(true)
	}

	x.rec.note("planned work: primary %s leaves", primary.id)
	primary.leave()

	if !x.awaitConfirmed(primary) {
		return false, errNotConfirmed
	}

	time.Sleep(drainTime + leaverStays)
	primary.end()
	time.Sleep(time.Second)

	if x.trouble {
		x.rec.note("the platform's API is up")
		x.platform.down.Store(false)
	}

	time.Sleep(6 * time.Second)
	l.end()

	return x.checkDrain(l)
}

// checkDrain reports whether a request reached the leaving member too late.
func (x *run) checkDrain(l *load) (bool, error) {
	x.service.mutex.Lock()
	late := x.service.lateAtLeaver
	x.service.mutex.Unlock()

	x.rec.note("DRAIN: %d requests reached the leaving member later than %s after the confirmation", len(late), drainTime)

	if len(l.succeeded()) < 100 {
		return false, errors.New("too little was served")
	}

	return len(late) > 0, nil
}

// Times of runPromotedLeaver after the confirmation that the replica leaves, as in the day review/4/day.toml.
const (
	deafAfterLeave  = time.Second
	crashAfterLeave = 4 * time.Second
)

// runPromotedLeaver lets one replica leave as planned. 1 s later, the other replica begins to receive nothing for 6 s,
// and 3 s after that the primary crashes for 7 s.
func runPromotedLeaver(x *run) (bool, error) {
	l := startLoad(x)

	time.Sleep(settleTime)

	primary, deaf, leaver := x.service.members[0], x.service.members[1], x.service.members[2]

	x.rec.note("planned work: replica %s leaves", leaver.id)
	leaver.leave()

	if !x.awaitConfirmed(leaver) {
		return false, errNotConfirmed
	}

	if x.trouble {
		time.AfterFunc(deafAfterLeave, func() { deaf.setDeaf(true) })
		time.AfterFunc(deafAfterLeave+deafCrashTime, func() { deaf.setDeaf(false) })
		time.AfterFunc(crashAfterLeave, primary.crash)
		time.AfterFunc(crashAfterLeave+crashTime, primary.restart)
	}

	time.Sleep(drainTime + leaverStays)
	leaver.end()
	time.Sleep(4 * time.Second)
	l.end()

	return x.checkDrain(l)
}
