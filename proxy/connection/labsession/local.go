package labsession

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// handleLocally handles a batch whose only statement needs no gateway. It returns false if the statement needs one.
func (s *Session) handleLocally(b *messageBatch, e labstatement.Statement) bool {
	tag, failed, ok := s.executeLocally(e)
	if !ok {
		return false
	}

	s.server.Counters.LocalBatches.Add(1)

	if failed != nil {
		s.removeFailedStatements(b, nil)
		s.respondError(failed)

		return true
	}

	s.endResponse(b.localResponse(tag))

	return true
}

// executeLocally executes a statement that needs no gateway and returns its command tag; ok is false if it needs one.
func (s *Session) executeLocally(e labstatement.Statement) (tag string, failed *failure, ok bool) {
	status := s.block.status()

	switch e.Kind() {
	case labstatement.Begin, labstatement.BeginReadOnly:
		if status != statusIdle {
			return "", nil, false
		}

		s.block.start(e.Text(), e.Kind() == labstatement.BeginReadOnly)

		return beginTag(e.Text()), nil, true
	case labstatement.Commit, labstatement.Rollback:
		if s.block.transaction != nil {
			return "", nil, false
		}

		return s.endLocalBlock(e)
	case labstatement.Set:
		if !e.Setting().IsProxyParameter() || status == statusFailed {
			return "", nil, false
		}

		return setTag(e.Setting()), s.setProxyParameter(e.Setting()), true
	case labstatement.Discard:
		if status == statusFailed {
			return "", nil, false
		}

		return s.discard(e)
	}

	return "", nil, false
}

func beginTag(text string) string {
	if len(text) >= 5 && strings.EqualFold(text[:5], "start") {
		return "START TRANSACTION"
	}

	return "BEGIN"
}

func setTag(s labstatement.Setting) string {
	if s.Reset {
		return "RESET"
	}

	return "SET"
}

// endLocalBlock ends a block that has no transaction at a gateway.
func (s *Session) endLocalBlock(e labstatement.Statement) (tag string, failed *failure, ok bool) {
	status := s.block.status()
	if status == statusIdle || strings.Contains(strings.ToLower(e.Text()), "chain") {
		return "", nil, false
	}

	s.block.end()

	if status == statusFailed || e.Kind() == labstatement.Rollback {
		return "ROLLBACK", nil, true
	}

	return "COMMIT", nil, true
}

// discard handles DISCARD and DEALLOCATE. They change only the state of the session, since the gateway resets upstream
// connections.
func (s *Session) discard(e labstatement.Statement) (tag string, failed *failure, ok bool) {
	words := strings.Fields(strings.ToLower(strings.ReplaceAll(e.Text(), `"`, "")))
	if len(words) < 2 {
		return "", nil, false
	}

	if words[0] == "discard" {
		if words[1] == "all" {
			if s.block.status() != statusIdle {
				return "", &failure{codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block", ""}, true
			}

			s.statements.clear()
			s.settings.active = s.settings.startup
			s.options = options{}
		}

		return "DISCARD " + strings.ToUpper(words[1]), nil, true
	}

	name := words[len(words)-1]
	if name == "all" {
		s.statements.clear()

		return "DEALLOCATE ALL", nil, true
	}

	if _, found := s.statements.get(name); !found {
		return "", &failure{codeNoStatement, "prepared statement \"" + name + "\" does not exist", ""}, true
	}

	s.statements.remove(name)

	return "DEALLOCATE", nil, true
}

// localResponse encodes the response to a batch that was handled without a gateway.
func (b *messageBatch) localResponse(tag string) []byte {
	complete := encode(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	if b.simple {
		return complete
	}

	var out []byte
	for _, t := range b.steps {
		switch {
		case t.kind == stepInsert:
			out = append(out, t.message...)
		case t.kind == stepExecute:
			out = append(out, complete...)
		case t.message != nil:
			out = append(out, t.message...)
		}
	}

	return out
}
