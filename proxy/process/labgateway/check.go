package labgateway

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// checkResult returns an error if the response must not reach the client, and otherwise sets the result's position.
func (t *transaction) checkResult(
	conn *labupstream.Conn, batch lab.MessageBatch, end labupstream.Result, result *lab.BatchResult,
) error {
	if !t.mayWrite() {
		return t.checkRead(conn, end, result)
	}

	t.wrote = t.wrote || !batch.ReadOnly

	if err := t.checkPrimary(conn, end); err != nil || !end.HasPosition {
		return err
	}

	result.Position = end.Position.Replayed

	undone := t.rolledBack || end.CommandTag == rollbackTag && end.CompletedCommands == 1
	if !t.wrote || undone || end.Status != 'I' && !end.Committed {
		return nil
	}

	if end.Status == 'I' {
		// The wait needs no connection. The transaction stays registered, so that its grant is still reported as held.
		t.releaseConnection()
	}

	return t.waitForReplica(end.Position.Replayed)
}

// checkPrimary returns an error if the member is not the primary of the grant's term.
func (t *transaction) checkPrimary(conn *labupstream.Conn, end labupstream.Result) error {
	switch {
	case !end.HasPosition && (t.rolledBack || end.Status == 'E'):
		return nil
	case !end.HasPosition:
		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not report its WAL position"))
	case !end.Position.InRecovery && end.Position.Replayed.Term == t.grant.Term:
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
func (t *transaction) checkRead(conn *labupstream.Conn, end labupstream.Result, result *lab.BatchResult) error {
	if end.SQLState == readOnlySQLState && end.Position.InRecovery && !end.Forwarded {
		return lab.NotRunError(lab.ReasonReadOnly, errors.New("the replica rejected a write"))
	}

	if !end.HasPosition {
		if end.SQLState != "" || end.Status == 'E' {
			return nil
		}

		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not report its WAL position"))
	}

	position := end.Position.Replayed
	if position.Term == 0 {
		position.Term = t.lastObservedTerm()
	}

	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found || !followsHistory(database, position) || !covers(database, position, t.header.MinPosition) {
		conn.MarkBroken()

		return lab.UnknownOutcomeError(lab.ReasonStale, errors.Newf("member is at %s, floor is %s", position, t.header.MinPosition))
	}

	result.Position = position

	return nil
}

// lastObservedTerm returns the last term that the observer has read from the member. A replica without a running WAL
// receiver reports no term.
func (t *transaction) lastObservedTerm() lab.PrimaryTerm {
	for _, v := range t.role.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == t.pool.Load().member.Member {
			return v.LastTerm
		}
	}

	return 0
}
