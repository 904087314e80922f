package lab

import (
	"context"
	"time"
)

// PooledConnection is a connection to a member in use by one session; it ends with Release, Discard or Linger.
type PooledConnection interface {
	// Member returns the member at the other end.
	Member() Announcement
	// Direct reports whether this process has the connection itself, so that a silence on it is the member's.
	Direct() bool
	// IdleTime returns how long the connection has not been used.
	IdleTime() time.Duration
	// Run gives the connection the session values, then sends the operations in one write and returns a result for each.
	// After an error only Discard or Linger may follow; an error of not run means that none of the operations ran.
	Run(deadline time.Time, values map[string]string, operations ...Operation) ([]OperationResult, error)
	// Release gives the connection back for other sessions; no transaction may be open on it.
	Release()
	// Discard closes the connection; the member rolls back what is open on it.
	Discard()
	// ReleaseAfterDrain gives the connection back once late answers have arrived and what is open has been rolled back.
	ReleaseAfterDrain()
}

// ConnectionPool provides connections to one member.
type ConnectionPool interface {
	// Member returns the member.
	Member() Announcement
	// Acquire returns a connection, waiting in order of priority and arrival until the context ends; 0 is the highest
	// priority.
	Acquire(ctx context.Context, priority int) (PooledConnection, error)
	// Load returns how many requests use or await a connection, whether one could have a connection at once, and whether
	// the member can be reached at all.
	Load() (inProgress int, free, up bool)
	// TypicalLatency returns how long operations of late took from being sent to their answer.
	TypicalLatency() time.Duration
}
