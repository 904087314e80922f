package labfront

import (
	"context"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"

	"laburnumlock.dev/lab/proxy/connection/labsession"
)

var (
	errClosed     = errors.New("connection is closed")
	errSlowReader = errors.New("client does not read its response")
)

// Intervals at which a blocked Write checks how many bytes are still unsent. The interval doubles after each check, up
// to the maximum.
const (
	minPollInterval = time.Millisecond
	maxPollInterval = 50 * time.Millisecond
)

// clientCloseTimeout is the time after the last sent byte within which the client must close its side.
const clientCloseTimeout = 500 * time.Millisecond

// connection is one client connection. It implements labsession.Conn.
type connection struct {
	listener *Listener
	socket   gnet.Conn
	session  *labsession.Session

	// Fields that only the event loop uses.
	authenticated bool      // the startup is complete
	closing       bool      // Close was called; received bytes are discarded
	writeClosed   bool      // the sending direction of the socket is closed
	leastBuffered int       // smallest number of buffered bytes observed since Close
	closeDeadline time.Time // time at which a closing connection is closed unless it makes progress

	lock       sync.Mutex
	writeLimit int  // number of queued and buffered bytes above which Write blocks
	queued     int  // bytes passed to AsyncWrite that the event loop has not handled yet
	buffered   int  // bytes that the event loop holds because the socket's send buffer is full
	closed     bool // gnet has closed the socket
}

func (c *connection) shard() *shard {
	const alignedBits = 7 // the low bits of addresses are equal because objects are aligned

	return &c.listener.shards[uintptr(unsafe.Pointer(c))>>alignedBits%shardCount]
}

// Send queues a message without blocking.
func (c *connection) Send(data []byte) {
	_ = c.queue(data)
}

// Write queues data. If the unsent bytes then exceed the write limit, it blocks until they are at most half of the
// limit.
func (c *connection) Write(data []byte) error {
	if err := c.queue(data); err != nil {
		return err
	}

	if unsent, limit := c.unsent(); unsent <= limit {
		return nil
	}

	return c.waitForSpace()
}

// SetWriteLimit sets the number of unsent bytes above which Write blocks.
func (c *connection) SetWriteLimit(bytes int) {
	c.lock.Lock()
	defer c.lock.Unlock()

	c.writeLimit = bytes
}

func (c *connection) queue(data []byte) error {
	c.lock.Lock()
	if c.closed {
		c.lock.Unlock()

		return errClosed
	}

	c.queued += len(data)
	c.lock.Unlock()

	c.listener.Counters.BytesOut.Add(int64(len(data)))

	err := c.socket.AsyncWrite(data, func(s gnet.Conn, err error) error {
		buffered := 0
		if err == nil {
			buffered = s.OutboundBuffered()
		}

		c.lock.Lock()
		defer c.lock.Unlock()

		c.queued -= len(data)
		c.buffered = buffered

		return nil
	})
	if err != nil {
		return errors.Newf("queue write: %w", err)
	}

	return nil
}

// unsent returns the number of queued and buffered bytes, and the write limit.
func (c *connection) unsent() (bytes, limit int) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.queued + c.buffered, c.writeLimit
}

// waitForSpace blocks until the unsent bytes are at most half of the write limit. It aborts the connection and returns
// an error when the client has read nothing for longer than the progress deadline.
func (c *connection) waitForSpace() error {
	leastUnsent, limit := c.unsent()
	progressAt := time.Now()

	for poll := minPollInterval; ; poll = min(2*poll, maxPollInterval) {
		time.Sleep(poll)
		c.refreshBuffered()

		c.lock.Lock()
		unsent, closed := c.queued+c.buffered, c.closed
		c.lock.Unlock()

		switch {
		case closed:
			return errClosed
		case unsent <= limit/2:
			return nil
		case unsent < leastUnsent:
			leastUnsent, progressAt = unsent, time.Now()
		case time.Since(progressAt) > c.listener.ProgressDeadline:
			c.listener.Counters.SlowReaders.Add(1)
			c.abort()

			return errSlowReader
		}
	}
}

// refreshBuffered schedules an update of c.buffered on the event loop.
func (c *connection) refreshBuffered() {
	c.runOnLoop(func() {
		c.lock.Lock()
		defer c.lock.Unlock()

		c.buffered = c.socket.OutboundBuffered()
	})
}

// runOnLoop schedules a call on the connection's event loop. The call is skipped if the connection is closed by then.
func (c *connection) runOnLoop(call func()) {
	_ = c.socket.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		c.lock.Lock()
		closed := c.closed
		c.lock.Unlock()

		if !closed {
			call()
		}

		return nil
	}))
}

// Close closes the connection after the previously queued data has been sent. It does not wait for this.
func (c *connection) Close() {
	_ = c.socket.AsyncWrite(nil, func(_ gnet.Conn, err error) error {
		if err == nil && !c.closing {
			c.closing = true
			c.leastBuffered = c.socket.OutboundBuffered()
			c.closeDeadline = time.Now().Add(c.listener.ProgressDeadline)
			c.shard().markClosing(c)
			c.advanceClose()
		}

		return nil
	})
}

// advanceClose continues the close of a connection; it runs on the event loop. It closes the sending direction when
// everything has been sent, and the whole connection when the close deadline has passed. The connection is closed
// earlier when the client closes its side. If both directions were closed at once while the client still sends, the
// connection would be reset, and the reset can overtake the last message.
func (c *connection) advanceClose() {
	buffered, now := c.socket.OutboundBuffered(), time.Now()

	switch {
	case buffered == 0 && !c.writeClosed:
		c.writeClosed = true
		c.closeDeadline = now.Add(clientCloseTimeout)
		_ = syscall.Shutdown(c.socket.Fd(), syscall.SHUT_WR)
	case buffered > 0 && buffered < c.leastBuffered:
		c.leastBuffered = buffered
		c.closeDeadline = now.Add(c.listener.ProgressDeadline)
	case now.After(c.closeDeadline):
		_ = c.socket.Close()
	}
}

// abort closes the connection without sending the queued and buffered bytes.
func (c *connection) abort() {
	_ = c.socket.AsyncWrite(nil, func(s gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is closed already
		}

		return s.Close()
	})
}

// markClosed records that the connection is closed.
func (c *connection) markClosed() {
	c.lock.Lock()
	defer c.lock.Unlock()

	c.closed = true
}
