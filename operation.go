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
	OperationReset             // clears session values and prepared statements; sent by the system only
	OperationStatus            // reads a member's MemberState; sent by the system only
	OperationPauseReplication  // stops a replica from receiving; sent by the system only
	OperationResumeReplication // ends a pause; sent by the system only
)

// Operation is one statement of a caller or of the system itself.
type Operation struct {
	Kind         OperationKind  `msgpack:"k"`
	RequestID    string         `msgpack:"i,omitempty"` // the caller's request id; empty for a statement of the system itself
	Text         string         `msgpack:"x,omitempty"` // a read, write or commit as the caller sent it, passed on unchanged
	ReadOnly     bool           `msgpack:"r,omitempty"` // of a Begin: the transaction may run on a replica
	Writes       bool           `msgpack:"w,omitempty"` // of a Prepare or Execute: the statement stores
	Name         string         `msgpack:"n,omitempty"` // of a session value or prepared statement
	Argument     string         `msgpack:"a,omitempty"` // the value, the prepared shape, or the arguments of an Execute
	PreparedText string         `msgpack:"s,omitempty"` // of an Execute: what was prepared
	Term         uint64         `msgpack:"t,omitempty"` // of a Pause: the term above which receiving stops
	MinPosition  CommitPosition `msgpack:"p"`           // that the log must have; zero for none
}

// CommitPosition is a commit's place in the log of a service whose members number their commits; zero means none.
type CommitPosition struct {
	Term   uint64 `json:"term"   msgpack:"t"`
	Number uint64 `json:"number" msgpack:"n"`
}

// IsZero reports whether the position is unset.
func (p CommitPosition) IsZero() bool {
	return p == CommitPosition{}
}

// Before reports whether p precedes q, by term and then number.
func (p CommitPosition) Before(q CommitPosition) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}

	return p.Number < q.Number
}

// String formats the position as term.number.
func (p CommitPosition) String() string {
	if p.IsZero() {
		return "-"
	}

	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// Fault is the reason of a failed operation, independent of the protocol that carried it.
type Fault uint8

// The faults. Those up to FaultNotPrepared promise that the operation has not run.
const (
	FaultNone Fault = iota
	FaultBusy
	FaultLagging            // the log lacks the requested position
	FaultReadOnly           // the member is not the primary
	FaultMisrouted          // another member or service answers at the address
	FaultTooManyConnections // the member has no connection left
	FaultAborted            // the transaction was rolled back
	FaultNotPrepared        // the prepared statement does not exist
	FaultFailed             // it ran and failed
	FaultTimeout            // it may still run
	FaultUnknown            // it may have run
	FaultMalformed          // the operation cannot be read or does not fit the session's state
	FaultNoDatabase         // no route has the database's name
	FaultUnavailable        // the process is stopping
)

// NotRun reports whether the fault promises that the operation has not run.
func (f Fault) NotRun() bool {
	return f >= FaultBusy && f <= FaultNotPrepared
}

// String names the fault for logs.
func (f Fault) String() string {
	names := [...]string{
		"none", "busy", "lagging", "read_only", "misrouted", "too_many", "aborted", "unprepared", "failed", "timeout",
		"unknown", "malformed", "no_database", "unavailable",
	}
	if int(f) < len(names) {
		return names[f]
	}

	return "unnamed"
}

// TransactionStatus is the state of a session between operations.
type TransactionStatus byte

// The states of a session.
const (
	StatusIdle          TransactionStatus = 'I'
	StatusInTransaction TransactionStatus = 'T'
	StatusFailed        TransactionStatus = 'E' // the transaction failed and can only be ended
)

// OperationResult tells how an operation ended at a member or for a caller.
type OperationResult struct {
	Rows     []string          `msgpack:"r,omitempty"`
	Proof    string            `msgpack:"p,omitempty"` // opaque evidence of the member that it ran the operation
	Fault    Fault             `msgpack:"f,omitempty"`
	Detail   string            `msgpack:"d,omitempty"` // explains the fault
	Status   TransactionStatus `msgpack:"s"`
	Position CommitPosition    `msgpack:"l"` // newest position of the member's log
}

// MemberState is what a member tells about itself over its own protocol.
type MemberState struct {
	Primary  bool
	Term     uint64         // newest term the member knows
	Received CommitPosition // newest commit in its log
}
