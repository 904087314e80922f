package labsession

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab/proxy/request/labframe"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// Types of upstream messages.
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
	writeChunk               = 16 << 10 // bytes collected before they are written to the caller
	maxWholeMessage          = 64 << 10 // bytes; a larger message is passed on in pieces
	initialBuffer            = 512      // bytes; most answers are shorter
	minimumMessageLength     = 4
)

var (
	errUpstreamMessage = errors.New("unexpected message from upstream")
	errLateResponse    = errors.New("answer came after the end of its unit")
)

// responseWriter turns the upstream's messages into the caller's: it adds the messages that the session owes, leaves out those
// of statements that the session added, and passes on the rest. It implements io.Writer.
type responseWriter struct {
	session          *Session
	steps            []responseStep
	prefixLength     int    // characters put before the caller's text
	buffer           []byte // whole messages not yet written
	partial          []byte // start of a message
	forwardRemaining int    // bytes left of a message passed on in pieces
	skipRemaining    bool   // those bytes are left out
	written          bool   // something was written to the caller
	failed           bool   // an ErrorResponse was passed on
	sqlState         string // its SQLSTATE
	prefixRan        bool   // the first statement that the session added was run
	rolledBack       bool   // a ROLLBACK ended a transaction
	settingChanges   []settingChange
	committed        bool // a COMMIT ended a transaction

	done          atomic.Bool // the run that this answers has ended
	preparedNames []string    // the caller's names of statements whose Parse succeeded
}

// Write takes upstream messages, cut anywhere.
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

// consume handles the first message in p, or a piece of one, and returns how many bytes it used.
func (w *responseWriter) consume(p []byte) (int, error) {
	if w.forwardRemaining > 0 {
		n := min(w.forwardRemaining, len(p))
		w.forwardRemaining -= n
		w.forward(p[:n], w.skipRemaining)

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
		w.forwardRemaining, w.skipRemaining = size, w.inHiddenStatement()

		return 0, nil
	}

	w.partial = append(w.partial, p...)

	return len(p), nil
}

// completePartial adds to a message of which only the start was received.
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

func messageSize(p []byte) (int, error) {
	length := int32(binary.BigEndian.Uint32(p[1:]))
	if length < minimumMessageLength {
		return 0, errors.Newf("%w: type %q with length %d", errUpstreamMessage, p[0], length)
	}

	return int(length) + 1, nil
}

// handleMessage handles one whole message.
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

// inHiddenStatement reports whether the statement that is being answered is one that the session added.
func (w *responseWriter) inHiddenStatement() bool {
	return len(w.steps) > 0 && w.steps[0].kind == stepHidden
}

func (w *responseWriter) forward(m []byte, skip bool) {
	if skip {
		return
	}

	if w.buffer == nil {
		w.buffer = make([]byte, 0, max(initialBuffer, min(len(m), writeChunk)))
	}

	w.buffer = append(w.buffer, m...)
}

// advance handles a message that answers a step.
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

func (w *responseWriter) popStep() {
	w.prefixRan = w.prefixRan || w.steps[0].kind == stepHidden

	if w.steps[0].isParse {
		w.preparedNames = append(w.preparedNames, w.steps[0].statementName)
	}

	w.steps = w.steps[1:]
}

// writeInserted writes the messages that the session owes next.
func (w *responseWriter) writeInserted() {
	for len(w.steps) > 0 && w.steps[0].kind == stepInsert {
		w.forward(w.steps[0].message, false)
		w.popStep()
	}
}

// recordExecuted records what a finished statement did to the session.
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

// correctPosition corrects the position in an error for the text that the session put before the caller's.
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

// flush writes what was collected to the caller.
func (w *responseWriter) flush() error {
	if len(w.buffer) == 0 {
		return nil
	}

	out := w.buffer
	w.buffer, w.written = nil, true

	return w.session.write(out)
}

// discardUnwritten drops what the caller has not got of a failed answer. It returns false when the caller got a part of a message
// that can't be completed.
func (w *responseWriter) discardUnwritten() bool {
	if !w.written || w.forwardRemaining > 0 {
		w.buffer = nil
	}

	return !w.written || w.forwardRemaining == 0 || w.skipRemaining
}
