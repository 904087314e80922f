package labsession

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/request/labframe"
)

var (
	messageParseComplete = encode(&pgproto3.ParseComplete{})
	messageBindComplete  = encode(&pgproto3.BindComplete{})
	messageCloseComplete = encode(&pgproto3.CloseComplete{})
	messageNoData        = encode(&pgproto3.NoData{})
	messageNoParameters  = encode(&pgproto3.ParameterDescription{})
	messageEmptyQuery    = encode(&pgproto3.EmptyQueryResponse{})
	errMalformed         = &failure{codeProtocolViolation, "malformed message", ""}
	errMultipleStatement = &failure{"42601", "cannot insert multiple commands into a prepared statement", ""}
)

// collect adds an extended message to the unit that the next Sync runs.
func (s *Session) collect(f labframe.Frame) {
	if s.open == nil {
		s.open = &unit{}
	}

	u := s.open
	if len(u.messages)+len(f.Raw) > s.server.messageLimit() {
		s.fault(errUnitTooLarge)

		return
	}

	var failed *failure

	switch f.Type {
	case typeParse:
		failed = s.parse(u, f)
	case typeBind:
		failed = s.bind(u, f)
	case typeDescribe:
		failed = s.describe(u, f)
	case typeExecute:
		failed = u.execute(f)
	case typeClose:
		failed = s.closeMessage(u, f)
	}

	if failed != nil {
		s.fault(failed)
	}
}

// fault makes the unit fail. Nothing of it is run: what PostgreSQL ran before the error it would roll back.
func (s *Session) fault(f *failure) {
	s.open.fault = f
	s.skipping = true
}

func (s *Session) parse(u *unit, f labframe.Frame) *failure {
	name, rest, ok := cutString(f.Body())
	if !ok {
		return errMalformed
	}

	query, rest, ok := cutString(rest)
	if !ok {
		return errMalformed
	}

	types, ok := parseTypes(rest)
	if !ok {
		return errMalformed
	}

	if _, taken := s.statements.get(name); taken && name != "" {
		return &failure{codeDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", name), ""}
	}

	t, failed := s.server.prepare(query, types)
	if failed != nil {
		return failed
	}

	if len(t.text.Statements()) > 1 {
		return errMultipleStatement
	}

	if !s.statements.put(name, t) {
		return errStatementLimit
	}

	u.remember(name, t)
	u.parse(name, t)

	return nil
}

func (u *unit) remember(name string, t *statement) {
	if u.parsed == nil {
		u.parsed = make(map[string]*statement, 1)
	}

	u.parsed[name] = t
}

// parse leaves the Parse out and lists the statement instead, so that the gateway prepares it only on connections that
// lack it. After an Execute the Parse is sent as it is, since it may depend on what the Execute does.
func (u *unit) parse(name string, t *statement) {
	if u.executed == 0 {
		delete(u.inline, name)
		u.refer(t)
		u.steps = append(u.steps, step{kind: stepAdd, message: messageParseComplete, name: name, parses: true})

		return
	}

	upstream := ""
	if name != "" {
		upstream = fmt.Sprintf("%sinline_%d", upstreamPrefix, len(u.inline))
		u.messages = labframe.Append(u.messages, typeClose, []byte{'S'}, []byte(upstream), []byte{0})
		u.steps = append(u.steps, step{kind: stepDrop})
	}

	types := []byte{byte(len(t.types) >> 8), byte(len(t.types))}
	for _, o := range t.types {
		types = append(types, byte(o>>24), byte(o>>16), byte(o>>8), byte(o))
	}

	u.messages = labframe.Append(u.messages, typeParse, []byte(upstream), []byte{0}, []byte(t.query), []byte{0}, types)
	u.steps = append(u.steps, step{kind: stepPass, message: messageParseComplete, name: name, parses: true})

	if u.inline == nil {
		u.inline = make(map[string]string, 1)
	}

	u.inline[name] = upstream
}

// lookup returns the upstream name of a statement of the caller.
func (s *Session) lookup(u *unit, name string) (string, *statement, *failure) {
	t, ok := s.statements.get(name)
	if !ok {
		return "", nil, &failure{codeNoStatement, fmt.Sprintf("prepared statement %q does not exist", name), ""}
	}

	if upstream, inline := u.inline[name]; inline {
		return upstream, t, nil
	}

	u.refer(t)

	return t.name, t, nil
}

func (s *Session) bind(u *unit, f labframe.Frame) *failure {
	portal, rest, ok := cutString(f.Body())
	if !ok {
		return errMalformed
	}

	name, rest, ok := cutString(rest)
	if !ok {
		return errMalformed
	}

	upstream, t, failed := s.lookup(u, name)
	if failed != nil {
		return failed
	}

	u.messages = labframe.Append(u.messages, typeBind, []byte(portal), []byte{0}, []byte(upstream), []byte{0}, rest)
	u.steps = append(u.steps, step{kind: stepPass, message: messageBindComplete})

	if u.portals == nil {
		u.portals = make(map[string]*statement, 1)
	}

	u.portals[portal] = t

	return nil
}

func (s *Session) describe(u *unit, f labframe.Frame) *failure {
	kind, name, ok := target(f)
	if !ok {
		return errMalformed
	}

	if kind == 'P' {
		u.messages = append(u.messages, f.Raw...)
		u.steps = append(u.steps, step{kind: stepPass, message: messageNoData})

		return nil
	}

	upstream, _, failed := s.lookup(u, name)
	if failed != nil {
		return failed
	}

	u.messages = labframe.Append(u.messages, typeDescribe, []byte{'S'}, []byte(upstream), []byte{0})
	u.steps = append(u.steps,
		step{kind: stepPass, message: messageNoParameters}, step{kind: stepPass, message: messageNoData})

	return nil
}

func (u *unit) execute(f labframe.Frame) *failure {
	portal, rest, ok := cutString(f.Body())
	if !ok || len(rest) != 4 {
		return errMalformed
	}

	t := u.portals[portal]
	e := t.single()

	if t != nil {
		tags := t.text.Tags()
		if tags.Once != "" && u.tags.Once != "" && tags.Once != u.tags.Once {
			return errSeveralNames
		}

		u.tags.Add(tags)
		u.executes = append(u.executes, t.text.Statements()...)
		u.executed += len(t.text.Statements())
	} else {
		u.executed++
	}

	u.messages = append(u.messages, f.Raw...)
	u.steps = append(u.steps, step{kind: stepExecute, statement: e})

	return nil
}

// closeMessage forgets a statement. It stays prepared upstream, where other sessions may use it.
func (s *Session) closeMessage(u *unit, f labframe.Frame) *failure {
	kind, name, ok := target(f)
	if !ok {
		return errMalformed
	}

	if kind == 'P' {
		u.messages = append(u.messages, f.Raw...)
		u.steps = append(u.steps, step{kind: stepPass, message: messageCloseComplete})

		return nil
	}

	s.statements.remove(name)
	u.steps = append(u.steps, step{kind: stepAdd, message: messageCloseComplete})

	return nil
}

// target reads the object of a Describe or Close.
func target(f labframe.Frame) (kind byte, name string, ok bool) {
	body := f.Body()
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}

	name, rest, ok := cutString(body[1:])

	return body[0], name, ok && len(rest) == 0
}

// sync runs the collected unit.
func (s *Session) sync(f labframe.Frame) {
	u := s.open
	s.open, s.skipping = nil, false

	if len(f.Raw) != labframe.HeaderSize {
		u = &unit{fault: errMalformed}
	}

	if s.implicit {
		s.syncImplicit(u)

		return
	}

	s.runOpen(u)
}

func (s *Session) runOpen(u *unit) {
	switch {
	case u == nil || u.fault == nil && len(u.steps) == 0:
		s.ready(nil)
	case u.fault != nil:
		s.forget(u, nil)
		s.refuse(u.fault)
	default:
		s.dispatch(u)
	}
}

// forget removes the statements whose Parse failed.
func (s *Session) forget(u *unit, confirmed []string) {
	for _, n := range confirmed {
		delete(u.parsed, n)
	}

	for n, t := range u.parsed {
		if have, _ := s.statements.get(n); have == t {
			s.statements.remove(n)
		}
	}
}
