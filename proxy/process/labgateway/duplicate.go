package labgateway

import (
	"context"
	"encoding/binary"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// duplicate is a lab.Transaction for a request whose idempotency key belongs to an earlier request that has run. It
// responds with the command tag of the earlier request and runs nothing on a member.
type duplicate struct {
	tag      string
	position lab.WALPosition // position of the primary that includes the earlier request's writes
	ended    bool
}

// Run writes a response to each message of the batch. The response has no rows.
func (d *duplicate) Run(_ context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	if d.ended {
		return lab.BatchResult{}, asNotRun(errTransactionEnded)
	}

	d.ended = true

	// A transaction block has several batches, but only its last command tag is recorded, which is COMMIT. The
	// responses to the other batches are not known.
	if d.tag == "COMMIT" {
		return lab.BatchResult{}, &lab.OutcomeError{
			Outcome: lab.OutcomeDuplicate, Reason: lab.ReasonDuplicate,
			Err: errors.New("the transaction was already committed under the same idempotency key"),
		}
	}

	out, err := d.respond(batch.Messages)
	if err != nil {
		return lab.BatchResult{}, err
	}

	if _, err = response.Write(out); err != nil {
		return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("write response: %w", err))
	}

	return lab.BatchResult{Status: 'I', Position: d.position}, nil
}

func (d *duplicate) respond(messages []byte) ([]byte, error) {
	var out []byte

	for len(messages) >= 5 {
		length := int(binary.BigEndian.Uint32(messages[1:])) + 1
		if length < 5 || length > len(messages) {
			break
		}

		for _, m := range d.responseTo(messages[0], messages[5:length]) {
			var err error
			if out, err = m.Encode(out); err != nil {
				return nil, errors.Newf("encode response: %w", err)
			}
		}

		messages = messages[length:]
	}

	return out, nil
}

// responseTo returns the response to one protocol message.
func (d *duplicate) responseTo(kind byte, body []byte) []pgproto3.BackendMessage {
	switch kind {
	case 'P':
		return []pgproto3.BackendMessage{&pgproto3.ParseComplete{}}
	case 'B':
		return []pgproto3.BackendMessage{&pgproto3.BindComplete{}}
	case 'C':
		return []pgproto3.BackendMessage{&pgproto3.CloseComplete{}}
	case 'D':
		if strings.HasPrefix(string(body), "S") {
			return []pgproto3.BackendMessage{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
		}

		return []pgproto3.BackendMessage{&pgproto3.NoData{}}
	case 'Q', 'E':
		return []pgproto3.BackendMessage{
			&pgproto3.NoticeResponse{
				Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: lab.SQLStateDuplicate,
				Message: "the request had run before under the same name",
			},
			&pgproto3.CommandComplete{CommandTag: []byte(d.tag)},
		}
	}

	return nil
}

// Cancel does nothing, because nothing runs on a member.
func (d *duplicate) Cancel() {}

// Close does nothing, because no connection is bound.
func (d *duplicate) Close() {}
