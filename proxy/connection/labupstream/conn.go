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
	// abortTimeout is closeWait for a connection that is known not to answer, or whose login failed.
	abortTimeout = 50 * time.Millisecond
	// writeTimeout bounds one write; an upstream that does not read for this long is taken for lost.
	writeTimeout = 5 * time.Second
	// inlineWriteLimit is the largest unit written without reading at the same time; it fits the socket buffers.
	inlineWriteLimit = 64 << 10
)

// Conn is a connection to an upstream. Only Cancel, Break and Broken may be called concurrently with other methods.
type Conn struct {
	// OnSilence is asked when the upstream sent nothing for a multiple of the progress timeout; an error ends the unit.
	OnSilence func(ctx context.Context, silent time.Duration) error
	// LastAlive is kept by the owner: Clock.Now before the last exchange that the upstream answered.
	LastAlive time.Duration

	socket           *framedConn
	address          string
	cancelKey        pgproto3.CancelRequest
	connectTimeout   time.Duration
	progressTimeout  time.Duration
	messageLimit     int
	statementLimit   int
	statements       map[string]string
	status           byte
	sessionChanged   bool
	positionPrepared bool // the position query is prepared under its name
	closedByUpstream bool // the upstream closed its side
	broken           atomic.Bool
	buffer           []byte
}

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte {
	return c.status
}

// MarkBroken marks the connection as not reusable.
func (c *Conn) MarkBroken() {
	c.broken.Store(true)
}

// Broken reports whether the connection must be closed.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// MayBeRunning reports whether a unit that failed may still run on the upstream, so that it should be cancelled.
func (c *Conn) MayBeRunning() bool {
	return c.Broken() && !c.closedByUpstream
}

// Cancel asks the upstream over a new connection to cancel what runs on this one.
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

	// The upstream closes the connection after it signalled the backend.
	if _, err = io.Copy(io.Discard, conn); err != nil {
		return errors.Newf("wait for cancel: %w", err)
	}

	return nil
}

// NeedsReset reports whether Reset has something to do.
func (c *Conn) NeedsReset() bool {
	return c.sessionChanged || len(c.statements) > c.statementLimit
}

// Reset brings the session back to its initial state when a unit changed it.
func (c *Conn) Reset(ctx context.Context) error {
	if !c.NeedsReset() {
		return nil
	}

	discard, err := (&pgproto3.Query{String: "DISCARD ALL"}).Encode(nil)
	if err != nil {
		return errors.Newf("encode reset: %w", err)
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

// Probe reads the member's position; it proves that the connection still works.
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
		return Position{}, errors.New("probe: no position")
	}

	return e.result.Position, nil
}

// Abort closes a connection that no longer answers.
func (c *Conn) Abort() {
	c.MarkBroken()
	c.socket.closeWithin(abortTimeout)
}

// Close ends the session and waits a short time for the upstream to close its side, so that the caller may count the
// upstream's connection as free when Close returns.
func (c *Conn) Close() {
	broken := c.broken.Swap(true)

	// On a broken connection the bytes could complete a message that was sent in part.
	if terminate, err := (&pgproto3.Terminate{}).Encode(nil); err == nil && !broken {
		_ = c.socket.SetWriteDeadline(time.Now().Add(closeTimeout))
		_, _ = c.socket.Write(terminate)
	}

	c.socket.closeWithin(closeTimeout)
}
