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
	ReadOnly       bool           `msgpack:"r"` // may run on a replica
	MinPosition    WALPosition    `msgpack:"f"`
	MaxStaleness   time.Duration  `msgpack:"m"` // accepted age of data; 0 when the read states none
	TimeLeft       time.Duration  `msgpack:"t"` // time left when the header was sent
	IdempotencyKey string         `msgpack:"n"` // name of a non-idempotent request, else empty
	Region         string         `msgpack:"g"` // region whose gateway is asked
	Hops           int            `msgpack:"h"` // forwards so far
}

// PreparedStatement is a prepared statement that a unit refers to by name.
type PreparedStatement struct {
	Name           string   `msgpack:"n"`
	Query          string   `msgpack:"q"`
	ParameterTypes []uint32 `msgpack:"t"` // parameter type OIDs
}

// MessageBatch is a group of caller messages that ends with a Query or a Sync.
type MessageBatch struct {
	Messages       []byte              `msgpack:"m"` // raw protocol messages
	Statements     []PreparedStatement `msgpack:"s"` // prepared statements referred to but not parsed in this unit
	ReadOnly       bool                `msgpack:"r"` // runs nothing that could change data
	ChangesSession bool                `msgpack:"c"` // changes the upstream session, which must be reset before reuse
	SimpleQuery    bool                `msgpack:"i"` // a single Query message
}

// BatchResult tells how a unit ended; the gateway does not pass on the unit's ReadyForQuery.
type BatchResult struct {
	Status      byte        `msgpack:"s"` // transaction status of ReadyForQuery: I, T or E
	Position    WALPosition `msgpack:"p"` // floor that the answer implies, zero when none
	FromReplica bool        `msgpack:"r"` // answered by a replica
	Member      string      `msgpack:"m"`
}

// Gateway opens transactions on a database's members.
type Gateway interface {
	// Begin admits a transaction and binds it to an upstream connection. Its error carries an Outcome of not run.
	Begin(ctx context.Context, header TransactionHeader) (Transaction, error)
}

// Transaction is bound to one upstream connection until a unit ends with status I, Close is called or an error is
// returned. It is not safe for concurrent use.
type Transaction interface {
	// Run executes one unit and writes the raw answer messages without ReadyForQuery to answer. When Run fails, the
	// error carries an Outcome and the connection is closed, never reused.
	Run(ctx context.Context, unit MessageBatch, answer io.Writer) (BatchResult, error)
	// Cancel asks the upstream to cancel what runs; it may be called from another goroutine.
	Cancel()
	// Close ends the transaction; an unfinished one is rolled back by closing the upstream connection.
	Close()
}

// Catalog looks up the catalog in force at a proxy.
type Catalog interface {
	// Database returns the state of a database; the caller must not change it.
	Database(name string) (*Database, bool)
	// Organisation returns an organisation; the caller must not change it.
	Organisation(name string) (*Organisation, bool)
	// Version returns the configuration version and the log index in force.
	Version() (version, index uint64)
}

// Lease tells what a proxy may do now.
type Lease interface {
	// Valid reports whether the proxy's lease is in force.
	Valid() bool
	// Grant returns the grant of a duty while the lease is in force.
	Grant(duty GatewayRole) (Grant, bool)
}

// MemberObserver is told of member statuses by a gateway.
type MemberObserver interface {
	// Observe reports a status that changed.
	Observe(status MemberStatus)
}
