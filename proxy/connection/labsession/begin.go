package labsession

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Sizes of the secrets of cancel keys. Protocol 3.0 allows only 4 bytes.
const (
	shortSecretBytes = 4
	longSecretBytes  = 16
)

const cancelForwardTimeout = 5 * time.Second

// completeStartup applies the startup parameters of an authenticated session and reports to the client that it is
// ready.
func (s *Session) completeStartup(l *startupState) *failure {
	s.organisation = l.parameters["user"]

	s.database = l.parameters["database"]
	if s.database == "" {
		s.database = s.organisation
	}

	o, ok := s.server.Catalog.Organisation(s.organisation)
	if !ok || !slices.Contains(o.Databases, s.database) {
		return &failure{
			codeNoDatabase, "database \"" + s.database + "\" does not exist",
			"connect to one of the databases of the organisation",
		}
	}

	if failed := s.applyStartupParameters(l.parameters); failed != nil {
		return failed
	}

	if n := o.Parameters.ResultLimitBytes; n > 0 {
		s.conn.SetWriteLimit(int(n))
	}

	secret := s.newSecret(l.minorVersion)

	id, err := s.server.Keys.add(s, secret)
	if err != nil {
		return &failure{codeTooManyConnections, err.Error(), ""}
	}

	s.processID = id
	s.startup = nil
	s.namedSession.startLoad()
	s.server.Counters.Logins.Add(1)
	s.conn.Send(s.startupResponse(l.parameters, secret))

	return nil
}

// newSecret returns the secret of a cancel key, whose size depends on the minor protocol version.
func (s *Session) newSecret(minor uint32) []byte {
	size := shortSecretBytes
	if minor >= 2 {
		size = longSecretBytes
	}

	secret := make([]byte, 0, longSecretBytes)
	for len(secret) < size {
		secret = binary.BigEndian.AppendUint64(secret, s.server.Random.Uint64())
	}

	return secret[:size]
}

// startupResponse encodes the messages that complete the startup: parameter values, token, cancel key and
// ReadyForQuery.
func (s *Session) startupResponse(parameters map[string]string, secret []byte) []byte {
	values := s.server.freshParameters()
	values["session_authorization"] = s.organisation
	values["application_name"] = parameters["application_name"]

	for _, c := range s.settings.startup {
		for n := range values {
			if strings.EqualFold(n, c.setting.Name) {
				values[n] = c.setting.Value
			}
		}
	}

	out := encode(&pgproto3.AuthenticationOk{})
	for _, n := range slices.Sorted(maps.Keys(values)) {
		out = append(out, encode(&pgproto3.ParameterStatus{Name: n, Value: values[n]})...)
	}

	out = append(out, s.tokenStatus()...)
	out = append(out, encode(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: secret})...)

	return append(out, encode(&pgproto3.ReadyForQuery{TxStatus: statusIdle})...)
}

// applyStartupParameters initialises the token, the settings and the options from the parameters of the startup packet.
func (s *Session) applyStartupParameters(parameters map[string]string) *failure {
	parameters, failed := withCommandLineOptions(parameters)
	if failed != nil {
		return failed
	}

	s.token = labtoken.New(parameters[parameterSession])

	if failed := s.initNamedSession(parameters); failed != nil {
		return failed
	}

	if text := parameters[parameterToken]; text != "" {
		t, err := s.server.TokenCodec.Decode(text)
		if err != nil {
			return &failure{codeInvalidParameter, err.Error(), "present the last token that a proxy reported, or none"}
		}

		s.token = t
	}

	if s.token.SessionID() == "" {
		s.token = labtoken.New(s.sessionID())
	}

	if n := s.token.SessionID(); !labstatement.ValidName(n) {
		return &failure{codeInvalidParameter, "invalid session id", "use at most 128 letters, digits and _.:-"}
	}

	for _, n := range slices.Sorted(maps.Keys(parameters)) {
		if failed := s.applyStartupParameter(n, parameters[n]); failed != nil {
			return failed
		}
	}

	s.settings.active = s.settings.startup

	return nil
}

// sessionID returns a random session ID.
func (s *Session) sessionID() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(
		binary.BigEndian.AppendUint64(nil, s.server.Random.Uint64()), s.server.Random.Uint64()))
}

func (s *Session) applyStartupParameter(name, value string) *failure {
	lower := strings.ToLower(name)

	switch lower {
	case "user", "database", "options", "application_name", parameterToken, parameterSession:
		return nil
	case "replication":
		if on, err := strconv.ParseBool(value); err == nil && !on {
			return nil
		}

		return &failure{
			codeNotSupported, "replication connections are not supported through the proxy",
			"connect to the database directly",
		}
	}

	if strings.HasPrefix(lower, "_pq_.") || s.server.matchesFresh(lower, value) {
		return nil
	}

	if strings.HasPrefix(lower, labstatement.ParameterPrefix) {
		return s.setProxyParameter(labstatement.Setting{Name: lower, Value: value})
	}

	c := startupSetting(name, value)
	if failed := checkSetting(c.setting); failed != nil {
		return failed
	}

	s.settings.startup = append(s.settings.startup, c)

	return nil
}

// withCommandLineOptions returns the parameters together with the -c and -- settings in the startup parameter
// "options". A parameter of the startup packet takes precedence over an option with the same name.
func withCommandLineOptions(parameters map[string]string) (map[string]string, *failure) {
	merged := make(map[string]string, len(parameters))

	words := strings.Fields(strings.ReplaceAll(parameters["options"], `\ `, "\x00"))
	for i := 0; i < len(words); i++ {
		w := words[i]

		switch {
		case w == "-c" && i+1 < len(words):
			i++
			w = words[i]
		case strings.HasPrefix(w, "-c"):
			w = w[2:]
		case strings.HasPrefix(w, "--"):
			w = strings.ReplaceAll(w[2:], "-", "_")
		default:
			return nil, &failure{codeInvalidParameter, "unsupported command-line option " + w, "use -c name=value"}
		}

		name, value, ok := strings.Cut(strings.ReplaceAll(w, "\x00", " "), "=")
		if !ok {
			return nil, &failure{codeInvalidParameter, "command-line option " + w + " requires a value", ""}
		}

		merged[name] = value
	}

	maps.Copy(merged, parameters)

	return merged, nil
}

// handleCancel cancels the running batch of the session with the given key. If no session of this proxy has the key, it
// forwards the request. It does so even if the key contains the number of this proxy, since another proxy may have the
// same number.
func (v *Server) handleCancel(key CancelKey) {
	switch {
	case key.Proxy() == v.Keys.Proxy && v.Keys.Cancel(key):
		v.Counters.Cancels.Add(1)
	case v.ForwardCancel != nil:
		ctx, done := context.WithTimeout(context.Background(), cancelForwardTimeout)
		defer done()

		v.ForwardCancel(ctx, key.Proxy(), key)
	default:
		v.Counters.CancelsLost.Add(1)
	}
}
