package lab

import (
	"context"
	"time"
)

// IdempotencyState is how far a named request has come.
type IdempotencyState uint8

// The states of a named request.
const (
	IdempotencyNew     IdempotencyState = iota // recorded now; the request may be dispatched
	IdempotencyPending                         // recorded before, outcome not known
	IdempotencyDone                            // ran before; Tag holds the command tag of its first outcome
	IdempotencyNotRun                          // proved not to have run; the name is free again
)

// IdempotencyRecord is what the at-most-once registry knows of a name.
type IdempotencyRecord struct {
	State      IdempotencyState `msgpack:"s"`
	CommandTag string           `msgpack:"t"` // CommandComplete tag
}

// IdempotencyRegistry makes named requests run at most once.
type IdempotencyRegistry interface {
	// Reserve records the name on a quorum of holders before dispatch and returns what was known of it. It fails with
	// an Outcome of not run when too few holders answer.
	Reserve(ctx context.Context, organisation, database, name string, retention time.Duration) (IdempotencyRecord, error)
	// Resolve stores the outcome of a name reserved before.
	Resolve(ctx context.Context, organisation, database, name string, record IdempotencyRecord) error
}

// Admission grants slots of members to requests in order of class, fairness and deadline.
type Admission interface {
	// Acquire waits for a slot of a member; release must be called once. It fails with an Outcome of not run.
	Acquire(ctx context.Context, member string, request AdmissionRequest) (release func(), err error)
	// Resize sets the slots of a member; 0 slots stop new grants.
	Resize(member string, slots int)
}

// AdmissionRequest describes one request for a slot.
type AdmissionRequest struct {
	Organisation string
	Class        AdmissionClass
	Weight       int64         // share between organisations, at least 1
	QueueLimit   int64         // waiting requests of this organisation per member
	Deadline     time.Duration // Clock.Now by which the request must have started
}
