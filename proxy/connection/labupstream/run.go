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

// holdLimit bounds the answer that is held back, in bytes. A longer one is passed on before it is acknowledged; its
// ReadyForQuery still waits.
const holdLimit = 1 << 20

// passed lists the types of messages that are passed on unchanged.
const passed = "TDInts2HdcSN"

// exchange is the state of one unit on a connection.
type exchange struct {
	conn    *Conn
	plan    plan
	answer  io.Writer
	ended   Ended
	pending []byte // part of the answer not yet passed on
	writes  bool   // the answer is held back from the first CommandComplete on
	holding bool   // the rest of the answer is held back
}

// Run sends a unit, and behind it the position query when positionToo is set, and passes the answer on up to but
// without ReadyForQuery. The last part is returned in Held, so that it can be withheld when the position or the
// acknowledgement is missing: of a unit that may write, all from the first CommandComplete on. After an error the connection is broken, unless nothing was sent.
func (c *Conn) Run(ctx context.Context, unit lab.MessageBatch, answer io.Writer, positionToo bool) (Ended, error) {
	if c.Broken() {
		return Ended{}, ErrBroken
	}

	p, err := makePlan(unit, c.statements)
	if err != nil {
		return Ended{}, err
	}

	e := exchange{conn: c, plan: p, answer: answer, writes: !unit.ReadOnly}

	if positionToo {
		if e.plan.out, err = e.positionQuery(e.plan.out, unit.ReadOnly && !unit.ChangesSession); err != nil {
			return Ended{}, err
		}
	}

	if err = e.guard(ctx, func() error { return e.run(ctx, unit, positionToo) }); err == nil {
		e.ended.Held = append(e.pending, e.ended.Held...)
	}

	return e.ended, err
}

// guard runs an exchange and breaks the connection when it fails or when its context ended meanwhile.
func (e *exchange) guard(ctx context.Context, run func() error) error {
	if err := ctx.Err(); err != nil {
		return errors.Newf("before sending: %w", err)
	}

	stop := context.AfterFunc(ctx, func() { _ = e.conn.net.SetDeadline(time.Unix(1, 0)) })
	err := run()

	if !stop() || err != nil || e.conn.net.reader.Buffered() > 0 {
		e.conn.Break()
	}

	if err != nil && ctx.Err() != nil {
		return errors.Newf("%w: %s", context.Cause(ctx), err.Error())
	}

	return err
}

func (e *exchange) run(ctx context.Context, unit lab.MessageBatch, positionToo bool) error {
	if len(e.plan.prelude) > 0 {
		stopped, err := e.runPrelude(ctx)
		if err != nil || stopped {
			return err
		}
	}

	e.conn.changed = e.conn.changed || unit.ChangesSession

	sent, err := e.sendAll(e.plan.out)
	if err != nil {
		return err
	}

	if err = e.readUnit(ctx); err != nil {
		return err
	}

	if positionToo {
		if err = e.readPosition(ctx); err != nil {
			return err
		}
	}

	return <-sent
}

// runPrelude prepares statements ahead of a simple query and reports whether that failed.
func (e *exchange) runPrelude(ctx context.Context) (stopped bool, err error) {
	if err = e.send(e.plan.prelude); err != nil {
		return false, err
	}

	if err = e.readUnit(ctx); err != nil {
		return false, err
	}

	return e.ended.Code != "", nil
}
