package labgateway

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// checkResult returns an error if the response must not reach the client, and otherwise sets the result's position.
func (t *transaction) checkResult(
	conn *labupstream.Conn, batch lab.MessageBatch, upstreamResult labupstream.Result, result *lab.BatchResult,
) error {
	if !t.mayWrite() {
		return t.checkRead(conn, upstreamResult, result)
	}

	t.mayHaveWritten = t.mayHaveWritten || !batch.ReadOnly

	if err := t.checkPrimary(conn, upstreamResult); err != nil || !upstreamResult.HasPosition {
		return err
	}

	result.Position = upstreamResult.Position.Replayed

	undone := t.rolledBack || upstreamResult.CommandTag == rollbackTag && upstreamResult.CompletedCommands == 1
	if !t.mayHaveWritten || undone || upstreamResult.Status != 'I' && !upstreamResult.Committed {
		return nil
	}

	if upstreamResult.Status == 'I' {
		// Waiting for a replica needs no connection. The transaction stays registered, so that HeldGrants still
		// includes its grant.
		t.releaseConnection()
	}

	return t.waitForReplica(upstreamResult.Position.Replayed)
}

// checkPrimary returns an error if the member is not the primary of the grant's term.
func (t *transaction) checkPrimary(conn *labupstream.Conn, upstreamResult labupstream.Result) error {
	switch {
	case !upstreamResult.HasPosition && (t.rolledBack || upstreamResult.Status == 'E'):
		return nil
	case !upstreamResult.HasPosition:
		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not report its WAL position"))
	case !upstreamResult.Position.InRecovery && upstreamResult.Position.Replayed.Term == t.grant.Term:
		return nil
	}

	conn.MarkBroken()

	if t.rolledBack {
		return lab.NotRunError(lab.ReasonSuperseded, errSuperseded)
	}

	return lab.UnknownOutcomeError(lab.ReasonSuperseded, errSuperseded)
}

// checkRead returns an error if the member has diverged, is behind the minimum position, or is a replica that rejected
// a write. Otherwise it sets the result's position.
func (t *transaction) checkRead(conn *labupstream.Conn, upstreamResult labupstream.Result, result *lab.BatchResult) error {
	if upstreamResult.SQLState == readOnlySQLState && upstreamResult.Position.InRecovery && !upstreamResult.Forwarded {
		return lab.NotRunError(lab.ReasonReadOnly, errors.New("the replica rejected a write"))
	}

	if !upstreamResult.HasPosition {
		if upstreamResult.SQLState != "" || upstreamResult.Status == 'E' {
			return nil
		}

		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not report its WAL position"))
	}

	position := upstreamResult.Position.Replayed
	if position.Term == 0 {
		position.Term = t.lastObservedTerm()
	}

	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found || !followsHistory(database, position) || !covers(database, position, t.header.MinPosition) {
		conn.MarkBroken()

		return lab.UnknownOutcomeError(lab.ReasonStale,
			errors.Newf("member is at %s, minimum position is %s", position, t.header.MinPosition))
	}

	result.Position = position

	return nil
}

// lastObservedTerm returns the last term that the observer has read from the member. It stands in for the term of a
// position when the member's WAL receiver does not run, because the member then reports no term.
func (t *transaction) lastObservedTerm() lab.PrimaryTerm {
	for _, v := range t.role.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == t.pool.Load().member.Member {
			return v.LastTerm
		}
	}

	return 0
}
