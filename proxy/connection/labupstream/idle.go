package labupstream

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// Idle reports, without a round trip, whether the connection is open, not broken and has no unread bytes. A pool calls
// it before it reuses a connection: if the upstream has closed the connection in the meantime, this must be detected
// before a batch is sent.
func (c *Conn) Idle() bool {
	if c.broken.Load() || c.socket.reader.Buffered() > 0 {
		return false
	}

	conn, ok := c.socket.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}

	idle := false

	// Control is used because Read would fail when the deadline set by the last batch has expired.
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte

		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})

	return err == nil && idle
}
