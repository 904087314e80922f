package labupstream

import (
	"context"
	"encoding/binary"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

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
