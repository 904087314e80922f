package labupstream

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

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
func (c *Conn) Run(ctx context.Context, unit lab.Unit, answer io.Writer, positionToo bool) (Ended, error) {
	if c.Broken() {
		return Ended{}, ErrBroken
	}

	p, err := makePlan(unit, c.statements)
	if err != nil {
		return Ended{}, err
	}

	e := exchange{conn: c, plan: p, answer: answer, writes: !unit.Reads}

	if positionToo {
		if e.plan.out, err = e.positionQuery(e.plan.out, unit.Reads && !unit.Changes); err != nil {
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

func (e *exchange) run(ctx context.Context, unit lab.Unit, positionToo bool) error {
	if len(e.plan.prelude) > 0 {
		stopped, err := e.runPrelude(ctx)
		if err != nil || stopped {
			return err
		}
	}

	e.conn.changed = e.conn.changed || unit.Changes

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

// positionQuery appends the position query. Where nothing before it can have dropped prepared statements, it is prepared
// once and then executed by name, which saves its text of about 600 bytes with every poll and read.
func (e *exchange) positionQuery(out []byte, prepared bool) ([]byte, error) {
	var messages []pgproto3.FrontendMessage

	switch {
	case !prepared:
		messages = []pgproto3.FrontendMessage{&pgproto3.Query{String: lab.PositionQuery}}
	case !e.conn.positionPrepared:
		messages = append(messages, &pgproto3.Parse{Name: positionStatement, Query: lab.PositionQuery})

		fallthrough
	default:
		messages = append(messages, &pgproto3.Bind{PreparedStatement: positionStatement}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}

	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return nil, errors.Newf("encode position query: %w", err)
		}
	}

	return out, nil
}

func (e *exchange) send(out []byte) error {
	_ = e.conn.net.SetWriteDeadline(time.Now().Add(writeWait))

	n, err := e.conn.net.Write(out)
	e.ended.Sent = e.ended.Sent || n > 0

	if err != nil {
		return errors.Newf("write to upstream: %w", err)
	}

	return nil
}

// sendAll writes small units at once and large ones in the background, because an upstream that answers while it
// still receives would otherwise block on a full socket. The channel yields the write's error.
func (e *exchange) sendAll(out []byte) (<-chan error, error) {
	done := make(chan error, 1)

	if len(out) <= inlineWrite {
		done <- nil

		return done, e.send(out)
	}

	e.ended.Sent = true
	_ = e.conn.net.SetWriteDeadline(time.Now().Add(writeWait))

	go func() {
		_, err := e.conn.net.Write(out)
		if err != nil {
			err = errors.Newf("write to upstream: %w", err)
		}

		done <- err
	}()

	return done, nil
}

// readUnit reads the unit's answer up to ReadyForQuery.
func (e *exchange) readUnit(ctx context.Context) error {
	for {
		raw, err := e.next(ctx)
		if err != nil {
			return err
		}

		if raw[0] == 'Z' {
			return e.finish(raw)
		}

		if err = e.handle(raw); err != nil {
			return err
		}
	}
}

func (e *exchange) finish(raw []byte) error {
	if err := e.ready(raw); err != nil {
		return err
	}

	e.ended.Status = e.conn.status

	return nil
}

func (e *exchange) ready(raw []byte) error {
	if len(raw) != headerSize+1 || !strings.ContainsRune("ITE", rune(raw[headerSize])) {
		return errors.Newf("%w: ReadyForQuery", ErrUnexpected)
	}

	e.conn.status = raw[headerSize]

	return nil
}

func (e *exchange) handle(raw []byte) error {
	switch raw[0] {
	case '1':
		return e.parseComplete(raw)
	case '3':
		return e.closeComplete(raw)
	case 'E':
		e.fail(raw)
	case 'C':
		e.complete(raw)
	case 'A':
		return nil // a pooled connection has no caller that listens
	default:
		if !strings.ContainsRune(passed, rune(raw[0])) {
			return errors.Newf("%w: type %q", ErrUnexpected, raw[0])
		}
	}

	return e.pass(raw)
}

func (e *exchange) parseComplete(raw []byte) error {
	if len(e.plan.parses) == 0 {
		return errors.Newf("%w: ParseComplete", ErrUnexpected)
	}

	p := e.plan.parses[0]
	e.plan.parses = e.plan.parses[1:]

	if p.name != "" {
		e.conn.statements[p.name] = p.query
	}

	if p.own {
		return nil
	}

	return e.pass(raw)
}

func (e *exchange) closeComplete(raw []byte) error {
	if len(e.plan.closes) == 0 {
		return errors.Newf("%w: CloseComplete", ErrUnexpected)
	}

	c := e.plan.closes[0]
	e.plan.closes = e.plan.closes[1:]

	if c.statement {
		delete(e.conn.statements, c.name)
	}

	if c.own {
		return nil
	}

	return e.pass(raw)
}

func (e *exchange) fail(raw []byte) {
	if e.ended.Code == "" {
		e.ended.Code = errorField(raw[headerSize:], 'C')
	}
}

func (e *exchange) complete(raw []byte) {
	e.ended.Tag = text(raw[headerSize:])
	e.ended.Completed++

	e.holding = e.holding || e.writes

	if strings.HasPrefix(e.ended.Tag, "COMMIT") || strings.HasPrefix(e.ended.Tag, "PREPARE TRANSACTION") {
		e.ended.Committed = true
	}
}

// errorField returns one field of an ErrorResponse.
func errorField(body []byte, field byte) string {
	for len(body) > 1 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return ""
		}

		if body[0] == field {
			return string(body[1 : 1+end])
		}

		body = body[2+end:]
	}

	return ""
}

// pass adds a message to the answer, which is passed on in large parts.
func (e *exchange) pass(raw []byte) error {
	if e.holding && len(e.ended.Held) < holdLimit {
		e.ended.Held = append(e.ended.Held, raw...)

		return nil
	}

	e.pending = append(append(e.pending, e.ended.Held...), raw...)
	e.ended.Held, e.holding, e.writes = nil, false, false

	if len(e.pending) < bufferSize {
		return nil
	}

	return e.flush()
}

func (e *exchange) flush() error {
	if len(e.pending) == 0 {
		return nil
	}

	e.ended.Passed = true

	_, err := e.answer.Write(e.pending)
	e.pending = e.pending[:0]

	if err != nil {
		return errors.Newf("pass answer on: %w", err)
	}

	return nil
}

// readPosition reads the answer to the position query, which is an error in a failed transaction.
func (e *exchange) readPosition(ctx context.Context) error {
	for complete := false; ; {
		raw, err := e.next(ctx)
		if err != nil {
			return errors.Newf("read position: %w", err)
		}

		switch raw[0] {
		case 'Z':
			if !complete {
				return errors.Newf("%w: ReadyForQuery to position query", ErrUnexpected)
			}

			return e.ready(raw)
		case 'D':
			if e.ended.Position, err = parsePosition(raw[headerSize:]); err != nil {
				return errors.Newf("%w: %s", ErrUnexpected, err.Error())
			}

			e.ended.Positioned = true
		case 'C', 'E':
			complete = true
		case '1':
			e.conn.positionPrepared = true
		case 'T', 'N', 'S', 'A', '2':
		default:
			return errors.Newf("%w: type %q to position query", ErrUnexpected, raw[0])
		}
	}
}

// next reads one message; it is valid until the next call.
func (e *exchange) next(ctx context.Context) ([]byte, error) {
	reader := e.conn.net.reader

	for reader.Buffered() < headerSize {
		if err := e.wait(ctx, headerSize, func() error { _, err := reader.Peek(headerSize); return err }); err != nil {
			return nil, err
		}
	}

	header, err := reader.Peek(headerSize)
	if err != nil {
		return nil, errors.Newf("read message header: %w", err)
	}

	length := int64(binary.BigEndian.Uint32(header[1:])) + 1
	if length < headerSize {
		return nil, errors.Newf("%w: length %d", ErrUnexpected, length)
	}

	if length > int64(e.conn.limit) {
		return nil, errors.Newf("%w: %d bytes", ErrTooLarge, length)
	}

	return e.body(ctx, int(length))
}

func (e *exchange) body(ctx context.Context, length int) ([]byte, error) {
	if cap(e.conn.buffer) < length {
		e.conn.buffer = make([]byte, max(length, bufferSize))
	}

	raw := e.conn.buffer[:length]

	for have := 0; have < length; {
		err := e.wait(ctx, 1, func() error {
			n, err := e.conn.net.reader.Read(raw[have:])
			have += n

			return err
		})
		if err != nil {
			return nil, err
		}
	}

	return raw, nil
}

// wait calls read, which needs a number of buffered bytes, until it succeeds or Silent no longer accepts the silence.
func (e *exchange) wait(ctx context.Context, need int, read func() error) error {
	for silent := time.Duration(0); ; {
		if e.conn.net.reader.Buffered() < need {
			if err := e.arm(ctx); err != nil {
				return err
			}
		}

		err := read()
		if err == nil {
			return nil
		}

		if !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			e.conn.gone = !errors.Is(err, os.ErrDeadlineExceeded)

			return errors.Newf("read from upstream: %w", err)
		}

		silent += e.conn.progress

		if e.conn.Silent == nil {
			return ErrSilent
		}

		if err = e.conn.Silent(ctx, silent); err != nil {
			return errors.Newf("%w: %s", ErrSilent, err.Error())
		}
	}
}

// arm sets the progress deadline. The context is checked afterwards because its end sets a deadline in the past, which
// this call may have replaced.
func (e *exchange) arm(ctx context.Context) error {
	if err := e.conn.net.SetReadDeadline(time.Now().Add(e.conn.progress)); err != nil {
		return errors.Newf("set deadline: %w", err)
	}

	if err := ctx.Err(); err != nil {
		return errors.Newf("wait for upstream: %w", err)
	}

	return nil
}
