package labentry

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labdialogue"
)

// caller is one connection. Messages are worked off in order by one goroutine, which ends when none is left.
type caller struct {
	entry  *Entry
	socket gnet.Conn
	codec  lab.ClientCodec
	opened time.Time

	mutex   sync.Mutex
	pending []byte
	working bool
	closed  bool
	session *labdialogue.Session // nil before the startup
}

// receive appends bytes and makes sure that they are worked off; false means that the caller sends too much.
func (n *caller) receive(b []byte) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if len(n.pending)+len(b) > maxPending {
		return false
	}

	n.pending = append(n.pending, b...)

	if !n.working && !n.closed {
		n.working = true

		go n.work()
	}

	return true
}

// work handles messages until none is complete.
func (n *caller) work() {
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
func (n *caller) next() (lab.Operation, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.closed {
		n.working = false

		return lab.Operation{}, false
	}

	if n.session == nil && !n.startLocked() {
		n.working = false

		return lab.Operation{}, false
	}

	o, end, size, err := n.codec.Next(n.pending)

	switch {
	case err != nil:
		n.entry.Requests.Info().Err(err).Str("database", n.session.Database).Msg("message_unreadable")
		n.send(n.codec.AppendRefusal(nil, lab.FaultMalformed, "message cannot be read"))
		n.hangUp()
	case end:
		n.hangUp()
	case size > 0:
		n.consumeLocked(size)

		return o, true
	}

	n.working = false

	return lab.Operation{}, false
}

func (n *caller) consumeLocked(size int) {
	n.pending = n.pending[size:]
	if len(n.pending) == 0 {
		n.pending = nil // idle sessions hold no buffer
	}
}

// startLocked reads the startup message and answers it; false means that there is no session yet or ever.
func (n *caller) startLocked() bool {
	database, size, err := n.codec.Startup(n.pending)

	switch {
	case err != nil:
		n.refuse(lab.FaultMalformed, "startup cannot be read")

		return false
	case size == 0:
		return false
	}

	n.consumeLocked(size)

	if n.entry.hurried.Load() {
		n.refuse(lab.FaultUnavailable, "the proxy is stopping")

		return false
	}

	// The event loop may need the mutex while a startup waits for the first document.
	n.mutex.Unlock()
	known := n.entry.known(database)
	n.mutex.Lock()

	if !known {
		n.refuse(lab.FaultNoDatabase, database)

		return false
	}

	e := n.entry
	n.session = &labdialogue.Session{
		Database: database, Directory: e.Directory, Clock: e.Clock, Log: e.Requests, Counters: e.Sessions,
	}
	n.send(n.codec.AppendReady(nil))

	return true
}

func (n *caller) refuse(f lab.Fault, detail string) {
	n.entry.Refused.Add(1)
	n.entry.Requests.Info().Stringer("fault", f).Str("detail", detail).Uint64("version", n.entry.Directory.Version()).
		Msg("startup_refused")
	n.send(n.codec.AppendRefusal(nil, f, detail))
	n.hangUp()
}

// known reports whether a route has the name; before the first document it waits a moment for one.
func (e *Entry) known(database string) bool {
	for end := time.Now().Add(e.StartupWait); ; {
		changed := e.Directory.Changed()

		if _, _, ok := e.Directory.Route(database); ok {
			return true
		}

		if e.Directory.Version() > 0 || time.Now().After(end) {
			return false
		}

		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

func (n *caller) send(b []byte) {
	_ = n.socket.AsyncWrite(b, nil) // fails only when the connection has ended
}

// hangUp closes the connection after what was sent before.
func (n *caller) hangUp() {
	_ = n.socket.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			return nil //nolint:nilerr // the connection has ended already
		}

		return c.Close()
	})
}

func (n *caller) overdue() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.session == nil && time.Since(n.opened) > startupLimit
}

// leave closes the connection at a planned stop when the session can end there.
func (n *caller) leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.working || n.closed || len(n.pending) > 0 {
		return
	}

	if n.session == nil || n.session.Idle() || n.entry.hurried.Load() {
		n.hangUp()
	}
}

// close ends the session after the connection has ended.
func (n *caller) close() {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.closed = true

	if n.session != nil {
		n.session.Close()
	}
}
