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
	headerSize = 5 // message type and length
	bufferSize = 16 << 10
)

// framedConn returns at most the rest of one message from each Read, so that the login reads nothing beyond the
// ReadyForQuery that ends it.
type framedConn struct {
	net.Conn
	reader    *bufio.Reader
	remaining int
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{Conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
}

// Read reads from the current message only.
func (f *framedConn) Read(buffer []byte) (int, error) {
	if f.remaining == 0 {
		header, err := f.reader.Peek(headerSize)
		if err != nil {
			return 0, err
		}

		length := int(binary.BigEndian.Uint32(header[1:]))
		if length < headerSize-1 || length > DefaultMessageLimit {
			return 0, errors.Newf("message length %d out of bounds", length)
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

// Close ends a login that failed.
func (f *framedConn) Close() error {
	f.closeWithin(abortTimeout)

	return nil
}

// closeWithin closes the connection, after giving the upstream some time to close its side first: until then it counts the
// connection against its limit.
func (f *framedConn) closeWithin(timeout time.Duration) {
	_ = f.SetDeadline(time.Now().Add(timeout))

	if closer, ok := f.Conn.(interface{ CloseWrite() error }); ok && closer.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, f.Conn)
	}

	_ = f.Conn.Close()
}
