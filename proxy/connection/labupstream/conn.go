package labupstream

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

const (
	// closeTimeout bounds how long Close waits for the upstream to close its side.
	closeTimeout = time.Second
	// abortTimeout replaces closeTimeout for a connection that no longer responds, or whose login failed.
	abortTimeout = 50 * time.Millisecond
	// writeTimeout bounds one write. The connection is broken when the upstream does not read for this long.
	writeTimeout = 5 * time.Second
	// inlineWriteLimit is the size in bytes up to which a batch is written before its response is read. A batch of this
	// size fits into the socket buffers.
	inlineWriteLimit = 64 << 10
)

// Conn is a connection to an upstream. Only Cancel, MarkBroken and Broken may be called concurrently with other methods.
type Conn struct {
	// OnSilence is called each time the upstream has sent nothing for another progress timeout; silent is the time since
	// the wait began. An error ends the batch; nil continues the wait. Without OnSilence the first progress timeout ends
	// the batch.
	OnSilence func(ctx context.Context, silent time.Duration) error
	// LastAlive is the time, by Clock.Now, before the start of the last exchange that the upstream completed. It is set
	// by the owner of the connection.
	LastAlive time.Duration

	socket           *framedConn
	address          string
	cancelKey        pgproto3.CancelRequest
	connectTimeout   time.Duration
	progressTimeout  time.Duration
	messageLimit     int
	statementLimit   int
	statements       map[string]string // statementKey by name of the prepared statements of the session
	status           byte              // transaction status
	sessionChanged   bool              // a batch may have changed the session since the last reset
	positionPrepared bool              // the position query exists as the prepared statement positionStatementName
	closedByUpstream bool              // reading failed because the upstream closed or reset the connection
	broken           atomic.Bool
	buffer           []byte // holds the message returned by readMessage
}

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte {
	return c.status
}

// MarkBroken marks the connection as broken: it can't be reused and must be closed.
func (c *Conn) MarkBroken() {
	c.broken.Store(true)
}

// Broken reports whether the connection must be closed.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// MayBeRunning reports whether a failed batch may still be running on the upstream and should be cancelled.
func (c *Conn) MayBeRunning() bool {
	return c.Broken() && !c.closedByUpstream
}

// Cancel asks the upstream, over a new connection, to cancel the statement that runs on this connection.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, c.connectTimeout)
	defer stop()

	var dialer net.Dialer

	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Newf("dial for cancel: %w", err)
	}
	defer func() { _ = conn.Close() }()

	_ = conn.SetDeadline(time.Now().Add(c.connectTimeout))

	request, err := c.cancelKey.Encode(nil)
	if err != nil {
		return errors.Newf("encode cancel request: %w", err)
	}

	if _, err = conn.Write(request); err != nil {
		return errors.Newf("write cancel request: %w", err)
	}

	// The upstream closes the cancel connection after it has signalled the backend.
	if _, err = io.Copy(io.Discard, conn); err != nil {
		return errors.Newf("wait until the cancel connection is closed: %w", err)
	}

	return nil
}

// NeedsReset reports whether the session was changed or has more prepared statements than the limit.
func (c *Conn) NeedsReset() bool {
	return c.sessionChanged || len(c.statements) > c.statementLimit
}

// Reset restores the initial state of the session with DISCARD ALL if NeedsReset reports true.
func (c *Conn) Reset(ctx context.Context) error {
	if !c.NeedsReset() {
		return nil
	}

	discard, err := (&pgproto3.Query{String: "DISCARD ALL"}).Encode(nil)
	if err != nil {
		return errors.Newf("encode DISCARD ALL: %w", err)
	}

	result, err := c.Run(ctx, lab.MessageBatch{Messages: discard, SimpleQuery: true}, io.Discard, false)
	if err != nil {
		return errors.Newf("reset session: %w", err)
	}

	if result.SQLState != "" || result.Status != 'I' {
		c.MarkBroken()

		return errors.Newf("reset session: SQLSTATE %s, status %c", result.SQLState, result.Status)
	}

	c.sessionChanged = false
	c.statements = map[string]string{}
	c.positionPrepared = false

	return nil
}

// Probe queries the member's WAL position, which also verifies that the connection works.
func (c *Conn) Probe(ctx context.Context) (Position, error) {
	e := exchange{conn: c, response: io.Discard}
	out, err := e.appendPositionQuery(nil, !c.sessionChanged)
	if err != nil {
		return Position{}, err
	}

	if err = e.runGuarded(ctx, func() error {
		if err := e.send(out); err != nil {
			return err
		}

		return e.readPosition(ctx)
	}); err != nil {
		return Position{}, errors.Newf("probe: %w", err)
	}

	if !e.result.HasPosition {
		return Position{}, errors.New("probe: the position query returned no row")
	}

	return e.result.Position, nil
}

// Abort closes the connection without a Terminate message, for an upstream that no longer responds.
func (c *Conn) Abort() {
	c.MarkBroken()
	c.socket.closeWithin(abortTimeout)
}

// Close ends the session and waits for up to a second until the upstream closes its side. Until then the connection
// counts against the connection limit of the upstream.
func (c *Conn) Close() {
	broken := c.broken.Swap(true)

	// A broken connection gets no Terminate: its bytes could complete a partially sent message.
	if terminate, err := (&pgproto3.Terminate{}).Encode(nil); err == nil && !broken {
		_ = c.socket.SetWriteDeadline(time.Now().Add(closeTimeout))
		_, _ = c.socket.Write(terminate)
	}

	c.socket.closeWithin(closeTimeout)
}
