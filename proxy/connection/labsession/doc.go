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
// fails. A Parse message after an Execute is sent to the upstream. Its statement is unnamed or gets a name that starts
// with lab_inline_; the session then sends a Close message for that name before the Parse message. If Sync is the only
// message of a batch, the gateway still prepares the listed statements and reports errors in them.
//
// A minimum position is the WAL position that a member must have replayed before it serves a read of the session.
package labsession
