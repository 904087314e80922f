package labsession

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Types of upstream messages, and buffer sizes of responses.
const (
	typeParseComplete        = '1'
	typeBindComplete         = '2'
	typeCloseComplete        = '3'
	typeCommandComplete      = 'C'
	typeDataRow              = 'D'
	typeErrorResponse        = 'E'
	typeEmptyQuery           = 'I'
	typeNotice               = 'N'
	typeNotification         = 'A'
	typeParameterStatus      = 'S'
	typePortalSuspended      = 's'
	typeRowDescription       = 'T'
	typeNoData               = 'n'
	typeParameterDescription = 't'
	typeReadyForQuery        = 'Z'
	typeCopyIn               = 'G'
	typeCopyOut              = 'H'
	typeCopyBoth             = 'W'
	writeChunk               = 16 << 10 // bytes; a buffer that has reached this size is written to the client
	maxWholeMessage          = 64 << 10 // bytes; a larger data row is forwarded in pieces
	initialBuffer            = 512      // bytes; enough for most responses
	minimumMessageLength     = 4        // bytes; the value of a length field includes the field itself
)

var (
	errUpstreamMessage = errors.New("unexpected message from upstream")
	errLateResponse    = errors.New("upstream data received after the end of its batch")
)

// responseWriter converts the upstream's response to a batch into the response to the client. It inserts responses to
// the messages that were not sent upstream, drops the responses to the statements that the session prepended, and
// forwards the rest. It implements io.Writer.
type responseWriter struct {
	session          *Session
	steps            []responseStep  // remaining expected parts of the response
	prefixLength     int             // number of characters that the session prepended to the client's query text
	buffer           []byte          // complete messages not yet written to the client
	partial          []byte          // received part of a message that is not yet complete
	messageRemaining int             // bytes not yet received of a large message, which is passed to forward in pieces
	skipPieces       bool            // forward must skip the pieces, which respond to a prepended statement
	written          bool            // a part of the response was written to the client
	failed           bool            // an ErrorResponse was forwarded
	sqlState         string          // SQLSTATE of the forwarded ErrorResponse
	prefixExecuted   bool            // at least one of the prepended statements has completed
	rolledBack       bool            // a ROLLBACK ended a transaction
	settingChanges   []settingChange // changes by SET and RESET statements that have run
	committed        bool            // a COMMIT ended a transaction

	done        atomic.Bool // the batch has ended; further upstream data is rejected
	parsedNames []string    // client's names of the statements whose Parse succeeded
}

// Write handles upstream messages. They may be split between calls at any byte.
func (w *responseWriter) Write(p []byte) (int, error) {
	size := len(p)

	if w.done.Load() {
		w.session.server.Counters.LateResponses.Add(1)

		return 0, errLateResponse
	}

	for len(p) > 0 {
		n, err := w.consume(p)
		if err != nil {
			return 0, err
		}

		p = p[n:]

		if len(w.buffer) >= writeChunk {
			if err := w.flush(); err != nil {
				return 0, err
			}
		}
	}

	return size, nil
}

// consume handles the first message in p, or a part of it, and returns the number of bytes consumed.
func (w *responseWriter) consume(p []byte) (int, error) {
	if w.messageRemaining > 0 {
		n := min(w.messageRemaining, len(p))
		w.messageRemaining -= n
		w.forward(p[:n], w.skipPieces)

		return n, nil
	}

	if len(w.partial) > 0 {
		return w.completePartial(p)
	}

	if len(p) < labframe.HeaderSize {
		w.partial = append(w.partial, p...)

		return len(p), nil
	}

	size, err := messageSize(p)
	if err != nil {
		return 0, err
	}

	if len(p) >= size {
		return size, w.handleMessage(p[:size])
	}

	if size > maxWholeMessage && p[0] == typeDataRow {
		w.messageRemaining, w.skipPieces = size, w.inHiddenStatement()

		return 0, nil
	}

	w.partial = append(w.partial, p...)

	return len(p), nil
}

// completePartial appends to an incomplete message and handles the message once it is complete.
func (w *responseWriter) completePartial(p []byte) (int, error) {
	need := labframe.HeaderSize

	if len(w.partial) >= need {
		size, err := messageSize(w.partial)
		if err != nil {
			return 0, err
		}

		need = size
	}

	n := min(need-len(w.partial), len(p))
	w.partial = append(w.partial, p[:n]...)

	if len(w.partial) < labframe.HeaderSize {
		return n, nil
	}

	size, err := messageSize(w.partial)
	if err != nil || len(w.partial) < size {
		return n, err
	}

	m := w.partial
	w.partial = nil

	return n, w.handleMessage(m)
}

// messageSize returns the size of a message including its type byte.
func messageSize(p []byte) (int, error) {
	length := int32(binary.BigEndian.Uint32(p[1:]))
	if length < minimumMessageLength {
		return 0, errors.Newf("%w: type %q with length %d", errUpstreamMessage, p[0], length)
	}

	return int(length) + 1, nil
}

// handleMessage handles one complete message.
func (w *responseWriter) handleMessage(m []byte) error {
	switch m[0] {
	case typeDataRow:
		w.forward(m, w.inHiddenStatement())
	case typeNotice, typeNotification:
		w.forward(m, false)
	case typeParameterStatus:
		w.forward(m, w.inHiddenStatement())
	case typeErrorResponse:
		w.failed, w.steps, w.sqlState = true, nil, sqlState(m)
		w.forward(w.correctPosition(m), false)
	case typeReadyForQuery, typeCopyIn, typeCopyOut, typeCopyBoth:
		return errors.Newf("%w: type %q", errUpstreamMessage, m[0])
	default:
		w.advance(m)
	}

	return nil
}

// inHiddenStatement reports whether the current messages respond to a statement that the session prepended.
func (w *responseWriter) inHiddenStatement() bool {
	return len(w.steps) > 0 && w.steps[0].kind == stepHidden
}

// forward appends a message to the buffer unless skip is set.
func (w *responseWriter) forward(m []byte, skip bool) {
	if skip {
		return
	}

	if w.buffer == nil {
		w.buffer = make([]byte, 0, max(initialBuffer, min(len(m), writeChunk)))
	}

	w.buffer = append(w.buffer, m...)
}

// advance handles a message of the current step and moves to the next step after the last message of a step.
func (w *responseWriter) advance(m []byte) {
	w.writeInserted()

	if len(w.steps) == 0 {
		w.forward(m, false)

		return
	}

	head := w.steps[0]
	last := true

	if head.kind == stepHidden || head.kind == stepExecute {
		last = m[0] == typeCommandComplete || m[0] == typeEmptyQuery || m[0] == typePortalSuspended
	}

	w.forward(m, head.kind == stepHidden || head.kind == stepDrop)

	if !last {
		return
	}

	if head.kind == stepExecute && m[0] == typeCommandComplete {
		w.recordExecuted(head.statement, m)
	}

	w.popStep()
	w.writeInserted()
}

// popStep removes the current step and records whether it completed a prepended statement or a Parse message.
func (w *responseWriter) popStep() {
	w.prefixExecuted = w.prefixExecuted || w.steps[0].kind == stepHidden

	if w.steps[0].isParse {
		w.parsedNames = append(w.parsedNames, w.steps[0].statementName)
	}

	w.steps = w.steps[1:]
}

// writeInserted buffers the messages that the session inserts before the next upstream message.
func (w *responseWriter) writeInserted() {
	for len(w.steps) > 0 && w.steps[0].kind == stepInsert {
		w.forward(w.steps[0].message, false)
		w.popStep()
	}
}

// recordExecuted records the effect of a completed statement on the session.
func (w *responseWriter) recordExecuted(s labstatement.Statement, complete []byte) {
	switch s.Kind() {
	case labstatement.Set:
		if !s.Setting().Local {
			w.settingChanges = append(w.settingChanges, settingChange{setting: s.Setting(), text: s.Text()})
		}
	case labstatement.Commit, labstatement.Rollback:
		var c pgproto3.CommandComplete
		if c.Decode(complete[labframe.HeaderSize:]) == nil && string(c.CommandTag) == "COMMIT" {
			w.committed = true
		} else {
			w.rolledBack, w.settingChanges = true, nil
		}
	}
}

// correctPosition subtracts the length of the prepended text from the position in an error message.
func (w *responseWriter) correctPosition(m []byte) []byte {
	if w.prefixLength == 0 {
		return m
	}

	var e pgproto3.ErrorResponse
	if e.Decode(m[labframe.HeaderSize:]) != nil || e.Position == 0 {
		return m
	}

	e.Position = max(e.Position-int32(w.prefixLength), 0)

	return encode(&e)
}

// sqlState returns the SQLSTATE of an ErrorResponse.
func sqlState(m []byte) string {
	for body := m[labframe.HeaderSize:]; len(body) > 1; {
		value, rest, ok := cutString(body[1:])
		if !ok || body[0] == 'C' {
			return value
		}

		body = rest
	}

	return ""
}

// flush writes the buffered messages to the client.
func (w *responseWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}

	out := w.buffer
	w.buffer, w.written = nil, true

	return w.session.write(out)
}

// discardUnwritten is called when a batch has failed. It drops the buffer if nothing of the response was written to the
// client, or if the buffer ends within a message. It returns false if the client has received only a part of a message,
// which can't be completed any more.
func (w *responseWriter) discardUnwritten() bool {
	if !w.written || w.messageRemaining > 0 {
		w.buffer = nil
	}

	return !w.written || w.messageRemaining == 0 || w.skipPieces
}
