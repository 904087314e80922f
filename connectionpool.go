package lab

import (
	"context"
	"time"
)

// PooledConnection is a connection to a member that one session has acquired from a pool. Its use ends with Release,
// Discard or ReleaseAfterDrain.
type PooledConnection interface {
	// Member returns the member that the connection leads to.
	Member() Announcement
	// Direct reports whether this process is connected to the member itself and not through another proxy. If a response
	// is missing on a direct connection, the member does not respond; otherwise, the other proxy may be the cause.
	Direct() bool
	// IdleTime returns the time since the connection was last used.
	IdleTime() time.Duration
	// Run sets the session values on the connection, then sends the operations in one write and returns a result for
	// each. After an error only Discard or ReleaseAfterDrain may be called. An error with the outcome OutcomeNotRun
	// means that none of the operations ran.
	Run(deadline time.Time, values map[string]string, operations ...Operation) ([]OperationResult, error)
	// Release returns the connection to the pool; no transaction may be open on it.
	Release()
	// Discard closes the connection; the member rolls back an open transaction.
	Discard()
	// ReleaseAfterDrain returns the connection to the pool after the outstanding responses have arrived and an open
	// transaction has been rolled back.
	ReleaseAfterDrain()
}

// AcquireRequest describes the statement or transaction that needs a connection.
type AcquireRequest struct {
	Organisation  string        // organisation that the connection must belong to; empty if the deployment has none
	Priority      int           // 0 is the highest
	Deadline      time.Time     // time by which the statement must have its response; zero if unknown
	TargetLatency time.Duration // time within which the whole operation should end, 0 for no target
	// Optional states that another member can run the statement. A gateway that has ejected the member then refuses it with
	// ReasonEjected.
	Optional bool
}

// ConnectionPool provides connections to one member.
type ConnectionPool interface {
	// Member returns the member.
	Member() Announcement
	// Acquire returns a connection that belongs to the organisation of the request. It waits until one is free or the
	// context ends. Waiting requests are served by priority, then by arrival.
	Acquire(ctx context.Context, request AcquireRequest) (PooledConnection, error)
	// Load returns the load of the pool: inProgress is the number of requests that use or wait for a connection, and free
	// reports whether a request could get a connection without waiting for another request to release one. reachable
	// reports whether the member is reachable.
	Load() (inProgress int, free, reachable bool)
	// TypicalLatency returns the typical time between sending an operation and receiving its response, measured over
	// recent operations.
	TypicalLatency() time.Duration
}
