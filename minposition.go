package lab

import "context"

// StoredMinPosition is the result of looking up the minimum position of a session that carries no token.
type StoredMinPosition struct {
	MinPosition WALPosition
	PrimaryOnly bool // the minimum position is unknown, so the session must read from the primary
}

// MinPositionStore shares between proxies the minimum positions of sessions that carry no token. After such a session
// has reconnected to another proxy, it still reads its own writes.
type MinPositionStore interface {
	// Store stores the minimum position of a session, retrying until the context ends. A write is acknowledged to the
	// client only after its position is stored.
	Store(ctx context.Context, session, database string, position WALPosition) error
	// Load returns the minimum position of a session within a bounded time.
	Load(ctx context.Context, session, database string) StoredMinPosition
}
