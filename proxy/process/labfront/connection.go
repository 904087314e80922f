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
	errClosed = errors.New("connection is closed")
	errSlow   = errors.New("caller does not read its answer")
)

// Interval at which a blocked writer asks how much of its answer is still buffered.
const (
	firstPoll = time.Millisecond
	pollLimit = 50 * time.Millisecond
)

// lingerLimit is how long a caller has to close its side after the last message.
const lingerLimit = 500 * time.Millisecond

// connection is the socket of one caller.
type connection struct {
	front   *Front
	socket  gnet.Conn
	session *labsession.Session

	// Used by the event loop only.
	ready   bool
	leaving bool      // received bytes are dropped
	shut    bool      // the sending direction is closed
	least   int       // fewest bytes buffered since leaving
	until   time.Time // when a leaving connection is closed

	lock     sync.Mutex
	limit    int // bytes queued and buffered above which Write blocks
	queued   int // bytes on the way to the event loop
	buffered int // bytes that the event loop holds because the caller's socket is full
	closed   bool
}

func (c *connection) shard() *shard {
	const skip = 7 // low bits of addresses are alike, as objects are aligned

	return &c.front.shards[uintptr(unsafe.Pointer(c))>>skip%shardCount]
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

	if outstanding, limit := c.outstanding(); outstanding <= limit {
		return nil
	}

	return c.wait()
}

// SetWriteLimit sets the bytes above which Write blocks.
func (c *connection) SetWriteLimit(bytes int) {
	c.lock.Lock()
	defer c.lock.Unlock()

	c.limit = bytes
}

func (c *connection) queue(data []byte) error {
	c.lock.Lock()
	if c.closed {
		c.lock.Unlock()

		return errClosed
	}

	c.queued += len(data)
	c.lock.Unlock()

	c.front.Counters.BytesOut.Add(int64(len(data)))

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

func (c *connection) outstanding() (bytes, limit int) {
	c.lock.Lock()
	defer c.lock.Unlock()

	return c.queued + c.buffered, c.limit
}

// wait blocks until half of the limit is free, or fails when the caller makes no progress.
func (c *connection) wait() error {
	least, limit := c.outstanding()
	progress := time.Now()

	for poll := firstPoll; ; poll = min(2*poll, pollLimit) {
		time.Sleep(poll)
		c.refresh()

		c.lock.Lock()
		now, closed := c.queued+c.buffered, c.closed
		c.lock.Unlock()

		switch {
		case closed:
			return errClosed
		case now <= limit/2:
			return nil
		case now < least:
			least, progress = now, time.Now()
		case time.Since(progress) > c.front.ProgressDeadline:
			c.front.Counters.SlowReaders.Add(1)
			c.cut()

			return errSlow
		}
	}
}

// refresh asks the event loop how much it still holds.
func (c *connection) refresh() {
	c.onLoop(func() {
		c.lock.Lock()
		defer c.lock.Unlock()

		c.buffered = c.socket.OutboundBuffered()
	})
}

// onLoop calls a function on the connection's event loop unless the connection is closed by then.
func (c *connection) onLoop(call func()) {
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
		if err == nil && !c.leaving {
			c.leaving = true
			c.least = c.socket.OutboundBuffered()
			c.until = time.Now().Add(c.front.ProgressDeadline)
			c.shard().leave(c)
			c.linger()
		}

		return nil
	})
}

// linger closes the sending direction when everything has been sent, and the connection when the caller has closed its
// side or takes too long. Closing at once would reset the connection while the caller still sends, and the reset can
// overtake the last message. It runs on the event loop.
func (c *connection) linger() {
	buffered, now := c.socket.OutboundBuffered(), time.Now()

	switch {
	case buffered == 0 && !c.shut:
		c.shut = true
		c.until = now.Add(lingerLimit)
		_ = syscall.Shutdown(c.socket.Fd(), syscall.SHUT_WR)
	case buffered > 0 && buffered < c.least:
		c.least = buffered
		c.until = now.Add(c.front.ProgressDeadline)
	case now.After(c.until):
		_ = c.socket.Close()
	}
}

// cut closes the connection without sending what is left.
func (c *connection) cut() {
	_ = c.socket.AsyncWrite(nil, func(s gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is closed already
		}

		return s.Close()
	})
}

// end notes that the connection is closed.
func (c *connection) end() {
	c.lock.Lock()
	defer c.lock.Unlock()

	c.closed = true
}
