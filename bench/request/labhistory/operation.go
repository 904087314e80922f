package labhistory

import "time"

// Kind is what an operation does.
type Kind string

// The kinds of operations.
const (
	KindWrite            Kind = "write" // sets a key to a sequence number
	KindIdempotentInsert Kind = "once"  // inserts a row under a request name
	KindRead             Kind = "read"  // reads a key, within the session's floor
	KindBoundedStaleness Kind = "aged"  // reads a key and accepts data of the read class's age
)

// Result is what the caller was told.
type Result string

// The results of operations.
const (
	ResultDone    Result = "done"
	ResultNotRun  Result = "not_run"
	ResultUnknown Result = "unknown"
)

// Operation is one request of a session.
type Operation struct {
	Session       int           `json:"session"`
	Kind          Kind          `json:"kind"`
	Database      string        `json:"database"`
	Key           string        `json:"key"`
	Sequence      int64         `json:"sequence"`          // written, or read; -1 when the read found no row
	WrongResponse bool          `json:"foreign,omitempty"` // the answer was not for this request
	DueAt         time.Duration `json:"due"`               // when it was due, since the start
	SentAt        time.Duration `json:"began"`             // when it was sent
	CompletedAt   time.Duration `json:"ended"`             // when the answer was there
	Result        Result        `json:"result"`            //
	Reason        string        `json:"reason,omitempty"`  // error text
}
