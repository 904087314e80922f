package labupstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"laburnumlock.dev/lab"
)

// appendPositionQuery appends the position query. Where nothing before it can have dropped prepared statements, it is prepared
// once and then executed by name, which saves its text of about 600 bytes with every poll and read.
func (e *exchange) appendPositionQuery(out []byte, prepared bool) ([]byte, error) {
	var messages []pgproto3.FrontendMessage

	switch {
	case !prepared:
		messages = []pgproto3.FrontendMessage{&pgproto3.Query{String: lab.PositionQuery}}
	case !e.conn.positionPrepared:
		messages = append(messages, &pgproto3.Parse{Name: positionStatementName, Query: lab.PositionQuery})

		fallthrough
	default:
		messages = append(messages, &pgproto3.Bind{PreparedStatement: positionStatementName}, &pgproto3.Execute{}, &pgproto3.Sync{})
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

// startSend writes small units at once and large ones in the background, because an upstream that answers while it
// still receives would otherwise block on a full socket. The channel yields the write's error.
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
