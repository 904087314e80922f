package labtypedsession

import (
	"os"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// recordFailure releases a connection on which a try of the statement failed with an error, and records the failure.
// The statement may then be tried at another member.
func (a *attempt) recordFailure(c lab.PooledConnection, err error) {
	releaseAfterError(c, err)

	a.begun = begunTransaction{}
	_, reason := lab.OutcomeOf(err)

	if reason == lab.ReasonEjected {
		// Another member runs the statement at once. Such tries are too frequent for a log line.
		a.refusedEjected = true
		a.session.Counters.Diverted.Add(1)
		a.skipMember(c.Member())

		return
	}

	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.recordTimeout(c)
	case reason == lab.ReasonOutOfStep: // the member responds, and another connection to it may be in step
	case !notRun(err) || reason == lab.ReasonConnectionLost:
		a.recordConnectionLoss(c)
	case reason == lab.ReasonOverload:
		a.gaveUpWaiting = true
	default:
		a.backOff()
	}

	a.skipMember(c.Member())
	a.session.Log.Info().Err(err).Str("request", a.requestID).Str("database", a.session.Database).
		Str("member", c.Member().Member).Msg("member_unanswered")
}

// skipMember excludes a member from the next tries of the statement.
func (a *attempt) skipMember(m lab.Announcement) {
	if a.triedMembers == nil {
		a.triedMembers = map[string]bool{}
	}

	a.triedMembers[m.Member] = true
	a.failedTries++
	a.lastMember = m.Member
}

// recordRefusal records that a member refused to run the statement, and releases the connection.
func (a *attempt) recordRefusal(c lab.PooledConnection, r lab.OperationResult) {
	a.lastRefusal = r
	a.session.Counters.Refusals.Add(1)

	if r.Fault == lab.FaultNotPrepared {
		releaseOrDiscard(c, r)

		return
	}

	a.skipMember(c.Member())

	if r.Fault == lab.FaultLagging {
		a.session.Directory.RecordLag(c.Member(), r.Position)
	} else {
		a.session.Directory.Avoid(c.Member())
	}

	releaseOrDiscard(c, r)

	if r.Fault == lab.FaultBusy || r.Fault == lab.FaultReadOnly {
		a.backOff()
	}
}

// releaseAfterError gives up a connection on which a response is missing after the error err. It reports whether the
// response may still arrive.
func releaseAfterError(c lab.PooledConnection, err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.ReleaseAfterDrain()

		return true
	}

	c.Discard()

	return false
}

// abandon gives up a connection on which a statement may still run, and records that the member did not respond or that
// the connection broke.
func (a *attempt) abandon(c lab.PooledConnection, err error) {
	_, reason := lab.OutcomeOf(err)

	switch {
	case releaseAfterError(c, err):
		a.recordTimeout(c)
	case reason != lab.ReasonOutOfStep:
		a.recordConnectionLoss(c)
	}
}

// recordTimeout records that the member did not respond. It ignores timeouts on connections through gateways, since
// these say nothing about the member. Otherwise, while many proxies are down or busy, healthy members would be
// replaced, and this proxy would not use its direct connections to them.
func (a *attempt) recordTimeout(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordTimeout(c.Member())
	}
}

// recordResponse records that the member responded. It ignores responses on connections through gateways.
func (a *attempt) recordResponse(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordResponse(c.Member())
	}
}

// recordConnectionLoss records that a connection to the member broke. It ignores connections through gateways.
func (a *attempt) recordConnectionLoss(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordUnreachable(c.Member())
	}
}

// releaseOrDiscard releases a connection on which no transaction is open, and discards any other.
func releaseOrDiscard(c lab.PooledConnection, r lab.OperationResult) {
	if r.Status != lab.StatusIdle {
		c.Discard()

		return
	}

	c.Release()
}
