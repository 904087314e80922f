package labsession

// MaxStatementBytes limits the total query text of the prepared statements of one session.
const MaxStatementBytes = 4 << 20

// preparedStatements holds the prepared statements of a session.
type preparedStatements struct {
	named map[string]*preparedStatement // statements by the name that the client gave them
	bytes int                           // total size of the query texts
}

func (s *preparedStatements) get(name string) (*preparedStatement, bool) {
	t, ok := s.named[name]

	return t, ok
}

// put stores a statement, replacing one with the same name. It returns false when the size limit would be exceeded.
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
