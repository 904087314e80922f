package labtypedlistener

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
)

// connection is one connection. Messages are worked off in order by one goroutine, which ends when none is left.
type connection struct {
	listener *Listener
	socket   gnet.Conn
	codec    lab.ClientCodec
	opened   time.Time

	mutex      sync.Mutex
	pending    []byte
	processing bool
	closed     bool
	session    *labtypedsession.Session // nil before the startup
}

// receive appends bytes and makes sure that they are worked off; false means that the caller sends too much.
func (n *connection) receive(b []byte) bool {
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

// process handles messages until none is complete.
func (n *connection) process() {
	for {
		o, ok := n.next()
		if !ok {
			return
		}

		r := n.session.Do(o)
		n.send(n.codec.AppendResult(nil, r))
	}
}

// next returns the next operation; false means that the goroutine has to end.
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
		n.pending = nil // idle sessions hold no buffer
	}
}

// startLocked reads the startup message and answers it; false means that there is no session yet or ever.
func (n *connection) startLocked() bool {
	database, size, err := n.codec.Startup(n.pending)

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

	// The event loop may need the mutex while a startup waits for the first document.
	n.mutex.Unlock()
	known := n.listener.databaseKnown(database)
	n.mutex.Lock()

	if !known {
		n.refuse(lab.FaultNoDatabase, database)

		return false
	}

	l := n.listener
	n.session = &labtypedsession.Session{
		Database: database, Directory: l.Directory, Clock: l.Clock, Log: l.RequestLog, Counters: l.Counters,
	}
	n.send(n.codec.AppendReady(nil))

	return true
}

func (n *connection) refuse(f lab.Fault, detail string) {
	n.listener.RefusedStartups.Add(1)
	n.listener.RequestLog.Info().Stringer("fault", f).Str("detail", detail).Uint64("version", n.listener.Directory.Version()).
		Msg("startup_refused")
	n.send(n.codec.AppendRefusal(nil, f, detail))
	n.closeAfterWrites()
}

// databaseKnown reports whether a route has the name; before the first document it waits a moment for one.
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

func (n *connection) send(b []byte) {
	_ = n.socket.AsyncWrite(b, nil) // fails only when the connection has ended
}

// closeAfterWrites closes the connection after what was sent before.
func (n *connection) closeAfterWrites() {
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection has ended already
		}

		return c.Close()
	})
}

func (n *connection) startupTimedOut() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session == nil && time.Since(n.opened) > startupTimeout
}

// closeIfIdle closes the connection at a planned stop when the session can end there.
func (n *connection) closeIfIdle() {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.processing || n.closed || len(n.pending) > 0 {
		return
	}

	if n.session == nil || n.session.Idle() || n.listener.closeInTransaction.Load() {
		n.closeAfterWrites()
	}
}

// close ends the session after the connection has ended.
func (n *connection) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.closed = true

	if n.session != nil {
		n.session.Close()
	}
}
