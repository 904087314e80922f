package labtransport

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// discardedConnectionGrace is how long a replaced connection may finish its streams before it is closed.
	discardedConnectionGrace = 30 * time.Second
	// dialTimeout bounds one attempt to connect. A handshake has about 5 KB, which a link of 2 Mbit/s carries in 20 ms
	// when it is free.
	dialTimeout = time.Second
)

// link holds the current QUIC connection to one address. A connection that let a call time out is replaced by a new
// one for all later streams, since something between the ends may have lost track of it while new ones work.
//
// Connections are set up in the background, one at a time, whatever becomes of the streams that wait for them: on a
// congested link no handshake ends within a statement's time, and handshakes that are given up and begun again by each
// statement keep the link congested.
type link struct {
	address string
	dial    func(ctx context.Context, address string) (*quic.Conn, error)

	mutex   sync.Mutex
	current *quic.Conn
	pending *dialAttempt // nil when none is under way
}

// dialAttempt is one attempt to connect.
type dialAttempt struct {
	done chan struct{}
	conn *quic.Conn // the fields below are set when ended is closed
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

// connected reports whether a connection stands.
func (l *link) connected() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	return l.current != nil && l.current.Context().Err() == nil
}

// currentOrDial returns the current connection, or the attempt to set one up, which it starts if need be.
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

// discard stops new streams on a connection that did not answer in time.
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
