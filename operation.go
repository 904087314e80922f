package lab

import "fmt"

// OperationKind is the type of a statement, independent of the protocol that carried it.
type OperationKind uint8

// The kinds of statements.
const (
	OperationBegin OperationKind = iota + 1
	OperationCommit
	OperationRollback
	OperationRead
	OperationWrite
	OperationSet
	OperationPrepare
	OperationExecute
	OperationDeallocate
	OperationReset  // clears session values and prepared statements; not available to clients
	OperationStatus // reads the MemberState; not available to clients
	// OperationPauseReplication stops a replica from receiving the log until OperationResumeReplication, a promotion or a
	// restart. It is not available to clients.
	OperationPauseReplication
	OperationResumeReplication // lets a replica receive the log again; not available to clients
	// OperationStepDown makes the primary a replica, which ends its term without a successor. It is not available to
	// clients.
	OperationStepDown
)

// Operation is one statement, sent by a client or by the system itself.
type Operation struct {
	Kind         OperationKind  `msgpack:"k"`
	RequestID    string         `msgpack:"i,omitempty"` // id assigned by the client; empty for statements of the system
	Text         string         `msgpack:"x,omitempty"` // text of a read, write or commit; forwarded unchanged
	ReadOnly     bool           `msgpack:"r,omitempty"` // Begin: the transaction may run on a replica
	Writes       bool           `msgpack:"w,omitempty"` // Prepare, Execute: the prepared statement writes
	Name         string         `msgpack:"n,omitempty"` // name of a session value or of a prepared statement
	Argument     string         `msgpack:"a,omitempty"` // Set: value; Prepare: statement text; Execute: arguments
	PreparedText string         `msgpack:"s,omitempty"` // Execute: text of the prepared statement
	Term         uint64         `msgpack:"t,omitempty"` // PauseReplication, StepDown: term above the latest that the member knows
	MinPosition  CommitPosition `msgpack:"p"`           // position that the member's log must contain; zero for none
}

// CommitPosition identifies a commit in the log of a service whose members number their commits. The zero value means
// that there is none.
type CommitPosition struct {
	Term   uint64 `json:"term"   msgpack:"t"` // term of the primary that made the commit
	Number uint64 `json:"number" msgpack:"n"` // grows with each commit
}

// IsZero reports whether the position is unset.
func (p CommitPosition) IsZero() bool {
	return p == CommitPosition{}
}

// Before reports whether p precedes q, comparing terms first and then numbers.
func (p CommitPosition) Before(q CommitPosition) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}

	return p.Number < q.Number
}

// Covers reports whether a log at p has every commit of a log at q that was kept when the term of p began. A log with a lower
// number in a later term may lack commits: the number at which that term began isn't known.
func (p CommitPosition) Covers(q CommitPosition) bool {
	return p.Term >= q.Term && p.Number >= q.Number
}

// Latest returns the later one of p and q.
func (p CommitPosition) Latest(q CommitPosition) CommitPosition {
	if p.Before(q) {
		return q
	}

	return p
}

// String formats the position as term.number, or as a hyphen when it is unset.
func (p CommitPosition) String() string {
	if p.IsZero() {
		return "-"
	}

	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// Fault is the reason of a failed operation, independent of the protocol that carried it.
type Fault uint8

// The faults. Those from FaultBusy to FaultNotPrepared guarantee that the operation has not run.
const (
	FaultNone Fault = iota
	FaultBusy
	FaultLagging            // the member's log does not contain the minimum position
	FaultReadOnly           // the member is not the primary
	FaultMisrouted          // a different member or service responded at the address
	FaultTooManyConnections // the member has reached its connection limit
	FaultAborted            // the transaction was rolled back
	FaultNotPrepared        // the prepared statement does not exist
	FaultFailed             // the operation ran and failed
	FaultTimeout            // the deadline passed; the operation may still be running
	FaultUnknown            // the operation may have run
	FaultMalformed          // the operation can't be decoded or is not valid in the session's state
	FaultNoDatabase         // no route has the database name
	FaultUnavailable        // the process is stopping
	FaultUnauthorized       // the client's key is not valid
)

// NotRun reports whether the fault guarantees that the operation has not run.
func (f Fault) NotRun() bool {
	return f >= FaultBusy && f <= FaultNotPrepared
}

// String returns the name of the fault for logs.
func (f Fault) String() string {
	names := [...]string{
		"none", "busy", "lagging", "read_only", "misrouted", "too_many", "aborted", "unprepared", "failed", "timeout",
		"unknown", "malformed", "no_database", "unavailable", "unauthorized",
	}
	if int(f) < len(names) {
		return names[f]
	}

	return "unnamed"
}

// TransactionStatus is the transaction status of a session between operations.
type TransactionStatus byte

// The transaction statuses.
const (
	StatusIdle          TransactionStatus = 'I'
	StatusInTransaction TransactionStatus = 'T'
	StatusFailed        TransactionStatus = 'E' // the transaction failed; only a commit or rollback is accepted
)

// OperationResult is the result of an operation, as a member returned it or as a client receives it.
type OperationResult struct {
	Rows     []string          `msgpack:"r,omitempty"`
	Proof    string            `msgpack:"p,omitempty"` // opaque proof by the member that it ran the operation
	Fault    Fault             `msgpack:"f,omitempty"`
	Detail   string            `msgpack:"d,omitempty"` // explains the fault
	Status   TransactionStatus `msgpack:"s"`
	Position CommitPosition    `msgpack:"l"` // latest commit in the member's log
}

// MemberState is the state that a member reports about itself.
type MemberState struct {
	Primary  bool
	Paused   bool           // OperationPauseReplication is in effect
	Term     uint64         // latest term that the member knows
	Received CommitPosition // latest commit in the member's log
}
