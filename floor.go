package lab

import "context"

// RecalledFloor is what is known of the floor of a session that carries no token.
type RecalledFloor struct {
	Floor   Position
	Primary bool // the floor is not known, so the session must read from the primary
}

// FloorStore keeps the floors of sessions that carry no token, so that they are found at other proxies.
type FloorStore interface {
	// Keep stores a floor; a write up to the floor is acknowledged after it. It tries again until the context ends.
	Keep(ctx context.Context, session, database string, floor Position) error
	// Recall returns a session's floor; it takes a bounded time.
	Recall(ctx context.Context, session, database string) RecalledFloor
}
