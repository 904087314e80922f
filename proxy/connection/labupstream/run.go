package labupstream

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Errors that break a connection.
var (
	// ErrUnexpected is returned for a message that does not belong to the unit's answer.
	ErrUnexpected = errors.New("unexpected message from upstream")
	// ErrTooLarge is returned for a message above the size limit.
	ErrTooLarge = errors.New("message from upstream is too large")
	// ErrSilent is returned when the upstream stays silent.
	ErrSilent = errors.New("upstream is silent")
	// ErrBroken is returned for a unit on a connection that must not be reused.
	ErrBroken = errors.New("connection is broken")
)

// withholdLimit bounds the answer that is held back, in bytes. A longer one is passed on before it is acknowledged; its
// ReadyForQuery still waits.
const withholdLimit = 1 << 20

// forwardedTypes lists the types of messages that are passed on unchanged.
const forwardedTypes = "TDInts2HdcSN"

// exchange is the state of one unit on a connection.
type exchange struct {
	conn               *Conn
	plan               plan
	response           io.Writer
	result             Result
	pending            []byte // part of the answer not yet passed on
	withholdCompletion bool   // the answer is held back from the first CommandComplete on
	withholding        bool   // the rest of the answer is held back
}

// Run sends a unit, and behind it the position query when positionToo is set, and passes the answer on up to but
// without ReadyForQuery. The last part is returned in Held, so that it can be withheld when the position or the
// acknowledgement is missing: of a unit that may write, all from the first CommandComplete on. After an error the connection is broken, unless nothing was sent.
func (c *Conn) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer, withPosition bool) (Result, error) {
	if c.Broken() {
		return Result{}, ErrBroken
	}

	p, err := newPlan(batch, c.statements)
	if err != nil {
		return Result{}, err
	}

	e := exchange{conn: c, plan: p, response: response, withholdCompletion: !batch.ReadOnly}

	if withPosition {
		if e.plan.out, err = e.appendPositionQuery(e.plan.out, batch.ReadOnly && !batch.ChangesSession); err != nil {
			return Result{}, err
		}
	}

	if err = e.runGuarded(ctx, func() error { return e.runBatch(ctx, batch, withPosition) }); err == nil {
		e.result.Withheld = append(e.pending, e.result.Withheld...)
	}

	return e.result, err
}

// runGuarded runs an exchange and breaks the connection when it fails or when its context ended meanwhile.
func (e *exchange) runGuarded(ctx context.Context, run func() error) error {
	if err := ctx.Err(); err != nil {
		return errors.Newf("before sending: %w", err)
	}

	stop := context.AfterFunc(ctx, func() { _ = e.conn.socket.SetDeadline(time.Unix(1, 0)) })
	err := run()

	if !stop() || err != nil || e.conn.socket.reader.Buffered() > 0 {
		e.conn.MarkBroken()
	}

	if err != nil && ctx.Err() != nil {
		return errors.Newf("%w: %s", context.Cause(ctx), err.Error())
	}

	return err
}

func (e *exchange) runBatch(ctx context.Context, batch lab.MessageBatch, withPosition bool) error {
	if len(e.plan.preparation) > 0 {
		failed, err := e.runPreparation(ctx)
		if err != nil || failed {
			return err
		}
	}

	e.conn.sessionChanged = e.conn.sessionChanged || batch.ChangesSession

	sent, err := e.startSend(e.plan.out)
	if err != nil {
		return err
	}

	if err = e.readBatch(ctx); err != nil {
		return err
	}

	if withPosition {
		if err = e.readPosition(ctx); err != nil {
			return err
		}
	}

	return <-sent
}

// runPreparation prepares statements ahead of a simple query and reports whether that failed.
func (e *exchange) runPreparation(ctx context.Context) (failed bool, err error) {
	if err = e.send(e.plan.preparation); err != nil {
		return false, err
	}

	if err = e.readBatch(ctx); err != nil {
		return false, err
	}

	return e.result.SQLState != "", nil
}
