package labtypedsession

import (
	"os"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// recordFailure gives up a connection that brought no answer; the statement may be tried elsewhere.
func (a *attempt) recordFailure(c lab.PooledConnection, err error) {
	releaseUnanswered(c, err)

	switch _, reason := lab.OutcomeOf(err); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.recordTimeout(c)
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

func (a *attempt) skipMember(m lab.Announcement) {
	if a.triedMembers == nil {
		a.triedMembers = map[string]bool{}
	}

	a.triedMembers[m.Member] = true
	a.failedTries++
	a.lastMember = m.Member
}

// recordRefusal notes that a member did not run the statement and gives the connection back.
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

// releaseUnanswered frees a connection that brought no answer and reports whether it may still bring one.
func releaseUnanswered(c lab.PooledConnection, err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.ReleaseAfterDrain()

		return true
	}

	c.Discard()

	return false
}

// abandon gives up a connection on which a statement may still run.
func (a *attempt) abandon(c lab.PooledConnection, err error) {
	if releaseUnanswered(c, err) {
		a.recordTimeout(c)
	} else {
		a.recordConnectionLoss(c)
	}
}

// recordTimeout notes that the member did not answer. A gateway that did not says nothing about the member: while many
// proxies are down or busy, members taken for lost would be replaced, and their connections here left unused.
func (a *attempt) recordTimeout(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordTimeout(c.Member())
	}
}

// recordResponse notes that the member answered on a connection of this process.
func (a *attempt) recordResponse(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordResponse(c.Member())
	}
}

// recordConnectionLoss notes that the connection to the member broke.
func (a *attempt) recordConnectionLoss(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.RecordUnreachable(c.Member())
	}
}

// releaseOrDiscard keeps a connection only when no transaction is open on it.
func releaseOrDiscard(c lab.PooledConnection, r lab.OperationResult) {
	if r.Status != lab.StatusIdle {
		c.Discard()

		return
	}

	c.Release()
}
