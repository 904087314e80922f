package lab

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a request that returned an error has run.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeUnknown   Outcome = iota // the request may or may not have run
	OutcomeNotRun                   // the request was not run
	OutcomeDuplicate                // a request with the same idempotency key had run before
)

// The SQLSTATEs of the outcomes.
const (
	SQLStateDuplicate = "LL000"
	SQLStateNotRun    = "LL001"
	SQLStateUnknown   = "LL002"
)

// SQLState returns the SQLSTATE of the outcome.
func (o Outcome) SQLState() string {
	switch o {
	case OutcomeNotRun:
		return SQLStateNotRun
	case OutcomeDuplicate:
		return SQLStateDuplicate
	case OutcomeUnknown:
		return SQLStateUnknown
	}

	return SQLStateUnknown
}

// OutcomeError is an error that also states whether the request has run.
type OutcomeError struct {
	Outcome Outcome
	Reason  string // one of the Reason constants
	Err     error
}

// The reasons of an OutcomeError.
const (
	ReasonOverload       = "overload"    // the queue is full or the deadline can't be met
	ReasonDeadline       = "deadline"    // the deadline passed
	ReasonNoLease        = "no_lease"    // the proxy has no grant of the gateway role
	ReasonNoPrimary      = "no_primary"  // no primary is known or reachable
	ReasonSuperseded     = "superseded"  // the primary term in which the request was sent has ended
	ReasonConnectionLost = "lost"        // the connection to the member or peer was lost
	ReasonDraining       = "draining"    // the proxy or the upstream is draining
	ReasonRejected       = "rejected"    // the request is invalid or not allowed
	ReasonDuplicate      = "repeated"    // the idempotency key was used before
	ReasonMisrouted      = "misrouted"   // the instance does not have the gateway role
	ReasonReadOnly       = "read_only"   // the member is a replica and refused a write
	ReasonCancelled      = "cancelled"   // the client cancelled the request
	ReasonTooLarge       = "too_large"   // a message or result exceeds its size limit
	ReasonStale          = "stale"       // no member reached the minimum position by the deadline
	ReasonOutOfStep      = "out_of_step" // the member's answers do not belong to the operations
	ReasonNoRegistry     = "no_registry" // too few registry replicas responded
	ReasonEjected        = "ejected"     // the gateway has found the member slow or failing; another member can run the request
)

// Error returns the outcome, the reason and the cause as text.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Outcome, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error {
	return e.Err
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not run"
	case OutcomeDuplicate:
		return "done"
	case OutcomeUnknown:
		return "outcome unknown"
	}

	return "outcome unknown"
}

// NotRunError returns an error for a request that was not run.
func NotRunError(reason string, err error) error {
	return &OutcomeError{Outcome: OutcomeNotRun, Reason: reason, Err: err}
}

// UnknownOutcomeError returns an error for a request that may have run.
func UnknownOutcomeError(reason string, err error) error {
	return &OutcomeError{Outcome: OutcomeUnknown, Reason: reason, Err: err}
}

// OutcomeOf returns the outcome and the reason that an error carries. For an error without an outcome it returns
// OutcomeUnknown and ReasonConnectionLost.
func OutcomeOf(err error) (Outcome, string) {
	var o *OutcomeError
	if errors.As(err, &o) {
		return o.Outcome, o.Reason
	}

	return OutcomeUnknown, ReasonConnectionLost
}

// ErrPeerStopped is returned when a peer process has stopped gracefully, that is, after it completed all requests that
// it had started. A request that it left without a response was therefore not run.
var ErrPeerStopped = errors.New("the peer has stopped")

// Errors of the control plane.
var (
	// ErrNotLeader is returned by an instance that is not the leader of the consensus group.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown is returned when it is not known whether a proposal will be committed.
	ErrOutcomeUnknown = errors.New("outcome of the proposal unknown")
)
