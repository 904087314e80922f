package labupstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// appendPositionQuery appends the messages of the position query to out. If prepared is set, the query is prepared once
// and then executed by name, which saves sending its text of about 600 bytes with each probe and read. The caller sets
// prepared only if the preceding messages and the session can't have dropped the prepared statement.
func (e *exchange) appendPositionQuery(out []byte, prepared bool) ([]byte, error) {
	var messages []pgproto3.FrontendMessage

	switch {
	case !prepared:
		messages = []pgproto3.FrontendMessage{&pgproto3.Query{String: lab.PositionQuery}}
	case !e.conn.positionPrepared:
		messages = append(messages, &pgproto3.Parse{Name: positionStatementName, Query: lab.PositionQuery})

		fallthrough
	default:
		messages = append(messages,
			&pgproto3.Bind{PreparedStatement: positionStatementName}, &pgproto3.Execute{}, &pgproto3.Sync{})
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
	_ = e.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))

	n, err := e.conn.socket.Write(out)
	e.result.Sent = e.result.Sent || n > 0

	if err != nil {
		return errors.Newf("write to upstream: %w", err)
	}

	return nil
}

// startSend sends the messages of a batch. Batches of up to inlineWriteLimit bytes are written before it returns.
// Larger batches are written in the background while the caller reads the response: an upstream that responds before it
// has received the whole batch stops receiving when nobody reads its responses. The returned channel receives the error
// of the write, or nil.
func (e *exchange) startSend(out []byte) (<-chan error, error) {
	written := make(chan error, 1)

	if len(out) <= inlineWriteLimit {
		written <- nil

		return written, e.send(out)
	}

	e.result.Sent = true
	_ = e.conn.socket.SetWriteDeadline(time.Now().Add(writeTimeout))

	go func() {
		_, err := e.conn.socket.Write(out)
		if err != nil {
			err = errors.Newf("write to upstream: %w", err)
		}

		written <- err
	}()

	return written, nil
}
