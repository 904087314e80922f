package labtransport

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// discardedConnectionGrace is the time that the open streams of a discarded connection have to complete before it is
	// closed.
	discardedConnectionGrace = 30 * time.Second
	// dialTimeout limits one connection attempt. A handshake takes about 5 KB, which an idle link of 2 Mbit/s transmits
	// in 20 ms.
	dialTimeout = time.Second
)

// link holds the current QUIC connection to one address. After a call on a connection has timed out, later streams use
// a new connection: a middlebox may have lost its state of the old connection while new connections work.
//
// Connections are established in the background, one attempt at a time. An attempt continues when the streams that wait
// for it give up. On a congested network a handshake takes longer than the timeout of a statement; if each statement
// aborted the handshake and the next one started it again, the handshakes would keep the network congested.
type link struct {
	address string
	dial    func(ctx context.Context, address string) (*quic.Conn, error)

	mutex   sync.Mutex
	current *quic.Conn
	pending *dialAttempt // nil when no attempt is in progress
}

// dialAttempt is one attempt to connect.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn // conn and err are set before done is closed
	err  error
}

func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	c, d := l.currentOrDial()
	if c != nil {
		return c, nil
	}

	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Newf("wait for connection to %s: %w", l.address, ctx.Err())
	}
}

// connected reports whether the current connection is open.
func (l *link) connected() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.current != nil && l.current.Context().Err() == nil
}

// currentOrDial returns the current connection if it is open. Otherwise it returns the pending connection attempt, and
// starts one if there is none.
func (l *link) currentOrDial() (*quic.Conn, *dialAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if c := l.current; c != nil && c.Context().Err() == nil {
		return c, nil
	}

	if l.pending == nil {
		l.pending = &dialAttempt{done: make(chan struct{})}

		go l.connect(l.pending)
	}

	return nil, l.pending
}

func (l *link) connect(d *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	c, err := l.dial(ctx, l.address)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.pending = nil

	if err == nil {
		l.current = c
	}

	d.conn, d.err = c, errors.Wrapf(err, "connect to %s", l.address)
	close(d.done)
}

// discard removes a connection on which a call timed out, so that new streams use another one.
func (l *link) discard(c *quic.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.current != c {
		return
	}

	l.current = nil

	time.AfterFunc(discardedConnectionGrace, func() { _ = c.CloseWithError(0, "replaced") })
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.current != nil {
		_ = l.current.CloseWithError(0, "closed")
		l.current = nil
	}
}
