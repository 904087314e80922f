package labsession

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// minSessionNameLength is the fewest characters of a session name, which is the only secret that protects its floors.
	minSessionNameLength = 16

	// defaultStoreTimeout is time for two calls to a silent peer, of 500 ms each.
	defaultStoreTimeout = time.Second
	// unstoredWriteTimeout bounds the wait of writes while the floor of an earlier one could not be kept: enough to reach the
	// other peer across regions.
	unstoredWriteTimeout = 200 * time.Millisecond
	// backgroundStoreTimeout bounds attempts in the background; control replaces a silent peer after 5 s.
	backgroundStoreTimeout = 10 * time.Second
)

// namedSession recalls and keeps the floors of a session that is known by name and carries no token.
type namedSession struct {
	minPositions lab.FloorStore
	sessionKey   string
	database     string
	storeTimeout time.Duration

	// Owned by the worker after start.
	loaded          chan lab.RecalledFloor // nil once it was received
	positionUnknown bool                   // no floor was recalled, and the primary has not answered yet

	lock          sync.Mutex
	stored        lab.Position // latest floor that was kept
	unstoredWrite lab.Position // floor of a write that was answered without being kept, else zero
	queued        lab.Position // floor to keep in the background, else zero
	storing       bool         // a goroutine keeps floors in the background
}

// initNamedSession prepares a session that gives its name and no token.
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

// startLoad recalls the floor without blocking the login, which runs on an event loop.
func (ns *namedSession) startLoad() {
	if ns == nil {
		return
	}

	loaded := make(chan lab.RecalledFloor, 1)
	ns.loaded = loaded

	go func() { loaded <- ns.minPositions.Recall(context.Background(), ns.sessionKey, ns.database) }()
}

// awaitMinPosition waits for the floor before the session's first message is handled.
func (s *Session) awaitMinPosition() {
	ns := s.namedSession
	if ns == nil || ns.loaded == nil {
		return
	}

	f := <-ns.loaded
	ns.loaded, ns.positionUnknown = nil, f.Primary

	if !f.Primary {
		ns.stored = f.Floor
		s.token, s.tokenChanged = s.raiseMinPosition(f.Floor)
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

// storeMinPosition keeps the session's floor after a unit: that of a write before the answer ends, that of a read in the
// background.
func (s *Session) storeMinPosition(b *messageBatch, result lab.Result) {
	ns := s.namedSession
	if ns == nil || result.Position.IsZero() {
		return
	}

	// The primary's position is past every write acknowledged before.
	ns.positionUnknown = ns.positionUnknown && result.Replica

	position := s.token.MinPosition(s.database)
	if timeout, pending := ns.storeDue(position); !pending {
		return
	} else if !result.Replica && !b.idempotent() {
		s.storeAfterWrite(position, timeout)

		return
	}

	ns.storeInBackground(position)
}

// storeDue reports whether a floor is not kept yet, and how long a write waits for it.
func (ns *namedSession) storeDue(position lab.Position) (timeout time.Duration, pending bool) {
	ns.lock.Lock()
	defer ns.lock.Unlock()

	if !ns.unstoredWrite.IsZero() {
		return min(ns.storeTimeout, unstoredWriteTimeout), true
	}

	return ns.storeTimeout, position != ns.stored
}

func (s *Session) storeAfterWrite(position lab.Position, timeout time.Duration) {
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

// store stores a floor at the peers.
func (ns *namedSession) store(position lab.Position, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	if err := ns.minPositions.Keep(ctx, ns.sessionKey, ns.database, position); err != nil {
		return err
	}

	ns.lock.Lock()
	defer ns.lock.Unlock()

	if position.Later(ns.stored) {
		ns.stored = position
	}

	if !ns.unstoredWrite.Later(position) {
		ns.unstoredWrite = lab.Position{}
	}

	return nil
}

// storeInBackground keeps a floor in the background, the latest one when there are several.
func (ns *namedSession) storeInBackground(position lab.Position) {
	ns.lock.Lock()
	defer ns.lock.Unlock()

	ns.queued = position
	if !ns.storing {
		ns.storing = true

		go ns.storeQueued()
	}
}

func (ns *namedSession) storeQueued() {
	for {
		ns.lock.Lock()
		position := ns.queued
		ns.queued = lab.Position{}
		ns.storing = !position.IsZero()
		ns.lock.Unlock()

		if position.IsZero() {
			return
		}

		_ = ns.store(position, backgroundStoreTimeout) // the session's next unit tries again
	}
}
