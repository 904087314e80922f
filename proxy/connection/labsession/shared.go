package labsession

import (
	"runtime"
	"sync"
	"weak"
)

// sharedStatements holds weak references to the prepared statements of all sessions, so that sessions which prepare the
// same statement share one copy in memory.
type sharedStatements struct {
	shards [shardCount]statementShard
}

type statementShard struct {
	lock       sync.Mutex
	statements map[string]weak.Pointer[preparedStatement] // by the name on upstream connections
}

// get returns the statement with the given upstream name, or nil when no session holds it.
func (h *sharedStatements) get(name string) *preparedStatement {
	s := h.shard(name)

	s.lock.Lock()
	defer s.lock.Unlock()

	return s.statements[name].Value()
}

// put adds a statement unless one with the same name exists, and returns the statement that sessions must use.
func (h *sharedStatements) put(t *preparedStatement) *preparedStatement {
	s := h.shard(t.name)

	s.lock.Lock()
	defer s.lock.Unlock()

	if existing := s.statements[t.name].Value(); existing != nil {
		return existing
	}

	if s.statements == nil {
		s.statements = make(map[string]weak.Pointer[preparedStatement])
	}

	s.statements[t.name] = weak.Make(t)
	runtime.AddCleanup(t, s.removeUnused, t.name)

	return t
}

// removeUnused removes the entry of a statement that no session holds any more.
func (s *statementShard) removeUnused(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.statements[name].Value() == nil {
		delete(s.statements, name)
	}
}

func (h *sharedStatements) shard(name string) *statementShard {
	// The last two characters are digits of a hash, which spreads the names over the shards.
	return &h.shards[(uint(name[len(name)-1])*16+uint(name[len(name)-2]))%shardCount]
}
