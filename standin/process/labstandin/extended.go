package labstandin

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/standin/process/labstandin/internal/labsql"
)

type preparedStatement struct {
	statement labsql.Statement
	types     []uint32 // parameter type OIDs
}

type portal struct {
	prepared   *preparedStatement
	parameters []value
	formats    []int16 // format codes of the result columns
	result     *result // result of the statement, nil until the first Execute
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.handleExecute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.preparedStatements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}

		s.backend.Send(&pgproto3.CloseComplete{})

		return nil
	case *pgproto3.Flush:
		return s.flush()
	}

	return errProtocolViolation
}

func (s *session) handleParse(m *pgproto3.Parse) error {
	if _, exists := s.preparedStatements[m.Name]; exists && m.Name != "" {
		return errDuplicateStatement
	}

	statements, err := parseSQL(m.Query)
	if err != nil {
		return err
	}

	if len(statements) > 1 {
		return &sqlError{"42601", "cannot insert multiple commands into a prepared statement"}
	}

	p := &preparedStatement{}
	if len(statements) == 1 {
		p.statement = statements[0]
	}

	p.types = append(p.types, p.statement.Parameters...)

	for i, t := range m.ParameterOIDs {
		switch {
		case i >= len(p.types):
			p.types = append(p.types, t)
		case t != 0:
			p.types[i] = t
		}
	}

	s.preparedStatements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})

	return nil
}

func (s *session) handleBind(m *pgproto3.Bind) error {
	p, ok := s.preparedStatements[m.PreparedStatement]
	if !ok {
		return errNoPreparedStatement
	}

	if len(m.Parameters) != len(p.types) {
		return errProtocolViolation
	}

	s.ensureTransaction()

	q := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}

	for i, d := range m.Parameters {
		v, err := decodeParameter(d, p.types[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}

		q.parameters = append(q.parameters, v)
	}

	s.portals[m.DestinationPortal] = q
	s.backend.Send(&pgproto3.BindComplete{})

	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) error {
	var (
		p       *preparedStatement
		formats []int16
	)

	if m.ObjectType == 'S' {
		p = s.preparedStatements[m.Name]
		if p == nil {
			return errNoPreparedStatement
		}

		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
	} else {
		q := s.portals[m.Name]
		if q == nil {
			return errNoPortal
		}

		p, formats = q.prepared, q.formats
	}

	columns := resultColumns(&p.statement)
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}

	s.backend.Send(rowDescription(columns, formats))

	return nil
}

func (s *session) handleExecute(m *pgproto3.Execute) error {
	q, ok := s.portals[m.Portal]
	if !ok {
		return errNoPortal
	}

	if q.prepared.statement.Kind == labsql.Empty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}

	if q.result == nil {
		r, err := s.execute(&q.prepared.statement, q.parameters)
		if err != nil {
			return err
		}

		q.result = r
	}

	suspended, err := s.sendRows(q.result, q.formats, m.MaxRows)
	if err != nil {
		return err
	}

	if suspended {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}

	s.backend.Send(q.result.commandComplete())

	return nil
}
