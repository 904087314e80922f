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
	// abortTimeout replaces closeTimeout when the upstream no longer responds or the login failed.
	abortTimeout = 50 * time.Millisecond
	// writeTimeout bounds one write. The connection is broken when the upstream does not read for this long.
	writeTimeout = 5 * time.Second
	// inlineWriteLimit is the size in bytes up to which a batch is written before its response is read. A batch of this
	// size fits into the socket buffers.
	inlineWriteLimit = 64 << 10
)

// Conn is a connection to an upstream. Only Cancel, MarkBroken and Broken may be called concurrently with other methods.
type Conn struct {
	// OnSilence is called each time the upstream has sent nothing for a further progress timeout; silent is the time
	// since the wait began. If it returns an error, the batch ends with ErrSilent; if it returns nil, the wait continues.
	// Without OnSilence the batch ends after the first progress timeout.
	OnSilence func(ctx context.Context, silent time.Duration) error
	// LastAlive is the time, by Clock.Now, just before the start of the last exchange that the upstream completed. The
	// owner of the connection sets and uses it.
	LastAlive time.Duration

	socket           *framedConn
	address          string
	cancelKey        pgproto3.CancelRequest
	connectTimeout   time.Duration
	progressTimeout  time.Duration
	messageLimit     int
	statementLimit   int
	statements       map[string]string // statementKey of each prepared statement, by the name of the statement
	status           byte              // transaction status of the last ReadyForQuery
	sessionChanged   bool              // a batch may have changed the session since the last reset
	positionPrepared bool              // the position query is prepared under the name positionStatementName
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

// NeedsReset reports whether a batch may have changed the session, or the session has more prepared statements than the
// limit.
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

	// No Terminate is sent on a broken connection: its bytes could complete a message that was sent only in part.
	if terminate, err := (&pgproto3.Terminate{}).Encode(nil); err == nil && !broken {
		_ = c.socket.SetWriteDeadline(time.Now().Add(closeTimeout))
		_, _ = c.socket.Write(terminate)
	}

	c.socket.closeWithin(closeTimeout)
}
