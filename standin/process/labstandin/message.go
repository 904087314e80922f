package labstandin

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

// handle serves one message; its error ends the session.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.query(m.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Terminate:
		return errClosed
	}

	if s.skip {
		return nil
	}

	err := s.extended(message)
	if err == nil {
		return nil
	}

	if err := s.report(err); err != nil {
		return err
	}

	s.skip = true

	return nil
}

// report sends a statement's error to the client; other errors end the session.
func (s *session) report(err error) error {
	var e *sqlError
	if !errors.As(err, &e) {
		return err
	}

	if s.block != nil {
		s.block.failed = true
	}

	s.backend.Send(e.response("ERROR"))

	return nil
}

func (s *session) query(sql string) error {
	pending, err := s.queryAll(sql)

	if s.block != nil && s.block.implicit {
		if e := s.end(err == nil); err == nil {
			err = e
		}
	}

	if err != nil {
		if err := s.report(err); err != nil {
			return err
		}
	} else {
		s.backend.Send(pending)
	}

	return s.ready()
}

// queryAll runs the statements of one Query message. It returns the last completion, which must follow the commit.
func (s *session) queryAll(sql string) (pgproto3.BackendMessage, error) {
	statements, err := parse(sql)
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

		pending = r.complete()
	}

	return pending, nil
}

func parse(sql string) ([]labsql.Statement, error) {
	statements, err := labsql.Parse(sql)
	if err != nil {
		return nil, &sqlError{"42601", err.Error()}
	}

	return statements, nil
}

// sync ends the implicit transaction of the extended protocol.
func (s *session) sync() error {
	failed := s.skip
	s.skip = false

	if s.block != nil && s.block.implicit {
		if err := s.end(!failed && !s.block.failed); err != nil {
			if err := s.report(err); err != nil {
				return err
			}
		}
	}

	return s.ready()
}
