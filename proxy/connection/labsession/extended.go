package labsession

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/request/labframe"
)

var (
	messageParseComplete  = encode(&pgproto3.ParseComplete{})
	messageBindComplete   = encode(&pgproto3.BindComplete{})
	messageCloseComplete  = encode(&pgproto3.CloseComplete{})
	messageNoData         = encode(&pgproto3.NoData{})
	messageNoParameters   = encode(&pgproto3.ParameterDescription{})
	messageEmptyQuery     = encode(&pgproto3.EmptyQueryResponse{})
	errMalformed          = &failure{codeProtocolViolation, "malformed message", ""}
	errMultipleStatements = &failure{"42601", "cannot insert multiple commands into a prepared statement", ""}
)

// collect adds an extended-protocol message to the open batch.
func (s *Session) collect(f labframe.Frame) {
	if s.openBatch == nil {
		s.openBatch = &messageBatch{}
	}

	b := s.openBatch
	if len(b.messages)+len(f.Raw) > s.server.messageLimit() {
		s.failOpenBatch(errBatchTooLarge)

		return
	}

	var failed *failure

	switch f.Type {
	case typeParse:
		failed = s.parse(b, f)
	case typeBind:
		failed = s.bind(b, f)
	case typeDescribe:
		failed = s.describe(b, f)
	case typeExecute:
		failed = b.execute(f)
	case typeClose:
		failed = s.closeObject(b, f)
	}

	if failed != nil {
		s.failOpenBatch(failed)
	}
}

// failOpenBatch marks the open batch as failed. None of its messages is run, since PostgreSQL would roll back
// everything before the error.
func (s *Session) failOpenBatch(f *failure) {
	s.openBatch.failure = f
	s.skipToSync = true
}

func (s *Session) parse(b *messageBatch, f labframe.Frame) *failure {
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
		return errMultipleStatements
	}

	if !s.statements.put(name, t) {
		return errStatementLimit
	}

	b.recordParsed(name, t)
	b.addParse(name, t)

	return nil
}

func (b *messageBatch) recordParsed(name string, t *preparedStatement) {
	if b.parsed == nil {
		b.parsed = make(map[string]*preparedStatement, 1)
	}

	b.parsed[name] = t
}

// addParse lists the statement in the batch instead of sending the Parse message, so that the gateway prepares it only
// on connections that lack it. After an Execute, it sends a Parse message, since the statement may depend on the
// effects of the Execute.
func (b *messageBatch) addParse(name string, t *preparedStatement) {
	if b.executeCount == 0 {
		delete(b.inlineUpstreamNames, name)
		b.addReferenced(t)
		b.steps = append(b.steps, responseStep{
			kind: stepInsert, message: messageParseComplete, statementName: name, isParse: true,
		})

		return
	}

	upstream := ""
	if name != "" {
		upstream = fmt.Sprintf("%sinline_%d", upstreamPrefix, len(b.inlineUpstreamNames))
		b.messages = labframe.Append(b.messages, typeClose, []byte{'S'}, []byte(upstream), []byte{0})
		b.steps = append(b.steps, responseStep{kind: stepDrop})
	}

	types := []byte{byte(len(t.types) >> 8), byte(len(t.types))}
	for _, o := range t.types {
		types = append(types, byte(o>>24), byte(o>>16), byte(o>>8), byte(o))
	}

	b.messages = labframe.Append(b.messages, typeParse, []byte(upstream), []byte{0}, []byte(t.query), []byte{0}, types)
	b.steps = append(b.steps, responseStep{
		kind: stepForward, message: messageParseComplete, statementName: name, isParse: true,
	})

	if b.inlineUpstreamNames == nil {
		b.inlineUpstreamNames = make(map[string]string, 1)
	}

	b.inlineUpstreamNames[name] = upstream
}

// lookUpStatement returns a prepared statement by the name that the client gave it, together with its upstream name. It
// lists the statement in the batch unless its Parse message is sent in the batch.
func (s *Session) lookUpStatement(b *messageBatch, name string) (string, *preparedStatement, *failure) {
	t, ok := s.statements.get(name)
	if !ok {
		return "", nil, &failure{codeNoStatement, fmt.Sprintf("prepared statement %q does not exist", name), ""}
	}

	if upstream, inline := b.inlineUpstreamNames[name]; inline {
		return upstream, t, nil
	}

	b.addReferenced(t)

	return t.name, t, nil
}

func (s *Session) bind(b *messageBatch, f labframe.Frame) *failure {
	portal, rest, ok := cutString(f.Body())
	if !ok {
		return errMalformed
	}

	name, rest, ok := cutString(rest)
	if !ok {
		return errMalformed
	}

	upstream, t, failed := s.lookUpStatement(b, name)
	if failed != nil {
		return failed
	}

	b.messages = labframe.Append(b.messages, typeBind, []byte(portal), []byte{0}, []byte(upstream), []byte{0}, rest)
	b.steps = append(b.steps, responseStep{kind: stepForward, message: messageBindComplete})

	if b.portals == nil {
		b.portals = make(map[string]*preparedStatement, 1)
	}

	b.portals[portal] = t

	return nil
}

func (s *Session) describe(b *messageBatch, f labframe.Frame) *failure {
	kind, name, ok := parseTarget(f)
	if !ok {
		return errMalformed
	}

	if kind == 'P' {
		b.messages = append(b.messages, f.Raw...)
		b.steps = append(b.steps, responseStep{kind: stepForward, message: messageNoData})

		return nil
	}

	upstream, _, failed := s.lookUpStatement(b, name)
	if failed != nil {
		return failed
	}

	b.messages = labframe.Append(b.messages, typeDescribe, []byte{'S'}, []byte(upstream), []byte{0})
	b.steps = append(b.steps,
		responseStep{kind: stepForward, message: messageNoParameters},
		responseStep{kind: stepForward, message: messageNoData})

	return nil
}

func (b *messageBatch) execute(f labframe.Frame) *failure {
	portal, rest, ok := cutString(f.Body())
	if !ok || len(rest) != 4 {
		return errMalformed
	}

	t := b.portals[portal]
	e := t.singleStatement()

	if t != nil {
		tags := t.text.Tags()
		if tags.IdempotencyKey != "" && b.tags.IdempotencyKey != "" && tags.IdempotencyKey != b.tags.IdempotencyKey {
			return errSeveralIdempotencyKeys
		}

		b.tags.FillFrom(tags)
		b.statements = append(b.statements, t.text.Statements()...)
		b.executeCount += len(t.text.Statements())
	} else {
		b.executeCount++
	}

	b.messages = append(b.messages, f.Raw...)
	b.steps = append(b.steps, responseStep{kind: stepExecute, statement: e})

	return nil
}

// closeObject handles a Close message. A closed statement stays prepared upstream, where other sessions may use it.
func (s *Session) closeObject(b *messageBatch, f labframe.Frame) *failure {
	kind, name, ok := parseTarget(f)
	if !ok {
		return errMalformed
	}

	if kind == 'P' {
		b.messages = append(b.messages, f.Raw...)
		b.steps = append(b.steps, responseStep{kind: stepForward, message: messageCloseComplete})

		return nil
	}

	s.statements.remove(name)
	b.steps = append(b.steps, responseStep{kind: stepInsert, message: messageCloseComplete})

	return nil
}

// parseTarget returns the kind and the name of the object in a Describe or Close message.
func parseTarget(f labframe.Frame) (kind byte, name string, ok bool) {
	body := f.Body()
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}

	name, rest, ok := cutString(body[1:])

	return body[0], name, ok && len(rest) == 0
}

// sync handles a Sync message: it runs the open batch.
func (s *Session) sync(f labframe.Frame) {
	b := s.openBatch
	s.openBatch, s.skipToSync = nil, false

	if len(f.Raw) != labframe.HeaderSize {
		b = &messageBatch{failure: errMalformed}
	}

	if s.implicitBlock {
		s.syncImplicitBlock(b)

		return
	}

	s.runCollected(b)
}

// runCollected responds to a batch that failed during collection or has no messages, and runs any other batch.
func (s *Session) runCollected(b *messageBatch) {
	switch {
	case b == nil || b.failure == nil && len(b.steps) == 0:
		s.endResponse(nil)
	case b.failure != nil:
		s.removeFailedStatements(b, nil)
		s.respondError(b.failure)
	default:
		s.dispatch(b)
	}
}

// removeFailedStatements removes the prepared statements that the batch should have created but whose Parse has not
// succeeded. The argument succeeded lists the client's names of those whose Parse has succeeded.
func (s *Session) removeFailedStatements(b *messageBatch, succeeded []string) {
	for _, n := range succeeded {
		delete(b.parsed, n)
	}

	for n, t := range b.parsed {
		if existing, _ := s.statements.get(n); existing == t {
			s.statements.remove(n)
		}
	}
}
