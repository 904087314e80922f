// Package labsession implements the client side of a proxy connection: startup, authentication, grouping of messages
// into batches, prepared statements, transaction state, minimum positions and the response stream.
//
// A session has no permanent goroutine. Receive buffers the received bytes and starts a worker goroutine when none is
// running. The worker returns when no complete message is left, even in the middle of a transaction.
//
// A session sends its messages to a gateway in batches. A simple batch is one Query message, whose text may have BEGIN
// and SET statements prepended. An extended batch ends with one Sync message.
//
// A Parse message before the first Execute of a batch is not sent. Its statement is listed in the Statements field of
// lab.MessageBatch instead: the gateway prepares it on connections that lack it, and returns the upstream's error if that
// fails. A Parse message after an Execute is sent to the upstream. It creates the unnamed statement, or a statement
// whose name starts with lab_inline_ and which a Close message removes first. A batch that consists only of Sync makes
// the gateway prepare the listed statements and report errors in them.
package labsession
