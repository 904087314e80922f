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
	typeParseComplete    = '1'
	typeBindComplete     = '2'
	typeCloseComplete    = '3'
	typeCommandComplete  = 'C'
	typeDataRow          = 'D'
	typeErrorResponse    = 'E'
	typeEmptyQuery       = 'I'
	typeNotice           = 'N'
	typeNotification     = 'A'
	typeParameterStatus  = 'S'
	typePortalSuspended  = 's'
	typeRowDescription   = 'T'
	typeNoData           = 'n'
	typeParameters       = 't'
	typeReadyForQuery    = 'Z'
	typeCopyIn           = 'G'
	typeCopyOut          = 'H'
	typeCopyBoth         = 'W'
	answerChunk          = 16 << 10 // bytes collected before they are written to the caller
	wholeMessage         = 64 << 10 // bytes; a larger message is passed on in pieces
	answerInitial        = 512      // bytes; most answers are shorter
	minimumMessageLength = 4
)

var (
	errUpstreamMessage = errors.New("unexpected message from upstream")
	errLate            = errors.New("answer came after the end of its unit")
)

// answer turns the upstream's messages into the caller's: it adds the messages that the session owes, leaves out those
// of statements that the session added, and passes on the rest. It implements io.Writer.
type answer struct {
	session *Session
	steps   []step
	shift   int    // characters put before the caller's text
	buffer  []byte // whole messages not yet written
	partial []byte // start of a message
	through int    // bytes left of a message passed on in pieces
	skip    bool   // those bytes are left out
	written bool   // something was written to the caller
	failed  bool   // an ErrorResponse was passed on
	code    string // its SQLSTATE
	began   bool   // the first statement that the session added was run
	rolled  bool   // a ROLLBACK ended a transaction
	changes []change
	commits bool // a COMMIT ended a transaction

	done      atomic.Bool // the run that this answers has ended
	confirmed []string    // the caller's names of statements whose Parse succeeded
}

// Write takes upstream messages, cut anywhere.
func (a *answer) Write(p []byte) (int, error) {
	size := len(p)

	if a.done.Load() {
		a.session.server.Counters.LateAnswers.Add(1)

		return 0, errLate
	}

	for len(p) > 0 {
		n, err := a.take(p)
		if err != nil {
			return 0, err
		}

		p = p[n:]

		if len(a.buffer) >= answerChunk {
			if err := a.flush(); err != nil {
				return 0, err
			}
		}
	}

	return size, nil
}

// take handles the first message in p, or a piece of one, and returns how many bytes it used.
func (a *answer) take(p []byte) (int, error) {
	if a.through > 0 {
		n := min(a.through, len(p))
		a.through -= n
		a.pass(p[:n], a.skip)

		return n, nil
	}

	if len(a.partial) > 0 {
		return a.complete(p)
	}

	if len(p) < labframe.HeaderSize {
		a.partial = append(a.partial, p...)

		return len(p), nil
	}

	size, err := messageSize(p)
	if err != nil {
		return 0, err
	}

	if len(p) >= size {
		return size, a.message(p[:size])
	}

	if size > wholeMessage && p[0] == typeDataRow {
		a.through, a.skip = size, a.hides()

		return 0, nil
	}

	a.partial = append(a.partial, p...)

	return len(p), nil
}

// complete adds to a message of which only the start was received.
func (a *answer) complete(p []byte) (int, error) {
	need := labframe.HeaderSize

	if len(a.partial) >= need {
		size, err := messageSize(a.partial)
		if err != nil {
			return 0, err
		}

		need = size
	}

	n := min(need-len(a.partial), len(p))
	a.partial = append(a.partial, p[:n]...)

	if len(a.partial) < labframe.HeaderSize {
		return n, nil
	}

	size, err := messageSize(a.partial)
	if err != nil || len(a.partial) < size {
		return n, err
	}

	m := a.partial
	a.partial = nil

	return n, a.message(m)
}

func messageSize(p []byte) (int, error) {
	length := int32(binary.BigEndian.Uint32(p[1:]))
	if length < minimumMessageLength {
		return 0, errors.Newf("%w: type %q with length %d", errUpstreamMessage, p[0], length)
	}

	return int(length) + 1, nil
}

// message handles one whole message.
func (a *answer) message(m []byte) error {
	switch m[0] {
	case typeDataRow:
		a.pass(m, a.hides())
	case typeNotice, typeNotification:
		a.pass(m, false)
	case typeParameterStatus:
		a.pass(m, a.hides())
	case typeErrorResponse:
		a.failed, a.steps, a.code = true, nil, sqlState(m)
		a.pass(a.unshift(m), false)
	case typeReadyForQuery, typeCopyIn, typeCopyOut, typeCopyBoth:
		return errors.Newf("%w: type %q", errUpstreamMessage, m[0])
	default:
		a.advance(m)
	}

	return nil
}

// hides reports whether the statement that is being answered is one that the session added.
func (a *answer) hides() bool {
	return len(a.steps) > 0 && a.steps[0].kind == stepHidden
}

func (a *answer) pass(m []byte, skip bool) {
	if skip {
		return
	}

	if a.buffer == nil {
		a.buffer = make([]byte, 0, max(answerInitial, min(len(m), answerChunk)))
	}

	a.buffer = append(a.buffer, m...)
}

// advance handles a message that answers a step.
func (a *answer) advance(m []byte) {
	a.add()

	if len(a.steps) == 0 {
		a.pass(m, false)

		return
	}

	head := a.steps[0]
	last := true

	if head.kind == stepHidden || head.kind == stepExecute {
		last = m[0] == typeCommandComplete || m[0] == typeEmptyQuery || m[0] == typePortalSuspended
	}

	a.pass(m, head.kind == stepHidden || head.kind == stepDrop)

	if !last {
		return
	}

	if head.kind == stepExecute && m[0] == typeCommandComplete {
		a.executed(head.statement, m)
	}

	a.pop()
	a.add()
}

func (a *answer) pop() {
	a.began = a.began || a.steps[0].kind == stepHidden

	if a.steps[0].parses {
		a.confirmed = append(a.confirmed, a.steps[0].name)
	}

	a.steps = a.steps[1:]
}

// add writes the messages that the session owes next.
func (a *answer) add() {
	for len(a.steps) > 0 && a.steps[0].kind == stepAdd {
		a.pass(a.steps[0].message, false)
		a.pop()
	}
}

// executed records what a finished statement did to the session.
func (a *answer) executed(s labstatement.Statement, complete []byte) {
	switch s.Kind() {
	case labstatement.Set:
		if !s.Setting().Local {
			a.changes = append(a.changes, change{setting: s.Setting(), text: s.Text()})
		}
	case labstatement.Commit, labstatement.Rollback:
		var c pgproto3.CommandComplete
		if c.Decode(complete[labframe.HeaderSize:]) == nil && string(c.CommandTag) == "COMMIT" {
			a.commits = true
		} else {
			a.rolled, a.changes = true, nil
		}
	}
}

// unshift corrects the position in an error for the text that the session put before the caller's.
func (a *answer) unshift(m []byte) []byte {
	if a.shift == 0 {
		return m
	}

	var e pgproto3.ErrorResponse
	if e.Decode(m[labframe.HeaderSize:]) != nil || e.Position == 0 {
		return m
	}

	e.Position = max(e.Position-int32(a.shift), 0)

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
func (a *answer) flush() error {
	if len(a.buffer) == 0 {
		return nil
	}

	out := a.buffer
	a.buffer, a.written = nil, true

	return a.session.write(out)
}

// abort drops what the caller has not got of a failed answer. It returns false when the caller got a part of a message
// that can't be completed.
func (a *answer) abort() bool {
	if !a.written || a.through > 0 {
		a.buffer = nil
	}

	return !a.written || a.through == 0 || a.skip
}
