package labupstream

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Errors of batches. After each of them the connection is broken.
var (
	// ErrUnexpected is returned for a message that does not belong to the response to the batch.
	ErrUnexpected = errors.New("unexpected message from upstream")
	// ErrTooLarge is returned for a message from the upstream that exceeds the message limit.
	ErrTooLarge = errors.New("message from upstream is too large")
	// ErrSilent is returned when the upstream sends nothing for the progress timeout and OnSilence does not allow a
	// longer wait.
	ErrSilent = errors.New("upstream is silent")
	// ErrBroken is returned for a batch on a connection that was broken before.
	ErrBroken = errors.New("connection is broken")
)

// withholdLimit is the size in bytes at which the withheld part of a response is forwarded. The client may then receive
// the end of the response, but not ReadyForQuery, before the caller of Run has made its checks.
const withholdLimit = 1 << 20

// forwardedTypes lists the types of response messages that are forwarded unchanged.
const forwardedTypes = "TDInts2HdcSN"

// exchange is the state of a batch, or of a probe, while it runs on a connection.
type exchange struct {
	conn               *Conn
	plan               plan
	response           io.Writer
	result             Result
	pending            []byte // response messages that are collected until bufferSize is reached and then forwarded
	withholdCompletion bool   // the response is withheld from the first CommandComplete on
	withholding        bool   // the rest of the response is withheld
}

// Run sends a batch, followed by the position query if withPosition is set. It writes the batch's response messages to
// response, except ReadyForQuery and the part that it returns in Result.Withheld. The caller forwards that part after it
// has verified the position of the member and, for a write, that a replica has acknowledged it. For a batch that may
// write, everything from the first CommandComplete on is withheld, up to 1 MiB. After an error the connection is
// broken, unless nothing was sent.
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

// runGuarded runs an exchange. It marks the connection as broken when the exchange fails, when the context ends during
// the exchange, or when unread bytes remain.
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

// runPreparation prepares statements ahead of a simple query. It returns failed if the upstream responds with an error.
func (e *exchange) runPreparation(ctx context.Context) (failed bool, err error) {
	if err = e.send(e.plan.preparation); err != nil {
		return false, err
	}

	if err = e.readBatch(ctx); err != nil {
		return false, err
	}

	return e.result.SQLState != "", nil
}
