package labgateway

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// check decides whether the answer may be given, and fills in its position.
func (t *transaction) check(
	conn *labupstream.Conn, unit lab.MessageBatch, ended labupstream.Ended, result *lab.BatchResult,
) error {
	if !t.writes() {
		return t.checkRead(conn, ended, result)
	}

	t.wrote = t.wrote || !unit.ReadOnly

	if err := t.checkPrimary(conn, ended); err != nil || !ended.Positioned {
		return err
	}

	result.Position = ended.Position.Replayed

	undone := t.rolledBack || ended.Tag == rollbackTag && ended.Completed == 1
	if !t.wrote || undone || ended.Status != 'I' && !ended.Committed {
		return nil
	}

	if ended.Status == 'I' {
		// The connection is not needed for the wait; the transaction stays registered, so that the grant is held.
		t.unbind()
	}

	return t.acknowledge(ended.Position.Replayed)
}

// checkPrimary refuses an answer of a member that is not the primary of the grant's term.
func (t *transaction) checkPrimary(conn *labupstream.Conn, ended labupstream.Ended) error {
	switch {
	case !ended.Positioned && (t.rolledBack || ended.Status == 'E'):
		return nil
	case !ended.Positioned:
		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not tell its position"))
	case !ended.Position.InRecovery && ended.Position.Replayed.Term == t.grant.Term:
		return nil
	}

	conn.Break()

	if t.rolledBack {
		return lab.NotRunError(lab.ReasonSuperseded, errSuperseded)
	}

	return lab.UnknownOutcomeError(lab.ReasonSuperseded, errSuperseded)
}

// checkRead refuses an answer of a member that turned out to be behind the floor.
func (t *transaction) checkRead(conn *labupstream.Conn, ended labupstream.Ended, result *lab.BatchResult) error {
	if ended.Code == readOnlyCode && ended.Position.InRecovery && !ended.Passed {
		return lab.NotRunError(lab.ReasonReadOnly, errors.New("the replica refused a write"))
	}

	if !ended.Positioned {
		if ended.Code != "" || ended.Status == 'E' {
			return nil
		}

		return lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.New("the upstream did not tell its position"))
	}

	position := ended.Position.Replayed
	if position.Term == 0 {
		position.Term = t.lastTerm()
	}

	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found || !fits(database, position) || !covers(database, position, t.header.MinPosition) {
		conn.Break()

		return lab.UnknownOutcomeError(lab.ReasonStale, errors.Newf("member is at %s, floor is %s", position, t.header.MinPosition))
	}

	result.Position = position

	return nil
}

// lastTerm returns the term that a replica without a running receiver last followed.
func (t *transaction) lastTerm() lab.PrimaryTerm {
	for _, v := range t.duty.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == t.pool.Load().member.Member {
			return v.LastTerm
		}
	}

	return 0
}
