package lab

import (
	"context"
	"io"
	"time"
)

// Header opens a transaction at a gateway.
type Header struct {
	RequestID    uint64        `msgpack:"q"`
	Organisation string        `msgpack:"o"`
	Database     string        `msgpack:"d"`
	Class        Class         `msgpack:"c"`
	ReadOnly     bool          `msgpack:"r"` // may run on a replica
	Floor        Position      `msgpack:"f"`
	MaxAge       time.Duration `msgpack:"m"` // accepted age of data; 0 when the read states none
	Deadline     time.Duration `msgpack:"t"` // time left when the header was sent
	OnceName     string        `msgpack:"n"` // name of a non-idempotent request, else empty
	Region       string        `msgpack:"g"` // region whose gateway is asked
	Hops         int           `msgpack:"h"` // forwards so far
}

// Statement is a prepared statement that a unit refers to by name.
type Statement struct {
	Name  string   `msgpack:"n"`
	Query string   `msgpack:"q"`
	Types []uint32 `msgpack:"t"` // parameter type OIDs
}

// Unit is a group of caller messages that ends with a Query or a Sync.
type Unit struct {
	Messages   []byte      `msgpack:"m"` // raw protocol messages
	Statements []Statement `msgpack:"s"` // prepared statements referred to but not parsed in this unit
	Reads      bool        `msgpack:"r"` // runs nothing that could change data
	Changes    bool        `msgpack:"c"` // changes the upstream session, which must be reset before reuse
	Simple     bool        `msgpack:"i"` // a single Query message
}

// Result tells how a unit ended; the gateway does not pass on the unit's ReadyForQuery.
type Result struct {
	Status   byte     `msgpack:"s"` // transaction status of ReadyForQuery: I, T or E
	Position Position `msgpack:"p"` // floor that the answer implies, zero when none
	Replica  bool     `msgpack:"r"` // answered by a replica
	Member   string   `msgpack:"m"`
}

// Gateway opens transactions on a database's members.
type Gateway interface {
	// Begin admits a transaction and binds it to an upstream connection. Its error carries an Outcome of not run.
	Begin(ctx context.Context, header Header) (Transaction, error)
}

// Transaction is bound to one upstream connection until a unit ends with status I, Close is called or an error is
// returned. It is not safe for concurrent use.
type Transaction interface {
	// Run executes one unit and writes the raw answer messages without ReadyForQuery to answer. When Run fails, the
	// error carries an Outcome and the connection is closed, never reused.
	Run(ctx context.Context, unit Unit, answer io.Writer) (Result, error)
	// Cancel asks the upstream to cancel what runs; it may be called from another goroutine.
	Cancel()
	// Close ends the transaction; an unfinished one is rolled back by closing the upstream connection.
	Close()
}

// Routes looks up the catalog in force at a proxy.
type Routes interface {
	// Database returns the state of a database; the caller must not change it.
	Database(name string) (*Database, bool)
	// Organisation returns an organisation; the caller must not change it.
	Organisation(name string) (*Organisation, bool)
	// Version returns the configuration version and the log index in force.
	Version() (version, index uint64)
}

// Lease tells what a proxy may do now.
type Lease interface {
	// Alive reports whether the proxy's lease is in force.
	Alive() bool
	// Grant returns the grant of a duty while the lease is in force.
	Grant(duty Duty) (Grant, bool)
}

// MemberObserver is told of member statuses by a gateway.
type MemberObserver interface {
	// Observe reports a status that changed.
	Observe(status MemberStatus)
}
