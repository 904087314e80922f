package labobserver

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const (
	// sampleLimit covers 100 s of polling at the default interval.
	sampleLimit = 1000
	// sampleGap is the shortest time between two samples of the primary's position.
	sampleGap = 20 * time.Millisecond
)

// sample is the primary's position, which it had at or after the time.
type sample struct {
	at       time.Duration
	position lab.WALPosition
}

// memberState is what the tracker knows of one member.
type memberState struct {
	member     lab.Announcement
	known      bool
	term       lab.PrimaryTerm // last one that was not 0
	position   labupstream.Position
	failing    bool          // the last new connection failed
	failedAt   time.Duration // when the first of the failed attempts started
	lost       bool          // failing for long enough
	silentAt   time.Duration // when the open connection was last found silent while a new one worked
	reportedAt time.Duration
	reported   lab.MemberStatus
	everSent   bool
	freshKnown bool
	freshAt    time.Duration // last time the primary's position was at or before the replayed one
}

// tracker holds the decisions about one database's members; it does no I/O and its owner locks it.
type tracker struct {
	lostAfter     time.Duration
	positionEvery time.Duration
	history       lab.TermHistory
	primary       string
	members       map[string]*memberState
	samples       []sample
}

func newTracker(lostAfter, positionEvery time.Duration) *tracker {
	return &tracker{lostAfter: lostAfter, positionEvery: positionEvery, members: map[string]*memberState{}}
}

// update takes over the catalog's state; a member that restarted or moved is unknown again.
func (t *tracker) update(database *lab.Database, watched func(lab.Announcement) bool) {
	if t.primary != database.Primary {
		t.samples = nil
	}

	t.history, t.primary = database.History, database.Primary
	keep := map[string]*memberState{}

	for _, m := range database.Members {
		if !watched(m) {
			continue
		}

		s, found := t.members[m.Member]
		if !found || s.member.Incarnation != m.Incarnation || s.member.Address != m.Address {
			s = &memberState{}
		}

		s.member = m
		keep[m.Member] = s
	}

	t.members = keep
}

// find returns the state of a member unless the member has restarted or moved since.
func (t *tracker) find(member lab.Announcement) *memberState {
	s, found := t.members[member.Member]
	if !found || s.member.Incarnation != member.Incarnation || s.member.Address != member.Address {
		return nil
	}

	return s
}

// read records a position asked for at sent and returns the statuses to report.
func (t *tracker) read(member lab.Announcement, sent time.Duration, p labupstream.Position) []lab.MemberStatus {
	s := t.find(member)
	if s == nil {
		return nil
	}

	if p.Replayed.Term > 0 {
		s.term = p.Replayed.Term
	}

	// A replica whose receiver does not run tells no timeline; it still holds what it received in the last one.
	p.Replayed.Term, p.Received.Term = s.term, s.term
	s.known, s.position = true, p

	s.failing, s.lost = false, false

	if member.Member == t.primary {
		if !p.InRecovery && p.Replayed.Term == t.term() {
			t.sample(sent, p.Replayed)
		}
	} else {
		t.refresh(s)
	}

	return t.report(s, sent)
}

func (t *tracker) term() lab.PrimaryTerm {
	if len(t.history) == 0 {
		return 0
	}

	return t.history[len(t.history)-1].Term
}

// sample records the primary's position and the replicas that have reached it.
func (t *tracker) sample(at time.Duration, position lab.WALPosition) {
	last := len(t.samples) - 1
	if last >= 0 && at < t.samples[last].at+sampleGap {
		return
	}

	if last >= 0 && t.samples[last].position == position {
		t.samples[last].at = at
	} else {
		t.samples = append(t.samples, sample{at: at, position: position})
	}

	if len(t.samples) > sampleLimit {
		t.samples = append([]sample{}, t.samples[sampleLimit/2:]...)
	}

	for name, s := range t.members {
		if name != t.primary && s.known && t.history.Covers(s.position.Replayed, position) {
			s.freshKnown, s.freshAt = true, max(at, s.freshAt)
		}
	}
}

// refresh finds the last sample that a replica has reached.
func (t *tracker) refresh(s *memberState) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if t.samples[i].at <= s.freshAt && s.freshKnown {
			return
		}

		if t.history.Covers(s.position.Replayed, t.samples[i].position) {
			s.freshKnown, s.freshAt = true, t.samples[i].at

			return
		}
	}
}

// replaced records that an open connection, asked at a time, went silent while a new one works.
func (t *tracker) replaced(member lab.Announcement, asked time.Duration) {
	if s := t.find(member); s != nil {
		s.silentAt = asked
	}
}

// failed records that a new connection, begun at started, failed by now, and returns the statuses to report.
func (t *tracker) failed(member lab.Announcement, started, now time.Duration) []lab.MemberStatus {
	s := t.find(member)
	if s == nil {
		return nil
	}

	if !s.failing {
		s.failing, s.failedAt = true, started
	}

	s.lost = now-s.failedAt >= t.lostAfter

	return t.report(s, now)
}

// report returns the member's status when it changed enough: reachability, role and term at once, a lost member every
// lostAfter, positions every positionEvery.
func (t *tracker) report(s *memberState, now time.Duration) []lab.MemberStatus {
	if s.failing && !s.lost {
		return nil
	}

	status := t.status(s, now)
	since := now - s.reportedAt

	switch {
	case !s.everSent:
	case status.Reachable != s.reported.Reachable:
	case !status.Reachable:
		if since < t.lostAfter {
			return nil
		}
	case status.InRecovery != s.reported.InRecovery, status.Replayed.Term != s.reported.Replayed.Term:
	case status == s.reported, since < t.positionEvery:
		return nil
	}

	s.everSent, s.reported, s.reportedAt = true, status, now

	return []lab.MemberStatus{status}
}

func (t *tracker) status(s *memberState, now time.Duration) lab.MemberStatus {
	status := lab.MemberStatus{
		Database: s.member.Database, Member: s.member.Member, Reachable: !s.lost,
		InRecovery: s.position.InRecovery, Replayed: s.position.Replayed, Received: s.position.Received,
	}
	if s.lost {
		status.UnreachableFor = now - s.failedAt
	}

	return status
}

// views appends what is known of each member.
func (t *tracker) views(now time.Duration, into []View) []View {
	for _, s := range t.members {
		into = append(into, View{
			Member: s.member, Known: s.known, Failing: s.failing, Lost: s.lost, SilentAt: s.silentAt, Status: t.status(s, now),
			LastTerm: s.term, AgeKnown: s.freshKnown, Age: now - s.freshAt,
		})
	}

	return into
}

// anyFailing reports whether a member did not answer its last poll.
func (t *tracker) anyFailing() bool {
	for _, s := range t.members {
		if s.failing {
			return true
		}
	}

	return false
}
