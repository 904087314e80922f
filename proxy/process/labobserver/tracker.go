package labobserver

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const (
	// sampleLimit is the maximum number of samples. At the default poll interval of 100 ms, 1000 samples cover 100 s.
	sampleLimit = 1000
	// sampleGap is the shortest time between two samples of the primary's position.
	sampleGap = 20 * time.Millisecond
)

// sample is a position of the primary. It covers everything that the primary had committed at sentAt.
type sample struct {
	sentAt   time.Duration   // time at which the probe or batch whose response has the position was sent
	position lab.WALPosition // position that the primary reported
}

// memberState is the tracker's state of one member.
type memberState struct {
	member             lab.Announcement
	positionKnown      bool                 // a position of the member was read
	lastTerm           lab.PrimaryTerm      // term of the last position that reported a term
	position           labupstream.Position // position that was read last
	connectFailed      bool                 // the last attempt to connect, or the probe after it, failed
	connectFailedSince time.Duration        // start of the first of the consecutive failed attempts to connect
	unreachable        bool                 // attempts to connect have failed for unreachableAfter
	unresponsiveAt     time.Duration        // see View.UnresponsiveAt
	reportedAt         time.Duration        // time of the last report
	reported           lab.MemberStatus     // last reported status
	everReported       bool                 // whether reported and reportedAt are set
	caughtUp           bool                 // whether caughtUpAt is set
	caughtUpAt         time.Duration        // sentAt of the latest sample whose position the member has replayed
}

// tracker decides which members of one database are reachable and how old their data is. It does no I/O, and its
// callers hold the lock of the watch.
type tracker struct {
	unreachableAfter time.Duration
	reportInterval   time.Duration
	history          lab.TermHistory
	primary          string
	members          map[string]*memberState
	samples          []sample // samples of the current primary, oldest first
}

func newTracker(unreachableAfter, reportInterval time.Duration) *tracker {
	return &tracker{
		unreachableAfter: unreachableAfter, reportInterval: reportInterval, members: map[string]*memberState{},
	}
}

// update replaces the members by the watched members of the catalog. The state of a member that has restarted or has
// another address is reset.
func (t *tracker) update(database *lab.Database, watched func(lab.Announcement) bool) {
	if t.primary != database.Primary {
		t.samples = nil
	}

	t.history, t.primary = database.History, database.Primary
	members := map[string]*memberState{}

	for _, m := range database.Members {
		if !watched(m) {
			continue
		}

		s, found := t.members[m.Member]
		if !found || s.member.Incarnation != m.Incarnation || s.member.Address != m.Address {
			s = &memberState{}
		}

		s.member = m
		members[m.Member] = s
	}

	t.members = members
}

// find returns the state of a member, or nil if the member isn't observed, has restarted or has another address.
func (t *tracker) find(member lab.Announcement) *memberState {
	s, found := t.members[member.Member]
	if !found || s.member.Incarnation != member.Incarnation || s.member.Address != member.Address {
		return nil
	}

	return s
}

// recordPosition records the position in the response to a probe or message batch that was sent at sentAt. It returns
// the statuses to report.
func (t *tracker) recordPosition(
	member lab.Announcement, sentAt time.Duration, p labupstream.Position,
) []lab.MemberStatus {
	s := t.find(member)
	if s == nil {
		return nil
	}

	if p.Replayed.Term > 0 {
		s.lastTerm = p.Replayed.Term
	}

	// A replica whose WAL receiver does not run reports no term. Its WAL is still that of the last known term.
	p.Replayed.Term, p.Received.Term = s.lastTerm, s.lastTerm
	s.positionKnown, s.position = true, p

	s.connectFailed, s.unreachable = false, false

	if member.Member == t.primary {
		if !p.InRecovery && p.Replayed.Term == t.term() {
			t.addSample(sentAt, p.Replayed)
		}
	} else {
		t.updateCaughtUp(s)
	}

	return t.report(s, sentAt)
}

func (t *tracker) term() lab.PrimaryTerm {
	if len(t.history) == 0 {
		return 0
	}

	return t.history[len(t.history)-1].Term
}

// addSample records the primary's position and marks the replicas that have replayed it as caught up.
func (t *tracker) addSample(sampledAt time.Duration, position lab.WALPosition) {
	last := len(t.samples) - 1
	if last >= 0 && sampledAt < t.samples[last].sentAt+sampleGap {
		return
	}

	if last >= 0 && t.samples[last].position == position {
		t.samples[last].sentAt = sampledAt
	} else {
		t.samples = append(t.samples, sample{sentAt: sampledAt, position: position})
	}

	if len(t.samples) > sampleLimit {
		t.samples = append([]sample{}, t.samples[sampleLimit/2:]...)
	}

	for name, s := range t.members {
		if name != t.primary && s.positionKnown && t.history.Covers(s.position.Replayed, position) {
			s.caughtUp, s.caughtUpAt = true, max(sampledAt, s.caughtUpAt)
		}
	}
}

// updateCaughtUp sets a replica's caughtUpAt to the time of the latest sample whose position the replica has replayed.
func (t *tracker) updateCaughtUp(s *memberState) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].sentAt <= s.caughtUpAt && s.caughtUp {
			return
		}

		if t.history.Covers(s.position.Replayed, t.samples[i].position) {
			s.caughtUp, s.caughtUpAt = true, t.samples[i].sentAt

			return
		}
	}
}

// recordUnresponsive records that a probe on an open connection, sent at probedAt, failed while a new connection
// worked.
func (t *tracker) recordUnresponsive(member lab.Announcement, probedAt time.Duration) {
	if s := t.find(member); s != nil {
		s.unresponsiveAt = probedAt
	}
}

// recordFailure records that an attempt to connect, which began at startedAt, has failed at the time now. It returns
// the statuses to report.
func (t *tracker) recordFailure(member lab.Announcement, startedAt, now time.Duration) []lab.MemberStatus {
	s := t.find(member)
	if s == nil {
		return nil
	}

	if !s.connectFailed {
		s.connectFailed, s.connectFailedSince = true, startedAt
	}

	s.unreachable = now-s.connectFailedSince >= t.unreachableAfter

	return t.report(s, now)
}

// report returns the member's status if a report is due. A change of reachability, recovery or term is reported at
// once. The status of an unreachable member is repeated every unreachableAfter. A change of only the position is
// reported at most every reportInterval.
func (t *tracker) report(s *memberState, now time.Duration) []lab.MemberStatus {
	if s.connectFailed && !s.unreachable {
		return nil
	}

	status := t.status(s, now)
	elapsed := now - s.reportedAt

	switch {
	case !s.everReported:
	case status.Reachable != s.reported.Reachable:
	case !status.Reachable:
		if elapsed < t.unreachableAfter {
			return nil
		}
	case status.InRecovery != s.reported.InRecovery, status.Replayed.Term != s.reported.Replayed.Term:
	case status == s.reported, elapsed < t.reportInterval:
		return nil
	}

	s.everReported, s.reported, s.reportedAt = true, status, now

	return []lab.MemberStatus{status}
}

func (t *tracker) status(s *memberState, now time.Duration) lab.MemberStatus {
	status := lab.MemberStatus{
		Database: s.member.Database, Member: s.member.Member, Reachable: !s.unreachable,
		InRecovery: s.position.InRecovery, Replayed: s.position.Replayed, Received: s.position.Received,
	}
	if s.unreachable {
		status.UnreachableFor = now - s.connectFailedSince
	}

	return status
}

// views appends a view of each member to the slice into, and returns the extended slice.
func (t *tracker) views(now time.Duration, into []View) []View {
	for _, s := range t.members {
		into = append(into, View{
			Member: s.member, PositionKnown: s.positionKnown, ConnectFailed: s.connectFailed, Unreachable: s.unreachable,
			UnresponsiveAt: s.unresponsiveAt, Status: t.status(s, now),
			LastTerm: s.lastTerm, AgeKnown: s.caughtUp, Age: now - s.caughtUpAt,
		})
	}

	return into
}

// anyConnectFailed reports whether connectFailed is set for any member.
func (t *tracker) anyConnectFailed() bool {
	for _, s := range t.members {
		if s.connectFailed {
			return true
		}
	}

	return false
}
