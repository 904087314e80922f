package labtypedsession

import (
	"time"

	"laburnumlock.dev/lab"
)

const (
	// retryDelay is the first delay before a refused statement is retried: half of the usual execution time of a
	// statement.
	retryDelay = 10 * time.Millisecond
	// maxRetryDoublings bounds how often the delay doubles over the tries of one statement. Without the doubling, hundreds
	// of statements would each try the same gateways a hundred times a second while a member is unreachable.
	maxRetryDoublings = 4
	// setupTimeout bounds operations that need no slot of the member, such as the begin of a transaction. A round trip
	// between regions takes 24 ms, and a busy instance may stall for 0.1 s.
	setupTimeout = 300 * time.Millisecond
	// idleTestThreshold is the idle time after which a connection is tested before it runs a write, which cannot be
	// repeated.
	idleTestThreshold = 1500 * time.Millisecond
)

// attempt runs one statement and holds its state until the statement has a result. It may try several members.
type attempt struct {
	session        *Session
	requestID      string // ID that the client has given to the request
	route          lab.Route
	started        time.Duration // start of the attempt on the session's clock
	deadline       time.Time
	triedMembers   map[string]bool     // members that refused the statement or did not respond
	lastRefusal    lab.OperationResult // result of the last try that a member refused
	notPermitted   bool                // whether the last try was not sent since there is no permission to commit
	gaveUpWaiting  bool                // whether the attempt ends because no response can arrive before the deadline
	failedTries    int                 // number of tries that were refused or got no response
	lastMember     string              // member of the last failed try
	minPosition    lab.CommitPosition  // position that the member of a read must have reached
	typicalLatency time.Duration       // typical time between an operation and its response at the member of the last try
	begun          begunTransaction    // transaction that the member has accepted last, until its next response
	refusedEjected bool                // whether a gateway has refused a try because it has ejected the member
	maxStaleness   time.Duration       // maximum staleness, if it determined minPosition; 0 if the session's commit did
	token          lab.QuotaToken      // token of the operation, until endToken
	sent           bool                // whether anything may have been sent to a member
	refused        bool                // whether the organisation's quota allows no operation now
}

// begunTransaction is the response of the primary to the begin of a transaction, zero if there is none.
type begunTransaction struct {
	sentAt   time.Duration
	position lab.CommitPosition
}

// mustStop reports whether the attempt must end because the deadline has passed or no response can arrive before it.
func (a *attempt) mustStop() bool {
	return a.gaveUpWaiting || a.expired()
}

func (a *attempt) expired() bool {
	return !time.Now().Before(a.deadline)
}

// notRunResult returns the result of a statement that has not run.
func (a *attempt) notRunResult() lab.OperationResult {
	if a.notPermitted {
		return fault(lab.FaultBusy, noPermission)
	}

	if a.lastRefusal.Fault.NotRun() {
		return fault(lab.FaultBusy, a.lastRefusal.Fault.String())
	}

	return fault(lab.FaultBusy, "no member is available")
}

// backOff pauses before the next try, for a time that doubles with each failed try of the statement.
func (a *attempt) backOff() {
	a.pause(retryDelay << min(max(0, a.failedTries-1), maxRetryDoublings))
}

// pause waits for the given time, but not beyond the deadline. A change of the directory ends the pause early.
func (a *attempt) pause(d time.Duration) {
	t := time.NewTimer(min(d, time.Until(a.deadline)))
	defer t.Stop()

	select {
	case <-t.C:
	case <-a.session.Directory.Changed():
	}
}

// write runs a single write at the primary, at most once.
func (a *attempt) write(o lab.Operation) lab.OperationResult {
	for !a.mustStop() {
		if !a.awaitPermission() {
			continue
		}

		c, ok := a.acquirePrimary()
		if !ok {
			continue
		}

		if !a.testIdle(c) {
			continue
		}

		commit, ok := a.beginCommit(c)
		if !ok {
			c.Release()
			a.pause(retryDelay)

			continue
		}

		sentAt := a.session.Clock.Now()

		r, err := a.execute(c, a.deadline, o)
		permitted := commit.End()

		if notRun(err) {
			a.recordFailure(c, err)

			continue
		}

		if err != nil {
			a.abandon(c, err)

			return a.noResponseResult(err)
		}

		a.recordResponse(c)

		if r.Fault.NotRun() {
			a.recordRefusal(c, r)

			continue
		}

		releaseOrDiscard(c, r)

		if r.Fault != lab.FaultNone {
			return r
		}

		return a.commitResult(c.Member(), r, sentAt, permitted)
	}

	return a.notRunResult()
}

// noResponseResult returns the result of a statement that got no response and must not be retried, since it may have
// run.
func (a *attempt) noResponseResult(err error) lab.OperationResult {
	if a.expired() {
		return fault(lab.FaultTimeout, "no response from the member")
	}

	return fault(lab.FaultUnknown, err.Error())
}

// recordCommit records the position of a commit in the history of the primary and in the session.
func (a *attempt) recordCommit(m lab.Announcement, sentAt time.Duration, p lab.CommitPosition) {
	a.session.Directory.PrimaryHistory(m.Database).Record(sentAt, p)

	if a.session.lastCommit.Before(p) {
		a.session.lastCommit = p
	}
}

// readPrimary runs a read at the primary in a transaction that contains only this read. A member that is no longer the
// primary refuses to begin the transaction, whereas it would serve a read outside a transaction with stale data.
func (a *attempt) readPrimary(o lab.Operation) lab.OperationResult {
	for !a.mustStop() {
		c, ok := a.acquirePrimary()
		if !ok {
			continue
		}

		if !a.begin(c, lab.Operation{Kind: lab.OperationBegin}) {
			continue
		}

		if r, done := a.runRead(c, o, lab.Operation{Kind: lab.OperationRollback}); done {
			return r
		}
	}

	return a.notRunResult()
}

// readReplica runs a read at the most suitable member that has reached the required position.
func (a *attempt) readReplica(o lab.Operation) lab.OperationResult {
	for !a.mustStop() {
		c, minPosition, primary, ok := a.acquireReader()
		if !ok {
			continue
		}

		if primary {
			if r, done := a.readInTransaction(c, o); done {
				return r
			}

			continue
		}

		o.MinPosition = minPosition

		if r, done := a.runRead(c, o); done {
			return r
		}
	}

	return a.notRunResult()
}

// readInTransaction runs a read in a transaction at the member that should be the primary. If the member is not the
// primary, it refuses to begin the transaction.
func (a *attempt) readInTransaction(c lab.PooledConnection, o lab.Operation) (lab.OperationResult, bool) {
	if !a.begin(c, lab.Operation{Kind: lab.OperationBegin}) {
		return lab.OperationResult{}, false
	}

	o.MinPosition = lab.CommitPosition{}

	return a.runRead(c, o, lab.Operation{Kind: lab.OperationRollback})
}

// runRead runs a read, followed by the operations in then. It returns false when the read has no result and may be
// tried again.
func (a *attempt) runRead(c lab.PooledConnection, o lab.Operation, then ...lab.Operation) (lab.OperationResult, bool) {
	r, err := a.execute(c, a.responseDeadline(), o, then...)
	if err != nil && a.expired() && !notRun(err) {
		a.session.Counters.Timeouts.Add(1)
		a.abandon(c, err)

		return fault(lab.FaultTimeout, "no response from the member in time"), true
	}

	if err != nil {
		a.recordFailure(c, err)

		return lab.OperationResult{}, false
	}

	a.recordResponse(c)

	if r.Fault.NotRun() {
		a.recordRefusal(c, r)

		return lab.OperationResult{}, false
	}

	if !o.MinPosition.IsZero() {
		a.session.Directory.RecordCaughtUp(c.Member(), o.MinPosition)
	}

	releaseOrDiscard(c, r)

	return r, true
}

// notRun reports whether an error guarantees that none of the operations has run.
func notRun(err error) bool {
	o, _ := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun
}

// begin begins a transaction on the connection and reports whether the member accepted it.
func (a *attempt) begin(c lab.PooledConnection, begin lab.Operation) bool {
	s := a.session
	sentAt := s.Clock.Now()

	r, err := c.Run(earlier(a.deadline, time.Now().Add(setupTimeout)), s.values, begin)
	a.recordSent(err)

	if err != nil {
		a.recordFailure(c, err)

		return false
	}

	a.recordResponse(c)

	if r[0].Fault != lab.FaultNone {
		a.recordBeginRefusal(c, r[0])

		return false
	}

	if !begin.ReadOnly {
		a.begun = begunTransaction{sentAt, r[0].Position}
	}

	return true
}

// confirmBegin records the position of the primary at the begin of the transaction if the member has run a statement in
// it. The response to the begin alone could be a second one to an earlier begin, with an older position.
func (a *attempt) confirmBegin(m lab.Announcement, ran bool) {
	if ran {
		a.session.Directory.PrimaryHistory(m.Database).Record(a.begun.sentAt, a.begun.position)
	}

	a.begun = begunTransaction{}
}

// recordBeginRefusal records that the member refused to begin a transaction and releases the connection.
func (a *attempt) recordBeginRefusal(c lab.PooledConnection, r lab.OperationResult) {
	s := a.session

	a.lastRefusal = r
	a.skipMember(c.Member())
	s.Counters.Refusals.Add(1)
	releaseOrDiscard(c, r)

	if r.Fault == lab.FaultLagging {
		s.Directory.RecordLag(c.Member(), r.Position)

		return
	}

	s.Directory.Avoid(c.Member())
	a.backOff()
}

// testIdle checks with an empty transaction that a connection still works after a long idle time.
func (a *attempt) testIdle(c lab.PooledConnection) bool {
	if c.IdleTime() < idleTestThreshold {
		return true
	}

	if !a.begin(c, lab.Operation{Kind: lab.OperationBegin}) {
		return false
	}

	r, err := c.Run(
		earlier(a.deadline, time.Now().Add(setupTimeout)), a.session.values, lab.Operation{Kind: lab.OperationRollback})
	if err != nil {
		a.recordFailure(c, err)

		return false
	}

	if r[0].Status != lab.StatusIdle {
		c.Discard()

		return false
	}

	return true
}

// execute sends a statement and the operations in then in one write. It returns the statement's result with the
// transaction status after the last operation.
func (a *attempt) execute(
	c lab.PooledConnection, deadline time.Time, o lab.Operation, then ...lab.Operation,
) (lab.OperationResult, error) {
	if o.Kind == lab.OperationExecute {
		o.PreparedText = a.session.prepared[o.Name].text
	}

	r, err := c.Run(earlier(deadline, a.deadline), a.session.values, append([]lab.Operation{o}, then...)...)
	a.recordSent(err)
	a.confirmBegin(c.Member(), err == nil && r[0].Fault == lab.FaultNone)

	if err != nil {
		return lab.OperationResult{}, err
	}

	out := r[0]
	out.Status = r[len(r)-1].Status

	return out, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
