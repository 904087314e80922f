package labupstream

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

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
