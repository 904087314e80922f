package labupstream

import (
	"context"
	"encoding/binary"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// readMessage reads one message. The returned slice is valid until the next call.
func (e *exchange) readMessage(ctx context.Context) ([]byte, error) {
	reader := e.conn.socket.reader

	for reader.Buffered() < headerSize {
		if err := e.retryRead(ctx, headerSize, func() error { _, err := reader.Peek(headerSize); return err }); err != nil {
			return nil, err
		}
	}

	header, err := reader.Peek(headerSize)
	if err != nil {
		return nil, errors.Newf("read message header: %w", err)
	}

	length := int64(binary.BigEndian.Uint32(header[1:])) + 1
	if length < headerSize {
		return nil, errors.Newf("%w: invalid length %d", ErrUnexpected, length)
	}

	if length > int64(e.conn.messageLimit) {
		return nil, errors.Newf("%w: %d bytes", ErrTooLarge, length)
	}

	return e.readBody(ctx, int(length))
}

func (e *exchange) readBody(ctx context.Context, length int) ([]byte, error) {
	if cap(e.conn.buffer) < length {
		e.conn.buffer = make([]byte, max(length, bufferSize))
	}

	raw := e.conn.buffer[:length]

	for received := 0; received < length; {
		err := e.retryRead(ctx, 1, func() error {
			n, err := e.conn.socket.reader.Read(raw[received:])
			received += n

			return err
		})
		if err != nil {
			return nil, err
		}
	}

	return raw, nil
}

// retryRead calls read until it succeeds. Each time the progress timeout expires, it calls OnSilence, which decides
// whether to continue. The progress deadline is set only if fewer bytes are buffered than read needs.
func (e *exchange) retryRead(ctx context.Context, needed int, read func() error) error {
	for silence := time.Duration(0); ; {
		if e.conn.socket.reader.Buffered() < needed {
			if err := e.setProgressDeadline(ctx); err != nil {
				return err
			}
		}

		err := read()
		if err == nil {
			return nil
		}

		if !errors.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
			e.conn.closedByUpstream = !errors.Is(err, os.ErrDeadlineExceeded)

			return errors.Newf("read from upstream: %w", err)
		}

		silence += e.conn.progressTimeout

		if e.conn.OnSilence == nil {
			return ErrSilent
		}

		if err = e.conn.OnSilence(ctx, silence); err != nil {
			return errors.Newf("%w: %s", ErrSilent, err.Error())
		}
	}
}

// setProgressDeadline sets the read deadline to the end of the progress timeout. When the context ends, runGuarded sets
// a deadline in the past. This call may overwrite that deadline, so it checks the context afterwards.
func (e *exchange) setProgressDeadline(ctx context.Context) error {
	if err := e.conn.socket.SetReadDeadline(time.Now().Add(e.conn.progressTimeout)); err != nil {
		return errors.Newf("set read deadline: %w", err)
	}

	if err := ctx.Err(); err != nil {
		return errors.Newf("wait for upstream: %w", err)
	}

	return nil
}
