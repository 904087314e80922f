package lab

import (
	"context"
	"crypto/tls"
	"time"
)

// MemberConnection is one connection to a member; it is not safe for concurrent use.
type MemberConnection interface {
	// Run sends the operations in one write and returns a result for each. After an error the link must be closed,
	// or drained when the deadline has passed; the results received before the error are returned with it.
	Run(deadline time.Time, operations ...Operation) ([]OperationResult, error)
	// Drain waits for the answers that Run left unread when its deadline passed, and returns the session's state after
	// them. After it succeeds the link may be used again.
	Drain(deadline time.Time) (TransactionStatus, error)
	// Alive reports whether the other end has not closed the connection, without waiting.
	Alive() bool
	// Close ends the connection; the member rolls an open transaction back.
	Close()
}

// MemberDialer opens connections to members.
type MemberDialer interface {
	// Dial connects and checks that the member is the announced one. A refusal by the member is an *OutcomeError.
	Dial(ctx context.Context, member Announcement) (MemberConnection, error)
	// State reads a member's own state over the link.
	State(deadline time.Time, link MemberConnection, operation Operation) (MemberState, error)
}

// ClientCodec translates between the bytes of one caller connection and operations.
type ClientCodec interface {
	// Startup reads the first message of a connection; size is 0 when it is incomplete.
	Startup(data []byte) (database string, size int, err error)
	// Next reads one message; size is 0 when it is incomplete. End reports that the caller ends the session.
	Next(data []byte) (operation Operation, end bool, size int, err error)
	// AppendResult appends the answer to an operation.
	AppendResult(out []byte, result OperationResult) []byte
	// AppendReady appends the answer to an accepted startup.
	AppendReady(out []byte) []byte
	// AppendRefusal appends the answer to a refused startup.
	AppendRefusal(out []byte, fault Fault, detail string) []byte
}

// PromotionClient orders promotions from the platform that runs the members.
type PromotionClient interface {
	// Promote orders that a member becomes the primary. An error of not run means that the order was refused for good;
	// after any other error it may still be carried out later.
	Promote(ctx context.Context, service, member string, token uint64) error
}

// Credentials secure the connections between the system's processes.
type Credentials interface {
	// TLS returns the configuration of both ends of a connection.
	TLS(protocols ...string) *tls.Config
}
