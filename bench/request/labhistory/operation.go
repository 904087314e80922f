package labhistory

import "time"

// Kind is what an operation does.
type Kind string

// The kinds of operations.
const (
	KindWrite            Kind = "write" // sets a key to a sequence number
	KindIdempotentInsert Kind = "once"  // inserts a row with an idempotency key
	KindRead             Kind = "read"  // reads a key at the session's minimum position or later
	KindBoundedStaleness Kind = "aged"  // reads a key and accepts data up to the maximum staleness of the read class
)

// Result is the outcome of an operation as reported to the client.
type Result string

// The results of operations: completed, not run, and outcome unknown.
const (
	ResultDone    Result = "done"
	ResultNotRun  Result = "not_run"
	ResultUnknown Result = "unknown"
)

// Operation is one request of a session. Its times are measured from the start of the load.
type Operation struct {
	Session       int           `json:"session"` // number of the client session
	Kind          Kind          `json:"kind"`
	Database      string        `json:"database"`
	Key           string        `json:"key"`
	Sequence      int64         `json:"sequence"`          // number that was written or read; -1 if the read found no row
	WrongResponse bool          `json:"foreign,omitempty"` // whether the response belongs to another request
	DueAt         time.Duration `json:"due"`               // time at which the request was due to be sent
	SentAt        time.Duration `json:"began"`             // time at which the request was sent
	CompletedAt   time.Duration `json:"ended"`             // time at which the response arrived
	Result        Result        `json:"result"`
	Reason        string        `json:"reason,omitempty"` // error text, empty if the operation succeeded
}
