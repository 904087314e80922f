package labstandin

import (
	"bytes"
	"crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const saslMechanism = "SCRAM-SHA-256"

// startUp handles the startup phase of a connection, which ends with the first ReadyForQuery.
func (s *session) startUp() error {
	startup, err := s.receiveStartup()
	if err != nil {
		return err
	}

	g := s.member.group

	if err := s.reserveConnection(); err != nil {
		return s.reject(err)
	}

	if err := sleep(s.context, g.ConnectionCost); err != nil {
		return err
	}

	if d := startup.Parameters["database"]; g.Database != "" && d != "" && d != g.Database {
		return s.reject(errNoDatabase)
	}

	if err := s.authenticate(startup.Parameters["user"]); err != nil {
		return err
	}

	return s.completeStartup(startup)
}

func (s *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Newf("read startup message: %w", err)
		}

		err = s.member.lockWhenThawed(s.context)
		s.member.group.lock.Unlock()

		if err != nil {
			return nil, err
		}

		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			s.member.cancelStatement(m)
			return nil, errClosed
		default:
			if _, err := s.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

// reserveConnection counts the connection as open, or returns an error if the member has reached its connection limit.
func (s *session) reserveConnection() error {
	m := s.member
	m.group.lock.Lock()
	defer m.group.lock.Unlock()

	c := &m.counters
	if m.config.Connections > 0 && c.OpenConnections >= m.config.Connections {
		c.RejectedConnections++
		return errTooManyConnections
	}

	s.counted = true
	c.AcceptedConnections++
	c.OpenConnections++
	c.MaxOpenConnections = max(c.MaxOpenConnections, c.OpenConnections)

	return nil
}

// reject sends an sqlError to the client. It returns the given error, which ends the session.
func (s *session) reject(cause error) error {
	var e *sqlError
	if errors.As(cause, &e) {
		s.backend.Send(e.response("FATAL"))
		_ = s.flush()
	}

	return cause
}

func (s *session) authenticate(user string) error {
	g := s.member.group
	if g.Password == "" {
		return nil
	}

	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return g.credentials, nil })
	if err != nil {
		return errors.Newf("prepare authentication: %w", err)
	}

	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})

	conversation := server.NewConversation()

	for !conversation.Done() {
		if err := s.authenticateStep(conversation); err != nil {
			return err
		}
	}

	if !conversation.Valid() || user != g.User {
		return s.reject(errWrongPassword)
	}

	return nil
}

func (s *session) authenticateStep(conversation *scram.ServerConversation) error {
	if err := s.flush(); err != nil {
		return err
	}

	data, err := s.receiveSASL()
	if err != nil {
		return err
	}

	response, err := conversation.Step(data)

	switch {
	case err != nil:
		return s.reject(errWrongPassword)
	case conversation.Done():
		s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(response)})
	default:
		s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(response)})
	}

	return nil
}

func (s *session) receiveSASL() (string, error) {
	if err := s.backend.SetAuthType(s.authType()); err != nil {
		return "", errors.Newf("set authentication type: %w", err)
	}

	message, err := s.backend.Receive()
	if err != nil {
		return "", errors.Newf("read password message: %w", err)
	}

	switch m := message.(type) {
	case *pgproto3.SASLInitialResponse:
		s.saslStarted = true

		if m.AuthMechanism != saslMechanism {
			return "", s.reject(errWrongPassword)
		}

		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	}

	return "", s.reject(errProtocolViolation)
}

func (s *session) authType() uint32 {
	if s.saslStarted {
		return pgproto3.AuthTypeSASLContinue
	}

	return pgproto3.AuthTypeSASL
}

func (s *session) completeStartup(startup *pgproto3.StartupMessage) error {
	s.secretKey = make([]byte, 4)
	_, _ = rand.Read(s.secretKey)

	s.backend.Send(&pgproto3.AuthenticationOk{})

	for _, p := range [][2]string{
		{"server_version", "17.0 (standin)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", startup.Parameters["application_name"]},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}

	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.secretKey})

	return s.sendReady()
}

// cancelStatement cancels the running statement of the session that the request names. A request with a wrong secret
// key is ignored, as in PostgreSQL.
func (m *Member) cancelStatement(request *pgproto3.CancelRequest) {
	m.group.lock.Lock()
	s := m.sessions[uint64(request.ProcessID)]
	m.group.lock.Unlock()

	if s == nil || !bytes.Equal(s.secretKey, request.SecretKey) {
		return
	}

	s.interruptLock.Lock()
	defer s.interruptLock.Unlock()

	if s.interrupt != nil {
		s.interrupt()
	}
}
