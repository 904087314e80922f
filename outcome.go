package lab

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known about a request that did not end normally.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeUnknown   Outcome = iota // it may or may not have run
	OutcomeNotRun                   // it was not run
	OutcomeDuplicate                // it had run before under the same name
)

// SQLSTATEs of the outcomes.
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

// OutcomeError is an error with what is known about the request's execution.
type OutcomeError struct {
	Outcome Outcome
	Reason  string // one of the Reason constants
	Err     error
}

// The reasons of an OutcomeError.
const (
	ReasonOverload       = "overload"    // the queue is full or the deadline can't be met
	ReasonDeadline       = "deadline"    // the deadline passed
	ReasonNoLease        = "no_lease"    // the proxy has no lease for the duty
	ReasonNoPrimary      = "no_primary"  // no primary is known or reachable
	ReasonSuperseded     = "superseded"  // the primary's term ended
	ReasonConnectionLost = "lost"        // the connection or peer was lost
	ReasonDraining       = "draining"    // the proxy or upstream is leaving
	ReasonRejected       = "rejected"    // the request itself is not acceptable
	ReasonDuplicate      = "repeated"    // the request name was used before
	ReasonMisrouted      = "misrouted"   // the instance is not the gateway of the duty
	ReasonReadOnly       = "read_only"   // the member refused because it is a replica
	ReasonCancelled      = "cancelled"   // the caller cancelled the request
	ReasonTooLarge       = "too_large"   // a message or answer is over the limit
	ReasonStale          = "stale"       // no member satisfies the floor within the deadline
	ReasonNoRegistry     = "no_registry" // too few registry holders answered
)

// Error describes the outcome and its cause.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Outcome, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error {
	return e.Err
}

// String names the outcome.
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

// OutcomeOf returns the outcome and reason that an error carries; an error without one is of unknown outcome.
func OutcomeOf(err error) (Outcome, string) {
	var o *OutcomeError
	if errors.As(err, &o) {
		return o.Outcome, o.Reason
	}

	return OutcomeUnknown, ReasonConnectionLost
}

// ErrPeerStopped is returned when a process of the system ended everything it had begun and stopped: a request that it
// left without an answer was not run.
var ErrPeerStopped = errors.New("the peer has stopped")

// Errors of the control plane.
var (
	// ErrNotLeader is returned by an instance that does not lead the consensus group.
	ErrNotLeader = errors.New("not the leader")
	// ErrOutcomeUnknown is returned when a proposal may or may not be committed later.
	ErrOutcomeUnknown = errors.New("outcome of the proposal unknown")
)
