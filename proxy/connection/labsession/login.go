package labsession

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/connection/labscram"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Request codes and protocol versions in startup packets.
const (
	codeSSLRequest    = 80877103
	codeGSSRequest    = 80877104
	codeCancelRequest = 80877102
	protocolMajor     = 3
	protocolMinor     = 2 // newest supported minor version
)

// startupState is the state of a session during startup and authentication.
type startupState struct {
	parameters   map[string]string  // parameters of the startup packet; nil before it is received
	minorVersion uint32             // negotiated minor version of the protocol
	exchange     *labscram.Exchange // SCRAM exchange in progress
	saslStarted  bool               // the first SCRAM message was received
}

// handleStartup handles messages until startup and authentication are complete. It returns false when it needs more
// bytes or has closed the session. The caller holds s.lock.
func (s *Session) handleStartup() bool {
	for s.startup != nil && !s.closed {
		l := s.startup

		next := s.splitter.Next
		if l.parameters == nil {
			next = s.splitter.NextStartup
		}

		f, ok, err := next(labframe.StartupLimit)
		if err != nil {
			s.server.Counters.LoginsFailed.Add(1)
			s.closeForViolation(frameFailure(err))

			return false
		}

		if !ok {
			return false
		}

		if failed := s.handleStartupFrame(l, f); failed != nil {
			s.server.Counters.LoginsFailed.Add(1)
			s.server.Log.Warn().Str("organisation", l.parameters["user"]).Str("database", l.parameters["database"]).
				Str("code", failed.code).Str("reason", failed.message).Msg("login_refused")
			s.closeWith(failed)

			return false
		}
	}

	return !s.closed
}

func (s *Session) handleStartupFrame(l *startupState, f labframe.Frame) *failure {
	if l.parameters == nil {
		return s.handleStartupPacket(l, f.Body())
	}

	if f.Type != 'p' {
		return &failure{codeProtocolViolation, "expected a password message", ""}
	}

	return s.authenticate(l, f.Body())
}

func (s *Session) handleStartupPacket(l *startupState, body []byte) *failure {
	if len(body) < 4 {
		return &failure{codeProtocolViolation, "invalid length of startup packet", ""}
	}

	code := binary.BigEndian.Uint32(body)

	switch {
	case code == codeSSLRequest || code == codeGSSRequest:
		s.conn.Send([]byte{'N'})

		return nil
	case code == codeCancelRequest:
		s.handleCancelPacket(body[4:])

		return nil
	case code>>16 != protocolMajor:
		return &failure{codeNotSupported, "unsupported frontend protocol version", "use protocol version 3"}
	}

	parameters, ok := parseStartupParameters(body[4:])
	if !ok {
		return &failure{codeProtocolViolation, "invalid startup packet layout", ""}
	}

	l.parameters, l.minorVersion = parameters, code&0xffff

	return s.negotiate(l)
}

// parseStartupParameters reads the name and value pairs of a startup packet, which an empty name terminates.
func parseStartupParameters(body []byte) (map[string]string, bool) {
	parameters := make(map[string]string)

	for {
		name, rest, ok := cutString(body)
		if !ok {
			return nil, false
		}

		if name == "" {
			return parameters, len(rest) == 0
		}

		value, rest, ok := cutString(rest)
		if !ok {
			return nil, false
		}

		parameters[name], body = value, rest
	}
}

// negotiate responds to a startup packet: it negotiates the protocol version and starts the authentication.
func (s *Session) negotiate(l *startupState) *failure {
	var unknown []string

	for n := range l.parameters {
		if strings.HasPrefix(n, "_pq_.") {
			unknown = append(unknown, n)
		}
	}

	slices.Sort(unknown)

	if l.minorVersion > protocolMinor || len(unknown) > 0 {
		l.minorVersion = min(l.minorVersion, protocolMinor)
		s.conn.Send(encode(&pgproto3.NegotiateProtocolVersion{
			NewestMinorProtocol: protocolMajor<<16 | l.minorVersion, UnrecognizedOptions: unknown,
		}))
	}

	// Before the proxy has received a catalog, it knows no user and would reject all with SQLSTATE 28P01. Clients do not
	// retry after that error, so another one is returned.
	if _, index := s.server.Catalog.Version(); index == 0 {
		return errNoCatalog
	}

	user := l.parameters["user"]
	if user == "" {
		return &failure{
			codeInvalidAuth, "no PostgreSQL user name specified in startup packet",
			"use the name of the organisation as the user name",
		}
	}

	credential := labscram.DecoyCredential(s.server.DecoySecret, user)
	if o, ok := s.server.Catalog.Organisation(user); ok && !o.Deleted && len(o.Credential.StoredKey) > 0 {
		credential = o.Credential
	}

	e, err := labscram.NewExchange(credential)
	if err != nil {
		return &failure{"XX000", err.Error(), ""}
	}

	l.exchange = e
	s.conn.Send(encode(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{labscram.Mechanism}}))

	return nil
}

// authenticate handles one SASL message of the client.
func (s *Session) authenticate(l *startupState, body []byte) *failure {
	if !l.saslStarted {
		mechanism, rest, ok := cutString(body)
		if !ok || mechanism != labscram.Mechanism || len(rest) < 4 {
			return &failure{codeInvalidAuth, "credentials are missing or not SCRAM-SHA-256", "log in with SCRAM-SHA-256"}
		}

		if n := int32(binary.BigEndian.Uint32(rest)); int(n) != len(rest)-4 {
			return &failure{codeProtocolViolation, "malformed SASL message", ""}
		}

		l.saslStarted, body = true, rest[4:]
	}

	out, done, err := l.exchange.Step(string(bytes.Clone(body)))
	if err != nil {
		return &failure{codeInvalidPassword, "password authentication failed for user \"" + l.parameters["user"] + "\"", ""}
	}

	if !done {
		s.conn.Send(encode(&pgproto3.AuthenticationSASLContinue{Data: []byte(out)}))

		return nil
	}

	s.conn.Send(encode(&pgproto3.AuthenticationSASLFinal{Data: []byte(out)}))

	return s.completeStartup(l)
}

// handleCancelPacket handles a cancel request. The protocol has no response to it.
func (s *Session) handleCancelPacket(body []byte) {
	s.closed = true
	defer s.conn.Close()

	if len(body) < 8 || s.server.Keys == nil {
		return
	}

	key := CancelKey{ProcessID: binary.BigEndian.Uint32(body), Secret: bytes.Clone(body[4:])}
	go s.server.handleCancel(key) // may block: locks another session or calls another proxy
}
