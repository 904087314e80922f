package labsession

import (
	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// query runs a simple query.
func (s *Session) query(f labframe.Frame) {
	if s.open != nil || s.implicit {
		s.open, s.skipping = nil, false
		s.implicit = false
		s.refuse(errQueryBeforeSync)

		return
	}

	s.statements.remove("") // as in PostgreSQL, a simple query ends the unnamed statement

	query, rest, ok := cutString(f.Body())
	if !ok || len(rest) != 0 {
		s.refuse(errMalformed)

		return
	}

	text, err := labstatement.Parse(query)
	if err != nil {
		s.refuse(&failure{codeInvalidParameter, err.Error(), ""})

		return
	}

	if failed := refused(text); failed != nil {
		s.refuse(failed)

		return
	}

	u := &unit{simple: true, text: query, tags: text.Tags(), executes: text.Statements(), executed: len(text.Statements())}
	for _, e := range u.executes {
		u.steps = append(u.steps, step{kind: stepExecute, statement: e})
	}

	if len(u.executes) == 0 {
		s.server.Counters.LocalUnits.Add(1)
		s.ready(messageEmptyQuery)

		return
	}

	s.dispatch(u)
}

// dispatch answers a unit locally or runs it at a gateway.
func (s *Session) dispatch(u *unit) {
	if len(u.executes) == 1 && u.executed == 1 && s.local(u, u.executes[0]) {
		return
	}

	if s.block.failed && len(u.executes) > 0 && u.executes[0].Kind() == labstatement.Rollback {
		s.block.end() // nothing is open upstream, where the ROLLBACK is without effect
	}

	if f := s.objection(u); f != nil {
		s.forget(u, nil)
		s.refuse(f)

		return
	}

	if len(u.messages) == 0 && len(u.refers) == 0 && !u.simple {
		s.server.Counters.LocalUnits.Add(1)
		s.ready(u.localAnswer(""))

		return
	}

	s.run(u)
}

// objection returns why a unit can't be run in the session's present state.
func (s *Session) objection(u *unit) *failure {
	status := s.block.status()

	switch {
	case status != statusFailed && u.setsOwn():
		return errMixed
	case status == statusIdle && u.setsConfig():
		return errSetConfig
	case s.block.failed:
		return errFailedBlock
	case s.block.bound != nil && s.late(u):
		return errLateName
	}

	return nil
}

// setsOwn reports whether the unit sets one of the system's own parameters.
func (u *unit) setsOwn() bool {
	for _, e := range u.executes {
		if e.Kind() == labstatement.Set && e.Setting().Own() {
			return true
		}
	}

	return false
}

// setsConfig reports whether the unit calls set_config, whose effect would end with the unit.
func (u *unit) setsConfig() bool {
	for _, e := range u.executes {
		if e.SessionCall() == callSetConfig {
			return true
		}
	}

	return false
}

// late reports whether the unit names a request after its transaction was opened.
func (s *Session) late(u *unit) bool {
	return u.tags.Once != "" && u.tags.Once != s.block.local.once
}
