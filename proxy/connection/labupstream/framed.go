package labupstream

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerSize = 5        // bytes of the message type and the length field
	bufferSize = 16 << 10 // bytes
)

// framedConn is a connection on which a Read never crosses a message boundary. It keeps pgconn, which logs in on the
// connection, from reading messages that arrive after the ReadyForQuery of the login; Conn reads these.
type framedConn struct {
	net.Conn
	reader    *bufio.Reader
	remaining int // unread bytes of the current message
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{Conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
}

// Read reads from the current message, at most up to its end.
func (f *framedConn) Read(buffer []byte) (int, error) {
	if f.remaining == 0 {
		header, err := f.reader.Peek(headerSize)
		if err != nil {
			return 0, err
		}

		length := int(binary.BigEndian.Uint32(header[1:]))
		if length < headerSize-1 || length > DefaultMessageLimit {
			return 0, errors.Newf("message length %d is out of bounds", length)
		}

		f.remaining = 1 + length
	}

	if len(buffer) > f.remaining {
		buffer = buffer[:f.remaining]
	}

	n, err := f.reader.Read(buffer)
	f.remaining -= n

	return n, err
}

// Close closes the connection after abortTimeout at the latest. pgconn calls it when a login fails.
func (f *framedConn) Close() error {
	f.closeWithin(abortTimeout)

	return nil
}

// closeWithin waits until the upstream has closed its side, at the latest until the timeout, and then closes the
// connection. Until the upstream has closed its side, the connection counts against the upstream's connection limit.
func (f *framedConn) closeWithin(timeout time.Duration) {
	_ = f.SetDeadline(time.Now().Add(timeout))

	if closer, ok := f.Conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, f.Conn)
	}

	_ = f.Conn.Close()
}
