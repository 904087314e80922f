package labsession

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// minSessionNameLength is the minimum number of characters of a session name. The name must be hard to guess, since
	// nothing else protects the stored minimum positions.
	minSessionNameLength = 16

	// defaultStoreTimeout is enough for two calls to an unresponsive proxy that stores minimum positions. Each call times
	// out after 500 ms.
	defaultStoreTimeout = time.Second
	// unstoredWriteTimeout bounds the delay of the response to a write as long as the minimum position of an earlier
	// write is not stored. It is long enough to reach the second of the two proxies when it is in another region.
	unstoredWriteTimeout = 200 * time.Millisecond
	// backgroundStoreTimeout bounds one attempt to store a minimum position in the background. It exceeds the 5 s after
	// which the control group replaces an unresponsive proxy that stores minimum positions.
	backgroundStoreTimeout = 10 * time.Second
)

// namedSession loads and stores the minimum position of a session that the client identifies by a name instead of a
// token. The position is stored at two proxies.
type namedSession struct {
	minPositions lab.MinPositionStore
	sessionKey   string // names of the organisation and of the session
	database     string
	storeTimeout time.Duration // longest time by which the response to a write is delayed for storing

	// Owned by the session's worker after startLoad.
	loaded          chan lab.StoredMinPosition // receives the stored minimum position; nil after it was received
	positionUnknown bool                       // loading the position failed, and no batch has run on the primary since

	lock          sync.Mutex
	stored        lab.WALPosition // latest minimum position known to be stored
	unstoredWrite lab.WALPosition // position of an acknowledged write that could not be stored yet; zero when none
	queued        lab.WALPosition // minimum position to store in the background; zero when none
	storing       bool            // the goroutine that runs storeQueued exists
}

// initNamedSession creates the state of a named session when the client gave a session name and no token.
func (s *Session) initNamedSession(parameters map[string]string) *failure {
	name := parameters[parameterSession]
	if s.server.MinPositions == nil || name == "" || parameters[parameterToken] != "" {
		return nil
	}

	if len(name) < minSessionNameLength {
		return &failure{
			codeInvalidParameter, "the session name is too short",
			"use at least 16 characters that cannot be guessed, or present the session's token",
		}
	}

	s.namedSession = &namedSession{
		minPositions: s.server.MinPositions, database: s.database, storeTimeout: s.server.minPositionTimeout(),
		sessionKey: s.organisation + "/" + name, // a valid name contains no slash
	}

	return nil
}

func (v *Server) minPositionTimeout() time.Duration {
	if v.MinPositionTimeout > 0 {
		return v.MinPositionTimeout
	}

	return defaultStoreTimeout
}

// startLoad starts loading the minimum position in a goroutine, since startup runs on an event loop and must not block.
func (ns *namedSession) startLoad() {
	if ns == nil {
		return
	}

	loaded := make(chan lab.StoredMinPosition, 1)
	ns.loaded = loaded

	go func() { loaded <- ns.minPositions.Load(context.Background(), ns.sessionKey, ns.database) }()
}

// awaitMinPosition waits for the stored minimum position before the session's first message is handled.
func (s *Session) awaitMinPosition() {
	ns := s.namedSession
	if ns == nil || ns.loaded == nil {
		return
	}

	loaded := <-ns.loaded
	ns.loaded, ns.positionUnknown = nil, loaded.PrimaryOnly

	if !loaded.PrimaryOnly {
		ns.stored = loaded.MinPosition
		s.token, s.tokenChanged = s.raiseMinPosition(loaded.MinPosition)
	}
}

// primaryOnly reports whether reads must go to the primary.
func (ns *namedSession) primaryOnly() bool {
	if ns == nil {
		return false
	}

	ns.lock.Lock()
	defer ns.lock.Unlock()

	return ns.positionUnknown || !ns.unstoredWrite.IsZero()
}

// storeMinPosition stores the minimum position after a batch. After a write, it stores the position before the response
// is completed; after a read, in the background.
func (s *Session) storeMinPosition(b *messageBatch, result lab.BatchResult) {
	ns := s.namedSession
	if ns == nil || result.Position.IsZero() {
		return
	}

	// A position reported by the primary covers every write acknowledged before.
	ns.positionUnknown = ns.positionUnknown && result.FromReplica

	position := s.token.MinPosition(s.database)
	if timeout, pending := ns.storeDue(position); !pending {
		return
	} else if !result.FromReplica && !b.idempotent() {
		s.storeAfterWrite(position, timeout)

		return
	}

	ns.storeInBackground(position)
}

// storeDue reports whether a minimum position still has to be stored, and for how long the response to a write may be
// delayed for this.
func (ns *namedSession) storeDue(position lab.WALPosition) (timeout time.Duration, pending bool) {
	ns.lock.Lock()
	defer ns.lock.Unlock()

	if !ns.unstoredWrite.IsZero() {
		return min(ns.storeTimeout, unstoredWriteTimeout), true
	}

	return ns.storeTimeout, position != ns.stored
}

// storeAfterWrite stores the minimum position of a write. If this fails, the write is acknowledged anyway and the
// position is stored in the background.
func (s *Session) storeAfterWrite(position lab.WALPosition, timeout time.Duration) {
	ns := s.namedSession

	err := ns.store(position, timeout)
	if err == nil {
		return
	}

	s.server.Counters.MinPositionsNotStored.Add(1)

	ns.lock.Lock()
	firstFailure := ns.unstoredWrite.IsZero()
	ns.unstoredWrite = position
	ns.lock.Unlock()
	ns.storeInBackground(position)

	if firstFailure {
		s.server.Log.Warn().Err(err).Str("organisation", s.organisation).Str("database", s.database).Msg("floor_not_kept")
	}
}

// store stores a minimum position at the two proxies and records the success.
func (ns *namedSession) store(position lab.WALPosition, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	if err := ns.minPositions.Store(ctx, ns.sessionKey, ns.database, position); err != nil {
		return err
	}

	ns.lock.Lock()
	defer ns.lock.Unlock()

	if position.Later(ns.stored) {
		ns.stored = position
	}

	if !ns.unstoredWrite.Later(position) {
		ns.unstoredWrite = lab.WALPosition{}
	}

	return nil
}

// storeInBackground queues a minimum position for the background goroutine. It replaces a position that is still
// queued.
func (ns *namedSession) storeInBackground(position lab.WALPosition) {
	ns.lock.Lock()
	defer ns.lock.Unlock()

	ns.queued = position
	if !ns.storing {
		ns.storing = true

		go ns.storeQueued()
	}
}

// storeQueued stores queued minimum positions until none is left.
func (ns *namedSession) storeQueued() {
	for {
		ns.lock.Lock()
		position := ns.queued
		ns.queued = lab.WALPosition{}
		ns.storing = !position.IsZero()
		ns.lock.Unlock()

		if position.IsZero() {
			return
		}

		_ = ns.store(position, backgroundStoreTimeout) // retried by the session's next batch
	}
}
