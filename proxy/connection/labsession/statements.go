package labsession

// StatementLimit is how many bytes of query text the prepared statements of one session may have.
const StatementLimit = 4 << 20

// statements are the prepared statements of a session by the caller's name.
type statements struct {
	named map[string]*statement
	bytes int // of query text
}

func (s *statements) get(name string) (*statement, bool) {
	t, ok := s.named[name]

	return t, ok
}

// put stores a statement and reports whether there was room.
func (s *statements) put(name string, t *statement) bool {
	s.remove(name)

	if s.bytes+len(t.query) > StatementLimit {
		return false
	}

	if s.named == nil {
		s.named = make(map[string]*statement, 1)
	}

	s.named[name] = t
	s.bytes += len(t.query)

	return true
}

func (s *statements) remove(name string) {
	if t, ok := s.named[name]; ok {
		s.bytes -= len(t.query)
		delete(s.named, name)
	}
}

func (s *statements) clear() {
	*s = statements{}
}
