package lab

import (
	"context"
	"crypto/tls"
	"time"
)

// MemberConnection is one connection to a member; it is not safe for concurrent use.
type MemberConnection interface {
	// Run sends the operations in one write and returns a result for each. Results received before an error are returned
	// together with the error. After the deadline has passed, the caller must call Drain or Close; after any other error,
	// Close.
	Run(deadline time.Time, operations ...Operation) ([]OperationResult, error)
	// Drain reads the responses that were still outstanding when the deadline of Run passed, and returns the transaction
	// status after them. After it succeeds the connection may be used again.
	Drain(deadline time.Time) (TransactionStatus, error)
	// InStep must succeed before a fault is believed that Run or Drain has returned, and before the connection is used
	// again: a member may answer twice, and a fault has no mark that tells the second answer to an earlier operation. It
	// also fails if a refusal of a write or commit may be such an answer and the operation may have run. A failed transaction
	// is rolled back by it. Without a fault it returns at once. After an error the same applies as after an error of Run.
	InStep(deadline time.Time) error
	// Alive reports whether the member has kept the connection open. It does not wait.
	Alive() bool
	// Close closes the connection; the member rolls back an open transaction.
	Close()
}

// OtherMemberError is wrapped by the error of a connection attempt if another member responds at the address.
type OtherMemberError struct {
	Member string // name by which the member identifies itself
}

// Error names the member that responds.
func (e *OtherMemberError) Error() string {
	return "the address belongs to member " + e.Member
}

// MemberDialer opens connections to members.
type MemberDialer interface {
	// Dial connects to the announced address and checks that the announced member responds there, or any member of the
	// service if none is named. The connection belongs to the organisation for its whole life; it is empty for a connection
	// of the system itself. If the member refuses the connection, the error is an *OutcomeError. If another member responds,
	// the error also wraps an *OtherMemberError.
	Dial(ctx context.Context, member Announcement, organisation string) (MemberConnection, error)
	// State runs an operation whose response contains the member's state, such as OperationStatus, and returns the state.
	// If the member is too busy to run it, the error has the outcome OutcomeNotRun.
	State(deadline time.Time, connection MemberConnection, operation Operation) (MemberState, error)
}

// ClientCodec decodes the messages of one client connection into operations and encodes the responses.
type ClientCodec interface {
	// Startup decodes the first message of a connection and returns its size in bytes, 0 when data holds only a part of
	// the message. The key identifies the client's organisation; it is empty if the message has none.
	Startup(data []byte) (database, key string, size int, err error)
	// Next decodes one message and returns its size in bytes, 0 when data holds only a part of the message. End is true
	// when the message closes the session.
	Next(data []byte) (operation Operation, end bool, size int, err error)
	// MayEnd reports whether the message that consists of earlier bytes, in number, and the bytes received after them may be
	// complete or is longer than allowed. If not, Startup and Next needn't be called yet.
	MayEnd(earlier int, received []byte) bool
	// AppendResult appends the response to an operation.
	AppendResult(out []byte, result OperationResult) []byte
	// AppendReady appends the response to an accepted startup message.
	AppendReady(out []byte) []byte
	// AppendRefusal appends the response to a refused startup message.
	AppendRefusal(out []byte, fault Fault, detail string) []byte
}

// PromotionClient requests promotions from the platform that runs the members.
type PromotionClient interface {
	// Promote requests that a member become the primary. An error with the outcome OutcomeNotRun means that the request
	// was finally refused; after any other error the promotion may still take place later.
	Promote(ctx context.Context, service, member string, token uint64) error
}

// Credentials hold the TLS identity for connections between the processes of the system.
type Credentials interface {
	// TLS returns a configuration that serves as client and as server configuration.
	TLS(protocols ...string) *tls.Config
}
