package labdialogue

import (
	"os"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// silent gives up a connection that brought no answer; the statement may be tried elsewhere.
func (a *attempt) silent(c lab.PooledConnection, err error) {
	giveUp(c, err)

	switch _, reason := lab.OutcomeOf(err); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.noteSilence(c)
	case !notRun(err) || reason == lab.ReasonConnectionLost:
		a.noteLoss(c)
	case reason == lab.ReasonOverload:
		a.hopeless = true
	default:
		a.backOff()
	}

	a.skip(c.Member())
	a.session.Log.Info().Err(err).Str("request", a.id).Str("database", a.session.Database).
		Str("member", c.Member().Member).Msg("member_unanswered")
}

func (a *attempt) skip(m lab.Announcement) {
	if a.tried == nil {
		a.tried = map[string]bool{}
	}

	a.tried[m.Member] = true
	a.tries++
	a.at = m.Member
}

// refuse notes that a member did not run the statement and gives the connection back.
func (a *attempt) refuse(c lab.PooledConnection, r lab.OperationResult) {
	a.last = r
	a.session.Counters.Refusals.Add(1)

	if r.Fault == lab.FaultNotPrepared {
		giveBack(c, r)

		return
	}

	a.skip(c.Member())

	if r.Fault == lab.FaultLagging {
		a.session.Directory.Behind(c.Member(), r.Position)
	} else {
		a.session.Directory.Avoid(c.Member())
	}

	giveBack(c, r)

	if r.Fault == lab.FaultBusy || r.Fault == lab.FaultReadOnly {
		a.backOff()
	}
}

// giveUp frees a connection that brought no answer and reports whether it may still bring one.
func giveUp(c lab.PooledConnection, err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.ReleaseAfterDrain()

		return true
	}

	c.Discard()

	return false
}

// unanswered gives up a connection on which a statement may still run.
func (a *attempt) unanswered(c lab.PooledConnection, err error) {
	if giveUp(c, err) {
		a.noteSilence(c)
	} else {
		a.noteLoss(c)
	}
}

// noteSilence notes that the member did not answer. A gateway that did not says nothing about the member: while many
// proxies are down or busy, members taken for lost would be replaced, and their connections here left unused.
func (a *attempt) noteSilence(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.Silent(c.Member())
	}
}

// noteAnswer notes that the member answered on a connection of this process.
func (a *attempt) noteAnswer(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.Reached(c.Member())
	}
}

// noteLoss notes that the connection to the member broke.
func (a *attempt) noteLoss(c lab.PooledConnection) {
	if c.Direct() {
		a.session.Directory.Unreached(c.Member())
	}
}

// giveBack keeps a connection only when no transaction is open on it.
func giveBack(c lab.PooledConnection, r lab.OperationResult) {
	if r.Status != lab.StatusIdle {
		c.Discard()

		return
	}

	c.Release()
}
