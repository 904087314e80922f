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
	errSlowReader = errors.New("caller does not read its answer")
)

// Interval at which a blocked writer asks how much of its answer is still buffered.
const (
	minPollInterval = time.Millisecond
	maxPollInterval = 50 * time.Millisecond
)

// clientCloseTimeout is how long a caller has to close its side after the last message.
const clientCloseTimeout = 500 * time.Millisecond

// connection is the socket of one caller.
type connection struct {
	listener *Listener
	socket   gnet.Conn
	session  *labsession.Session

	// Used by the event loop only.
	startedUp     bool
	closing       bool      // received bytes are dropped
	writeClosed   bool      // the sending direction is closed
	leastBuffered int       // fewest bytes buffered since leaving
	closeDeadline time.Time // when a leaving connection is closed

	lock       sync.Mutex
	writeLimit int // bytes queued and buffered above which Write blocks
	queued     int // bytes on the way to the event loop
	buffered   int // bytes that the event loop holds because the caller's socket is full
	closed     bool
}

func (c *connection) shard() *shard {
	const alignedBits = 7 // low bits of addresses are alike, as objects are aligned

	return &c.listener.shards[uintptr(unsafe.Pointer(c))>>alignedBits%shardCount]
}

// Send queues a message without waiting.
func (c *connection) Send(data []byte) {
	_ = c.queue(data)
}

// Write queues data and waits while too much is on its way to the caller.
func (c *connection) Write(data []byte) error {
	if err := c.queue(data); err != nil {
		return err
	}

	if unsent, limit := c.unsent(); unsent <= limit {
		return nil
	}

	return c.waitForSpace()
}

// SetWriteLimit sets the bytes above which Write blocks.
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

func (c *connection) unsent() (bytes, limit int) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.queued + c.buffered, c.writeLimit
}

// waitForSpace blocks until half of the limit is free, or fails when the caller makes no progress.
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

// refreshBuffered asks the event loop how much it still holds.
func (c *connection) refreshBuffered() {
	c.runOnLoop(func() {
		c.lock.Lock()
		defer c.lock.Unlock()

		c.buffered = c.socket.OutboundBuffered()
	})
}

// runOnLoop calls a function on the connection's event loop unless the connection is closed by then.
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

// Close closes the connection after what was queued before.
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

// advanceClose closes the sending direction when everything has been sent, and the connection when the caller has closed its
// side or takes too long. Closing at once would reset the connection while the caller still sends, and the reset can
// overtake the last message. It runs on the event loop.
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

// abort closes the connection without sending what is left.
func (c *connection) abort() {
	_ = c.socket.AsyncWrite(nil, func(s gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is closed already
		}

		return s.Close()
	})
}

// markClosed notes that the connection is closed.
func (c *connection) markClosed() {
	c.lock.Lock()
	defer c.lock.Unlock()

	c.closed = true
}
