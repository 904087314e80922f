package labupstream

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// Idle reports whether the connection is open, unbroken and has nothing to read, without a round trip. A pooled
// connection that was closed by the upstream shows here and not after a unit was sent.
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

	// Control, unlike Read, does not fail on the deadline that the last unit left behind.
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte

		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})

	return err == nil && idle
}
