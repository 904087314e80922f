package labsession

import (
	"runtime"
	"sync"
	"weak"
)

// sharedStatements lets sessions that prepare the same statement hold it once. It keeps no statement alive.
type sharedStatements struct {
	shards [shards]statementShard
}

type statementShard struct {
	lock       sync.Mutex
	statements map[string]weak.Pointer[statement] // by upstream name
}

// get returns the statement of the given name that another session holds, nil when there is none.
func (h *sharedStatements) get(name string) *statement {
	s := h.shard(name)

	s.lock.Lock()
	defer s.lock.Unlock()

	return s.statements[name].Value()
}

// put offers a statement to other sessions and returns the one to use.
func (h *sharedStatements) put(t *statement) *statement {
	s := h.shard(t.name)

	s.lock.Lock()
	defer s.lock.Unlock()

	if have := s.statements[t.name].Value(); have != nil {
		return have
	}

	if s.statements == nil {
		s.statements = make(map[string]weak.Pointer[statement])
	}

	s.statements[t.name] = weak.Make(t)
	runtime.AddCleanup(t, s.forget, t.name)

	return t
}

// forget removes the entry of a statement that no session holds.
func (s *statementShard) forget(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.statements[name].Value() == nil {
		delete(s.statements, name)
	}
}

func (h *sharedStatements) shard(name string) *statementShard {
	// The last digits of the name are a hash.
	return &h.shards[(uint(name[len(name)-1])*16+uint(name[len(name)-2]))%shards]
}
