package lab

import "context"

// StoredMinPosition is what is known of the floor of a session that carries no token.
type StoredMinPosition struct {
	MinPosition WALPosition
	PrimaryOnly bool // the floor is not known, so the session must read from the primary
}

// MinPositionStore keeps the floors of sessions that carry no token, so that they are found at other proxies.
type MinPositionStore interface {
	// Store stores a floor; a write up to the floor is acknowledged after it. It tries again until the context ends.
	Store(ctx context.Context, session, database string, floor WALPosition) error
	// Load returns a session's floor; it takes a bounded time.
	Load(ctx context.Context, session, database string) StoredMinPosition
}
