package labstandin

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// handle handles one message. An error that it returns ends the session.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m.String)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Terminate:
		return errClosed
	}

	if s.skipToSync {
		return nil
	}

	err := s.handleExtended(message)
	if err == nil {
		return nil
	}

	if err := s.reportError(err); err != nil {
		return err
	}

	s.skipToSync = true

	return nil
}

// reportError sends an sqlError to the client and fails the transaction. It returns any other error, which ends the
// session.
func (s *session) reportError(err error) error {
	var e *sqlError
	if !errors.As(err, &e) {
		return err
	}

	if s.transaction != nil {
		s.transaction.failed = true
	}

	s.backend.Send(e.response("ERROR"))

	return nil
}

func (s *session) handleQuery(sql string) error {
	pending, err := s.executeQuery(sql)

	if s.transaction != nil && s.transaction.implicit {
		if e := s.endTransaction(err == nil); err == nil {
			err = e
		}
	}

	if err != nil {
		if err := s.reportError(err); err != nil {
			return err
		}
	} else {
		s.backend.Send(pending)
	}

	return s.sendReady()
}

// executeQuery runs the statements of one Query message. It returns the completion message of the last statement, which
// must be sent after the commit.
func (s *session) executeQuery(sql string) (pgproto3.BackendMessage, error) {
	statements, err := parseSQL(sql)
	if err != nil {
		return nil, err
	}

	var pending pgproto3.BackendMessage = &pgproto3.EmptyQueryResponse{}

	for i := range statements {
		if i > 0 {
			s.backend.Send(pending)
		}

		r, err := s.execute(&statements[i], nil)
		if err != nil {
			return nil, err
		}

		if r.columns != nil {
			s.backend.Send(rowDescription(r.columns, nil))
		}

		if _, err := s.sendRows(r, nil, 0); err != nil {
			return nil, err
		}

		pending = r.commandComplete()
	}

	return pending, nil
}

func parseSQL(sql string) ([]labsql.Statement, error) {
	statements, err := labsql.Parse(sql)
	if err != nil {
		return nil, &sqlError{"42601", err.Error()}
	}

	return statements, nil
}

// handleSync handles a Sync message, which ends the implicit transaction of the extended query protocol.
func (s *session) handleSync() error {
	failed := s.skipToSync
	s.skipToSync = false

	if s.transaction != nil && s.transaction.implicit {
		if err := s.endTransaction(!failed && !s.transaction.failed); err != nil {
			if err := s.reportError(err); err != nil {
				return err
			}
		}
	}

	return s.sendReady()
}
