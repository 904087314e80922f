package labsession

// MaxStatementBytes is how many bytes of query text the prepared statements of one session may have.
const MaxStatementBytes = 4 << 20

// preparedStatements are the prepared statements of a session by the caller's name.
type preparedStatements struct {
	named map[string]*preparedStatement
	bytes int // of query text
}

func (s *preparedStatements) get(name string) (*preparedStatement, bool) {
	t, ok := s.named[name]

	return t, ok
}

// put stores a statement and reports whether there was room.
func (s *preparedStatements) put(name string, t *preparedStatement) bool {
	s.remove(name)

	if s.bytes+len(t.query) > MaxStatementBytes {
		return false
	}

	if s.named == nil {
		s.named = make(map[string]*preparedStatement, 1)
	}

	s.named[name] = t
	s.bytes += len(t.query)

	return true
}

func (s *preparedStatements) remove(name string) {
	if t, ok := s.named[name]; ok {
		s.bytes -= len(t.query)
		delete(s.named, name)
	}
}

func (s *preparedStatements) clear() {
	*s = preparedStatements{}
}
