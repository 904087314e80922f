package labtypedlistener

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrecovery"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
)

// connection is one client connection. A goroutine handles the received messages in order. It ends when no complete
// message is left, and is started again when more bytes arrive.
type connection struct {
	listener *Listener
	socket   gnet.Conn
	codec    lab.ClientCodec
	opened   time.Time
	// abandoned is set after a panic. The mutex and the session must not be used any more.
	abandoned atomic.Bool

	mutex      sync.Mutex
	pending    []byte // received bytes of messages that have not been handled
	processing bool   // whether a goroutine runs process
	closed     bool
	session    *labtypedsession.Session // session of the client, nil before the startup
}

// receive appends received bytes to the pending ones and starts process if it isn't running. It returns false when more
// than maxPendingBytes would be pending.
func (n *connection) receive(b []byte) bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	if len(n.pending)+len(b) > maxPendingBytes {
		return false
	}

	n.pending = append(n.pending, b...)

	if !n.processing && !n.closed {
		n.processing = true

		go n.process()
	}

	return true
}

// process handles messages until no complete one is left.
func (n *connection) process() {
	defer labrecovery.Recover(n.listener.Log, "client connection", func() {
		// The panic may have left locks of the session held, so the session is abandoned without them.
		n.abandoned.Store(true)
		n.closeAfterWrites()
	})

	for {
		o, ok := n.next()
		if !ok {
			return
		}

		r := n.session.Do(o)
		n.send(n.codec.AppendResult(nil, r))

		if r.Fault == lab.FaultUnauthorized {
			n.closeAfterWrites()
		}
	}
}

// next returns the next operation, or false when process must end.
func (n *connection) next() (lab.Operation, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.closed {
		n.processing = false

		return lab.Operation{}, false
	}

	if n.session == nil && !n.startLocked() {
		n.processing = false

		return lab.Operation{}, false
	}

	o, end, size, err := n.codec.Next(n.pending)

	switch {
	case err != nil:
		n.listener.RequestLog.Info().Err(err).Str("database", n.session.Database).Msg("message_unreadable")
		n.send(n.codec.AppendRefusal(nil, lab.FaultMalformed, "message cannot be read"))
		n.closeAfterWrites()
	case end:
		n.closeAfterWrites()
	case size > 0:
		n.consumeLocked(size)

		return o, true
	}

	n.processing = false

	return lab.Operation{}, false
}

func (n *connection) consumeLocked(size int) {
	n.pending = n.pending[size:]
	if len(n.pending) == 0 {
		n.pending = nil // frees the buffer of idle sessions
	}
}

// startLocked handles the startup message and reports whether the connection has a session. It returns false when the
// message is incomplete or the startup is refused.
func (n *connection) startLocked() bool {
	database, key, size, err := n.codec.Startup(n.pending)

	switch {
	case err != nil:
		n.refuse(lab.FaultMalformed, "startup cannot be read")

		return false
	case size == 0:
		return false
	}

	n.consumeLocked(size)

	if n.listener.closeInTransaction.Load() {
		n.refuse(lab.FaultUnavailable, "the proxy is stopping")

		return false
	}

	// databaseKnown may wait for the first configuration, and the event loop may need the mutex in the meantime.
	n.mutex.Unlock()
	known := n.listener.databaseKnown(database)
	n.mutex.Lock()

	if !known {
		n.refuse(lab.FaultNoDatabase, database)

		return false
	}

	l := n.listener

	if _, f := l.Directory.Organisation(database, key); f != lab.FaultNone {
		n.refuse(f, "the key is not valid")

		return false
	}

	n.session = &labtypedsession.Session{
		Database: database, Key: key, Directory: l.Directory, Clock: l.Clock, Log: l.RequestLog, Counters: l.Counters,
		Quota: l.Quota,
	}
	n.send(n.codec.AppendReady(nil))

	return true
}

// refuse sends a refusal of the startup and closes the connection.
func (n *connection) refuse(f lab.Fault, detail string) {
	n.listener.RefusedStartups.Add(1)
	n.listener.RequestLog.Info().Stringer("fault", f).Str("detail", detail).Uint64("version", n.listener.Directory.Version()).
		Msg("startup_refused")
	n.send(n.codec.AppendRefusal(nil, f, detail))
	n.closeAfterWrites()
}

// databaseKnown reports whether the database has a route. It waits up to StartupWait for the first configuration.
func (l *Listener) databaseKnown(database string) bool {
	for end := time.Now().Add(l.StartupWait); ; {
		changed := l.Directory.Changed()

		if _, _, ok := l.Directory.Route(database); ok {
			return true
		}

		if l.Directory.Version() > 0 || time.Now().After(end) {
			return false
		}

		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

// send sends a response. It closes the connection if the client sends requests without reading the responses.
func (n *connection) send(b []byte) {
	// Fails only when the connection is closed.
	_ = n.socket.AsyncWrite(b, func(c gnet.Conn, err error) error {
		if err != nil || c.OutboundBuffered()-len(b) <= maxUnreadBytes {
			return nil //nolint:nilerr // the connection is already closed
		}

		n.listener.RequestLog.Info().Int("unread", c.OutboundBuffered()).Msg("client_does_not_read")

		return c.Close()
	})
}

// closeAfterWrites closes the connection once all earlier writes are sent.
func (n *connection) closeAfterWrites() {
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// startupTimedOut reports whether the client has not sent its startup message within startupTimeout.
func (n *connection) startupTimedOut() bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session == nil && time.Since(n.opened) > startupTimeout
}

// unauthorised reports whether the client's key is no longer valid and the connection can be closed without losing an
// answer. An operation that is running, or an open transaction, ends with a fault instead.
func (n *connection) unauthorised() bool {
	if n.abandoned.Load() {
		return false
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session != nil && !n.processing && len(n.pending) == 0 && n.session.Idle() && !n.session.Authorised()
}

// closeIfUnauthorised closes the connection if its client's key is no longer valid and no request waits for an answer.
func (n *connection) closeIfUnauthorised() {
	if !n.unauthorised() {
		return
	}

	// The event loop checks again: a request may have arrived since, and it would end without an answer.
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil || !n.unauthorised() || requestWaits(c) {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// closeIfIdle closes the connection during a drain if no operation is running or pending, and no transaction is open.
// If closeInTransaction is set, it also closes a connection whose session is idle in a transaction.
func (n *connection) closeIfIdle() {
	if !n.mayClose() {
		return
	}

	// The event loop checks again: a request may have arrived since, and it would end without an answer.
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil || !n.mayClose() || requestWaits(c) {
			return nil //nolint:nilerr // the connection is already closed
		}

		return c.Close()
	})
}

// mayClose reports whether a drain may close the connection now.
func (n *connection) mayClose() bool {
	if n.abandoned.Load() {
		return true
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.processing || n.closed || len(n.pending) > 0 {
		return false
	}

	return n.session == nil || n.session.Idle() || n.listener.closeInTransaction.Load()
}

// requestWaits reports whether the socket has received bytes that have not been read.
func requestWaits(c gnet.Conn) bool {
	var one [1]byte

	count, _, err := syscall.Recvfrom(c.Fd(), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return err == nil && count > 0
}

// close ends the session of a connection that has been closed.
func (n *connection) close() {
	if n.abandoned.Load() {
		return
	}

	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.closed = true

	if n.session != nil {
		n.session.Close()
	}
}
