package labtypedsession

import (
	"time"

	"laburnumlock.dev/lab"
)

const (
	// retryDelay is the time before a member that refused is asked again; half of a statement's usual work.
	retryDelay = 10 * time.Millisecond
	// maxRetryDoublings bounds the growth of retryPause over the tries of one statement: while a way is blocked, hundreds
	// of statements would ask the same gateways a hundred times a second each.
	maxRetryDoublings = 4
	// setupTimeout bounds operations that need no slot: a round trip between regions takes 24 ms, and a busy instance
	// may not run for a tenth of a second.
	setupTimeout = 300 * time.Millisecond
	// idleTestThreshold is the idle time after which a connection is tested before something that cannot be repeated is sent
	// on it.
	idleTestThreshold = 1500 * time.Millisecond
)

// attempt is one statement on its way to a result.
type attempt struct {
	session        *Session
	requestID      string // of the caller's request
	route          lab.Route
	started        time.Duration // on the session's clock
	deadline       time.Time
	triedMembers   map[string]bool
	lastRefusal    lab.OperationResult // newest refusal
	gaveUpWaiting  bool                // waiting longer cannot lead to an answer in time
	failedTries    int                 // members that refused or did not answer
	lastMember     string              // member that was asked last
	minPosition    lab.CommitPosition  // that a read's member must have
	typicalLatency time.Duration       // from sending operations to their answer, at the member asked last
	acceptedAge    time.Duration       // accepted age that led to after, 0 when the session's own commit did
}

// mustStop reports whether the attempt must end: its time is over or waiting on makes no sense.
func (a *attempt) mustStop() bool {
	return a.gaveUpWaiting || a.expired()
}

func (a *attempt) expired() bool {
	return !time.Now().Before(a.deadline)
}

// notRunResult is the result when time runs out and nothing has run.
func (a *attempt) notRunResult() lab.OperationResult {
	if a.lastRefusal.Fault.NotRun() {
		return fault(lab.FaultBusy, a.lastRefusal.Fault.String())
	}

	return fault(lab.FaultBusy, "no member is available")
}

// backOff waits longer after each refusal of the same statement.
func (a *attempt) backOff() {
	a.pause(retryDelay << min(max(0, a.failedTries-1), maxRetryDoublings))
}

// pause waits before the next round, but not beyond the deadline; a change of the directory ends it.
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
		c, ok := a.acquirePrimary()
		if !ok {
			continue
		}

		if !a.testIdle(c) {
			continue
		}

		sentAt := a.session.Clock.Now()

		r, err := a.execute(c, a.deadline, o)
		if notRun(err) {
			a.recordFailure(c, err)

			continue
		}

		if err != nil {
			a.abandon(c, err)

			return a.unansweredResult(err)
		}

		a.recordResponse(c)

		if r.Fault.NotRun() {
			a.recordRefusal(c, r)

			continue
		}

		releaseOrDiscard(c, r)

		if r.Fault == lab.FaultNone {
			a.recordCommit(c.Member(), sentAt, r.Position)
		}

		return r
	}

	return a.notRunResult()
}

// unansweredResult is the result when a statement that cannot be repeated got no answer.
func (a *attempt) unansweredResult(err error) lab.OperationResult {
	if a.expired() {
		return fault(lab.FaultTimeout, "no answer from the member")
	}

	return fault(lab.FaultUnknown, err.Error())
}

func (a *attempt) recordCommit(m lab.Announcement, sentAt time.Duration, p lab.CommitPosition) {
	a.session.Directory.PrimaryHistory(m.Database).Record(sentAt, p)

	if a.session.lastCommit.Before(p) {
		a.session.lastCommit = p
	}
}

// readPrimary runs a read inside a transaction of the system's own: a member that lost the lead refuses it there,
// while it would answer a plain read with what it has.
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

// readReplica runs a read at the member that suits best, on a log that has what the caller must see.
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

// readInTransaction runs a read at the presumed primary, inside a transaction that proves that it leads.
func (a *attempt) readInTransaction(c lab.PooledConnection, o lab.Operation) (lab.OperationResult, bool) {
	if !a.begin(c, lab.Operation{Kind: lab.OperationBegin}) {
		return lab.OperationResult{}, false
	}

	o.MinPosition = lab.CommitPosition{}

	return a.runRead(c, o, lab.Operation{Kind: lab.OperationRollback})
}

func (a *attempt) runRead(c lab.PooledConnection, o lab.Operation, then ...lab.Operation) (lab.OperationResult, bool) {
	r, err := a.execute(c, a.responseDeadline(), o, then...)
	if err != nil && a.expired() && !notRun(err) {
		a.session.Counters.Timeouts.Add(1)
		a.abandon(c, err)

		return fault(lab.FaultTimeout, "no answer from the member in time"), true
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

// notRun reports whether an error promises that nothing has run.
func notRun(err error) bool {
	o, _ := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun
}

// begin begins a transaction on the connection.
func (a *attempt) begin(c lab.PooledConnection, begin lab.Operation) bool {
	s := a.session
	sentAt := s.Clock.Now()

	r, err := c.Run(earlier(a.deadline, time.Now().Add(setupTimeout)), s.values, begin)
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
		s.Directory.PrimaryHistory(c.Member().Database).Record(sentAt, r[0].Position)
	}

	return true
}

// recordBeginRefusal gives back a connection whose member refused to begin a transaction.
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

// testIdle makes sure that a connection which has been idle for long still answers.
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

// execute runs a statement and then further operations in the same write, and returns the statement's result with the
// session's state after all of them.
func (a *attempt) execute(
	c lab.PooledConnection, deadline time.Time, o lab.Operation, then ...lab.Operation,
) (lab.OperationResult, error) {
	if o.Kind == lab.OperationExecute {
		o.PreparedText = a.session.prepared[o.Name].text
	}

	r, err := c.Run(earlier(deadline, a.deadline), a.session.values, append([]lab.Operation{o}, then...)...)
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
