package lab

import (
	"context"
	"time"
)

// IdempotencyState is the state of an idempotency key in the registry.
type IdempotencyState uint8

// The states of an idempotency key.
const (
	IdempotencyNew     IdempotencyState = iota // recorded by this call; the request may be sent
	IdempotencyPending                         // recorded by an earlier request whose outcome is unknown
	IdempotencyDone                            // the request has run; CommandTag holds the command tag of that run
	IdempotencyNotRun                          // the request has certainly not run; the key can be used again
)

// IdempotencyRecord is the registry's record of an idempotency key.
type IdempotencyRecord struct {
	State      IdempotencyState `msgpack:"s"`
	CommandTag string           `msgpack:"t"` // tag of the CommandComplete message
}

// IdempotencyRegistry ensures that requests with an idempotency key run at most once.
type IdempotencyRegistry interface {
	// Reserve records the key on a quorum of registry replicas before the request is sent, and returns the record that
	// existed before. It fails with the outcome OutcomeNotRun when too few replicas respond.
	Reserve(ctx context.Context, organisation, database, key string, retention time.Duration) (IdempotencyRecord, error)
	// Resolve stores the outcome of the request whose key was reserved.
	Resolve(ctx context.Context, organisation, database, key string, record IdempotencyRecord) error
}

// Admission assigns the slots of members to requests, ordered by class, then by fairness between organisations, then by
// deadline.
type Admission interface {
	// Acquire waits for a slot of a member. The caller must call release once. Errors carry the outcome OutcomeNotRun.
	Acquire(ctx context.Context, member string, request AdmissionRequest) (release func(), err error)
	// Resize sets the number of slots of a member; with 0 slots no request is admitted.
	Resize(member string, slots int)
}

// AdmissionRequest describes one request for a slot.
type AdmissionRequest struct {
	Organisation string
	Class        AdmissionClass
	Weight       int64         // relative share of the slots among organisations, at least 1
	QueueLimit   int64         // maximum number of queued requests of this organisation per member
	Deadline     time.Duration // value of Clock.Now by which the request must have started
}
