package labupstream

import (
	"bytes"
	"context"
	"strings"

	"github.com/cockroachdb/errors"
)

// readBatch reads the response to the batch up to and including ReadyForQuery.
func (e *exchange) readBatch(ctx context.Context) error {
	for {
		raw, err := e.readMessage(ctx)
		if err != nil {
			return err
		}

		if raw[0] == 'Z' {
			return e.finishBatch(raw)
		}

		if err = e.handleMessage(raw); err != nil {
			return err
		}
	}
}

func (e *exchange) finishBatch(raw []byte) error {
	if err := e.handleReadyForQuery(raw); err != nil {
		return err
	}

	e.result.Status = e.conn.status

	return nil
}

func (e *exchange) handleReadyForQuery(raw []byte) error {
	if len(raw) != headerSize+1 || !strings.ContainsRune("ITE", rune(raw[headerSize])) {
		return errors.Newf("%w: malformed ReadyForQuery", ErrUnexpected)
	}

	e.conn.status = raw[headerSize]

	return nil
}

func (e *exchange) handleMessage(raw []byte) error {
	switch raw[0] {
	case '1':
		return e.handleParseComplete(raw)
	case '3':
		return e.handleCloseComplete(raw)
	case 'E':
		e.recordError(raw)
	case 'C':
		e.recordCompletion(raw)
	case 'A':
		return nil // NotificationResponse: LISTEN is not supported on pooled connections
	default:
		if !strings.ContainsRune(forwardedTypes, rune(raw[0])) {
			return errors.Newf("%w: type %q", ErrUnexpected, raw[0])
		}
	}

	return e.forward(raw)
}

func (e *exchange) handleParseComplete(raw []byte) error {
	if len(e.plan.parses) == 0 {
		return errors.Newf("%w: ParseComplete without Parse", ErrUnexpected)
	}

	p := e.plan.parses[0]
	e.plan.parses = e.plan.parses[1:]

	if p.name != "" {
		e.conn.statements[p.name] = p.key
	}

	if p.injected {
		return nil
	}

	return e.forward(raw)
}

func (e *exchange) handleCloseComplete(raw []byte) error {
	if len(e.plan.closes) == 0 {
		return errors.Newf("%w: CloseComplete without Close", ErrUnexpected)
	}

	c := e.plan.closes[0]
	e.plan.closes = e.plan.closes[1:]

	if c.isStatement {
		delete(e.conn.statements, c.name)
	}

	if c.injected {
		return nil
	}

	return e.forward(raw)
}

func (e *exchange) recordError(raw []byte) {
	if e.result.SQLState == "" {
		e.result.SQLState = errorField(raw[headerSize:], 'C')
	}
}

func (e *exchange) recordCompletion(raw []byte) {
	e.result.CommandTag = cString(raw[headerSize:])
	e.result.CompletedCommands++

	e.withholding = e.withholding || e.withholdCompletion

	if strings.HasPrefix(e.result.CommandTag, "COMMIT") || strings.HasPrefix(e.result.CommandTag, "PREPARE TRANSACTION") {
		e.result.Committed = true
	}
}

// errorField returns one field of the body of an ErrorResponse, or an empty string when the field is missing.
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

// forward adds a message to the withheld part of the response, or to the pending part, which is written to the client
// when it has reached bufferSize.
func (e *exchange) forward(raw []byte) error {
	if e.withholding && len(e.result.Withheld) < withholdLimit {
		e.result.Withheld = append(e.result.Withheld, raw...)

		return nil
	}

	e.pending = append(append(e.pending, e.result.Withheld...), raw...)
	e.result.Withheld, e.withholding, e.withholdCompletion = nil, false, false

	if len(e.pending) < bufferSize {
		return nil
	}

	return e.flush()
}

func (e *exchange) flush() error {
	if len(e.pending) == 0 {
		return nil
	}

	e.result.Forwarded = true

	_, err := e.response.Write(e.pending)
	e.pending = e.pending[:0]

	if err != nil {
		return errors.Newf("forward response: %w", err)
	}

	return nil
}

// readPosition reads the response to the position query. In a failed transaction the response is an ErrorResponse, and
// the result has no position.
func (e *exchange) readPosition(ctx context.Context) error {
	for complete := false; ; {
		raw, err := e.readMessage(ctx)
		if err != nil {
			return errors.Newf("read position: %w", err)
		}

		switch raw[0] {
		case 'Z':
			if !complete {
				return errors.Newf("%w: ReadyForQuery before the end of the position query", ErrUnexpected)
			}

			return e.handleReadyForQuery(raw)
		case 'D':
			if e.result.Position, err = parsePosition(raw[headerSize:]); err != nil {
				return errors.Newf("%w: %s", ErrUnexpected, err.Error())
			}

			e.result.HasPosition = true
		case 'C', 'E':
			complete = true
		case '1':
			e.conn.positionPrepared = true
		case 'T', 'N', 'S', 'A', '2':
		default:
			return errors.Newf("%w: type %q in the response to the position query", ErrUnexpected, raw[0])
		}
	}
}
