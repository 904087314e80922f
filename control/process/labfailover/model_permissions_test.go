package labfailover

import (
	"context"
	"fmt"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// modelGrant is how long a permission to commit is valid, counted from the request for it.
	modelGrant = 2500 * time.Millisecond
	// modelDrift is the allowance for clocks that run at different speeds.
	modelDrift = modelGrant / 10
	// modelLease is how long a leader may assume that it leads, after its last contact with the group.
	modelLease = 400 * time.Millisecond
	// modelDrain is how long a proxy waits at most for the commits under way before it confirms that it has no permission.
	modelDrain = 250 * time.Millisecond
	// modelWatch is the interval between two requests of a proxy while nothing changes.
	modelWatch = 500 * time.Millisecond
)

// modelCommitTimeout is how long a proxy waits for the answer to a commit.
const modelCommitTimeout = 2 * time.Second

// modelRevision identifies a list of permissions.
type modelRevision struct{ leader, number uint64 }

func (r modelRevision) before(q modelRevision) bool {
	return r.leader < q.leader || (r.leader == q.leader && r.number < q.number)
}

// modelProxy is a proxy through which clients commit.
type modelProxy struct {
	index     int
	cut       int // disruptions in effect that cut the proxy off from control
	applied   modelRevision
	confirmed modelRevision
	member    string        // at which the proxy may commit, empty for none
	end       time.Duration // of the permission
	grant     uint64        // changes when the permission does
	under     map[string]modelCommit
	known     lab.CommitPosition // up to which the proxy knows commits to be acknowledged
}

// modelCommit is a commit that a member has not answered yet.
type modelCommit struct {
	grant uint64
}

// modelHolder is what a leader knows of the permission of a proxy.
type modelHolder struct {
	confirmed modelRevision
	end       time.Duration // until which the proxy may hold a permission
}

// valid reports whether the proxy may commit. A lapse ends the permission for good.
func (p *modelProxy) valid(now time.Duration) bool {
	if p.member != "" && now >= p.end {
		p.member = ""
		p.grant++
	}

	return p.member != ""
}

// list returns the member at which proxies may commit, and its revision. It mirrors the controller's list.
func (l *modelLeader) list() (string, modelRevision) {
	member := ""

	o, ordered := l.group.Load().Promotion(modelService)
	if e, known := l.knownPrimary(); known && (!ordered || o.Confirmed) && !l.withdrawn {
		member = e.Announcement.Member
	}

	if member != l.listed || l.number == 0 {
		l.listed = member
		l.number++
	}

	return member, modelRevision{l.epoch, l.number}
}

// watch plays one request of a proxy to the leader, which was sent a round trip ago.
func (w *model) watch(p *modelProxy) {
	l, now := w.leader, w.clock.Now()
	if p.cut > 0 || l.suspended.Load() || now-l.since < modelRoundTrip {
		return
	}

	sent := now - modelRoundTrip
	member, revision := l.list()

	l.holders[p.index] = modelHolder{p.confirmed, now + modelGrant}

	if !p.known.IsZero() {
		l.ledger.RecordAcknowledged(modelService, p.known)
	}

	p.valid(now)

	switch {
	case revision.before(p.applied):
		return
	case p.applied.before(revision):
		p.applied = revision

		if member != p.member {
			p.member = member
			p.grant++
		}

		p.end = sent + modelGrant

		w.after(modelDrain, func() { w.confirm(p, revision) })
		w.drained(p)
	default:
		if p.member == "" && member != "" {
			p.member = member
			p.grant++
		}

		p.end = max(p.end, sent+modelGrant)
	}
}

// drained confirms the list that a proxy has applied if no commit is under way that this list doesn't allow.
func (w *model) drained(p *modelProxy) {
	for _, c := range p.under {
		if c.grant != p.grant {
			return
		}
	}

	w.confirm(p, p.applied)
}

// confirm lets a proxy confirm a list, of which the leader learns with the next request.
func (w *model) confirm(p *modelProxy, r modelRevision) {
	if !p.confirmed.before(r) {
		return
	}

	p.confirmed = r

	w.after(modelRoundTrip, func() { w.watch(p) })
}

// notify lets the leader answer the requests of the proxies at once.
func (w *model) notify() {
	for _, p := range w.clients {
		w.after(modelRoundTrip, func() { w.watch(p) })
	}
}

// watchPeriodically plays the requests of the proxies while the list doesn't change.
func (w *model) watchPeriodically() {
	for _, p := range w.clients {
		go func() {
			time.Sleep(time.Duration(p.index+1) * 3 * time.Microsecond)

			for !w.stopped.Load() {
				w.locked(func() { w.watch(p) })
				time.Sleep(modelWatch)
			}
		}()
	}
}

// Withdraw implements CommitPermissions.
func (l *modelLeader) Withdraw(ctx context.Context, _ string) error {
	w := l.model

	var (
		revision modelRevision
		ordered  bool
	)

	w.locked(func() {
		o, ok := l.group.Load().Promotion(modelService)
		if ordered = ok && !o.Confirmed; ordered {
			return
		}

		l.withdrawn = true
		_, revision = l.list()
		w.notify()
		w.note("permission withdrawn")
	})

	for done := ordered; !done; {
		if err := sleep(ctx, modelTick/10+l.offset(offsetWithdraw)); err != nil {
			return err
		}

		l.waitSuspended()

		if !l.leading() {
			return errNoResponse
		}

		w.locked(func() { done = l.withdrawnSince(revision) })
	}

	return nil
}

// withdrawnSince reports whether no proxy has a permission of a list before the given one.
func (l *modelLeader) withdrawnSince(r modelRevision) bool {
	now := l.clock.Now()
	if now < l.since+modelGrant+modelDrift+modelLease {
		return false
	}

	for _, h := range l.holders {
		if h.confirmed.before(r) && now < h.end+modelDrift {
			return false
		}
	}

	return true
}

// writeThroughProxy lets a client write through the proxies in turn, or through the other one if that has no permission.
func (w *model) writeThroughProxy() {
	w.attempts++

	for i := range w.clients {
		if w.commit(w.clients[(w.attempts+i)%len(w.clients)]) {
			return
		}
	}
}

// commit lets a client write through a proxy, and reports whether a member runs the commit.
func (w *model) commit(p *modelProxy) bool {
	if !p.valid(w.clock.Now()) {
		return false
	}

	m := w.find(p.member)
	if m == nil || !m.leads || !m.running || m.dark {
		return false
	}

	id := w.write()
	p.under[id] = modelCommit{p.grant}
	w.sent[id] = p

	w.after(modelCommitTimeout, func() {
		delete(w.sent, id)
		delete(p.under, id)
		w.drained(p)
	})

	return true
}

// answered lets a proxy learn that a member has acknowledged a commit. The client sees a success if the permission under
// which the commit began is still valid.
func (w *model) answered(id string, number int, term uint64) {
	p, ok := w.sent[id]
	if !ok {
		return
	}

	delete(w.sent, id)

	w.after(modelRoundTrip/2, func() {
		c, under := p.under[id]
		delete(p.under, id)

		if under && p.valid(w.clock.Now()) && c.grant == p.grant {
			w.successes++
			w.seen[id] = true

			if w.rolledBack[id] {
				w.lost = append(w.lost, "success of "+id+", which is lost")
			}
		} else {
			w.unknown++
		}

		// The position that was known before the commit was sent.
		if known := (lab.CommitPosition{Term: term, Number: uint64(number)}); p.known.Before(known) {
			p.known = known
		}

		w.drained(p)
	})
}

// Offsets of the actions of a leader, so that no two actions are due at the same instant: their order would be random.
const (
	offsetTick     = 1 * time.Microsecond
	offsetAttempt  = 17 * time.Microsecond
	offsetProposal = 31 * time.Microsecond
	offsetOrder    = 43 * time.Microsecond
	offsetWithdraw = 59 * time.Microsecond
	offsetMember   = 5 * time.Microsecond
	offsetName     = 200 * time.Nanosecond // a member and its successor have names of different lengths
	offsetLeader   = 101 * time.Microsecond
)

func (l *modelLeader) offset(action time.Duration) time.Duration {
	return action + time.Duration(l.epoch)*offsetLeader
}

func (l *modelLeader) memberOffset(a lab.Announcement) time.Duration {
	place := 0
	_, _ = fmt.Sscanf(a.Address, "10.0.0.%d", &place) // 0 without an address

	return l.offset(time.Duration(place)*offsetMember + time.Duration(len(a.Member))*offsetName)
}
