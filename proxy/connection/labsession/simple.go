package labsession

import (
	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// query handles a Query message.
func (s *Session) query(f labframe.Frame) {
	if s.openBatch != nil || s.implicitBlock {
		s.openBatch, s.skipToSync = nil, false
		s.implicitBlock = false
		s.respondError(errQueryBeforeSync)

		return
	}

	s.statements.remove("") // as in PostgreSQL, a Query message removes the unnamed statement

	query, rest, ok := cutString(f.Body())
	if !ok || len(rest) != 0 {
		s.respondError(errMalformed)

		return
	}

	text, err := labstatement.Parse(query)
	if err != nil {
		s.respondError(&failure{codeInvalidParameter, err.Error(), ""})

		return
	}

	if failed := checkSupported(text); failed != nil {
		s.respondError(failed)

		return
	}

	b := &messageBatch{
		simple: true, text: query, tags: text.Tags(), statements: text.Statements(), executeCount: len(text.Statements()),
	}
	for _, e := range b.statements {
		b.steps = append(b.steps, responseStep{kind: stepExecute, statement: e})
	}

	if len(b.statements) == 0 {
		s.server.Counters.LocalBatches.Add(1)
		s.endResponse(messageEmptyQuery)

		return
	}

	s.dispatch(b)
}

// dispatch handles a batch locally or runs it at a gateway.
func (s *Session) dispatch(b *messageBatch) {
	if len(b.statements) == 1 && b.executeCount == 1 && s.handleLocally(b, b.statements[0]) {
		return
	}

	if s.block.abortedLocally && len(b.statements) > 0 && b.statements[0].Kind() == labstatement.Rollback {
		s.block.end() // the upstream has no open transaction, so the ROLLBACK sent to it has no effect
	}

	if f := s.checkBatch(b); f != nil {
		s.removeFailedStatements(b, nil)
		s.respondError(f)

		return
	}

	if len(b.messages) == 0 && len(b.referenced) == 0 && !b.simple {
		s.server.Counters.LocalBatches.Add(1)
		s.endResponse(b.localResponse(""))

		return
	}

	s.runBatch(b)
}

// checkBatch returns an error if the batch can't be run in the session's current state.
func (s *Session) checkBatch(b *messageBatch) *failure {
	status := s.block.status()

	switch {
	case status != statusFailed && b.setsProxyParameter():
		return errMixedParameters
	case status == statusIdle && b.callsSetConfig():
		return errSetConfig
	case s.block.abortedLocally:
		return errFailedBlock
	case s.block.transaction != nil && s.lateIdempotencyKey(b):
		return errLateIdempotencyKey
	}

	return nil
}

// setsProxyParameter reports whether the batch sets a parameter that the proxy handles itself.
func (b *messageBatch) setsProxyParameter() bool {
	for _, e := range b.statements {
		if e.Kind() == labstatement.Set && e.Setting().IsProxyParameter() {
			return true
		}
	}

	return false
}

// callsSetConfig reports whether the batch calls set_config. Outside of a transaction block, its effect would be lost
// at the end of the batch, when the connection is reset.
func (b *messageBatch) callsSetConfig() bool {
	for _, e := range b.statements {
		if e.SessionCall() == setConfigFunction {
			return true
		}
	}

	return false
}

// lateIdempotencyKey reports whether the batch gives an idempotency key that differs from the one of the open
// transaction.
func (s *Session) lateIdempotencyKey(b *messageBatch) bool {
	return b.tags.IdempotencyKey != "" && b.tags.IdempotencyKey != s.block.localOptions.idempotencyKey
}
