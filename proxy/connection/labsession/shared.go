package labsession

import (
	"runtime"
	"sync"
	"weak"
)

// sharedStatements lets sessions that prepare the same statement hold it once. It keeps no statement alive.
type sharedStatements struct {
	shards [shardCount]statementShard
}

type statementShard struct {
	lock       sync.Mutex
	statements map[string]weak.Pointer[preparedStatement] // by upstream name
}

// get returns the statement of the given name that another session holds, nil when there is none.
func (h *sharedStatements) get(name string) *preparedStatement {
	s := h.shard(name)

	s.lock.Lock()
	defer s.lock.Unlock()

	return s.statements[name].Value()
}

// put offers a statement to other sessions and returns the one to use.
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

// removeUnused removes the entry of a statement that no session holds.
func (s *statementShard) removeUnused(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.statements[name].Value() == nil {
		delete(s.statements, name)
	}
}

func (h *sharedStatements) shard(name string) *statementShard {
	// The last digits of the name are a hash.
	return &h.shards[(uint(name[len(name)-1])*16+uint(name[len(name)-2]))%shardCount]
}
