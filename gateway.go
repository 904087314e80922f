package lab

import (
	"context"
	"io"
	"time"
)

// TransactionHeader opens a transaction at a gateway.
type TransactionHeader struct {
	RequestID      uint64         `msgpack:"q"`
	Organisation   string         `msgpack:"o"`
	Database       string         `msgpack:"d"`
	AdmissionClass AdmissionClass `msgpack:"c"`
	ReadOnly       bool           `msgpack:"r"` // the transaction may run on a replica
	MinPosition    WALPosition    `msgpack:"f"` // WAL position that the member must have replayed
	MaxStaleness   time.Duration  `msgpack:"m"` // maximum age of the data read; 0 for no limit
	TimeLeft       time.Duration  `msgpack:"t"` // time until the deadline, measured when the header was sent
	IdempotencyKey string         `msgpack:"n"` // key of a request that must run at most once, else empty
	Region         string         `msgpack:"g"` // region whose gateway the request is sent to
	Hops           int            `msgpack:"h"` // number of times the request was forwarded
}

// PreparedStatement is a prepared statement that a batch refers to by name.
type PreparedStatement struct {
	Name           string   `msgpack:"n"`
	Query          string   `msgpack:"q"`
	ParameterTypes []uint32 `msgpack:"t"` // type OIDs of the parameters
}

// MessageBatch is a sequence of client messages that ends with a Query or a Sync.
type MessageBatch struct {
	Messages       []byte              `msgpack:"m"` // raw protocol messages
	Statements     []PreparedStatement `msgpack:"s"` // prepared statements that Messages use but don't define
	ReadOnly       bool                `msgpack:"r"` // no statement of the batch can change data
	ChangesSession bool                `msgpack:"c"` // may change session state, which must be reset before reuse
	SimpleQuery    bool                `msgpack:"i"` // Messages is a single Query message
}

// BatchResult describes how a batch ended. It replaces the ReadyForQuery message, which the gateway does not forward.
type BatchResult struct {
	Status      byte        `msgpack:"s"` // transaction status of ReadyForQuery: I, T or E
	Position    WALPosition `msgpack:"p"` // minimum position for later reads of the session; zero for none
	FromReplica bool        `msgpack:"r"` // a replica ran the batch
	Member      string      `msgpack:"m"` // name of the member that ran the batch
}

// Gateway opens transactions on a database's members.
type Gateway interface {
	// Begin admits a transaction and binds it to an upstream connection. Its errors carry the outcome OutcomeNotRun.
	Begin(ctx context.Context, header TransactionHeader) (Transaction, error)
}

// Transaction runs batches on one upstream connection. It is bound to the connection until a batch ends with
// transaction status I (idle), Close is called or an error is returned. It is not safe for concurrent use.
type Transaction interface {
	// Run executes one batch and writes the raw response messages, without ReadyForQuery, to response. When Run fails,
	// its error carries an Outcome, and the upstream connection is closed and not reused.
	Run(ctx context.Context, batch MessageBatch, response io.Writer) (BatchResult, error)
	// Cancel sends the upstream a cancel request for the running statement; any goroutine may call it.
	Cancel()
	// Close ends the transaction. An unfinished transaction is rolled back by closing the upstream connection.
	Close()
}

// Catalog provides the active databases and organisations of a proxy.
type Catalog interface {
	// Database returns the state of a database; the caller must not change it.
	Database(name string) (*Database, bool)
	// Organisation returns an organisation; the caller must not change it.
	Organisation(name string) (*Organisation, bool)
	// Version returns the active configuration version and the applied index of the replicated log.
	Version() (version, index uint64)
}

// Lease is the lease of this proxy. Control grants and renews it.
type Lease interface {
	// Valid reports whether the lease has not expired.
	Valid() bool
	// Grant returns the grant of a gateway role. It returns false if the lease has expired or has no grant of the role.
	Grant(role GatewayRole) (Grant, bool)
}

// MemberObserver receives the member statuses that a gateway observes.
type MemberObserver interface {
	// Observe is called with the new status of a member when it has changed.
	Observe(status MemberStatus)
}
