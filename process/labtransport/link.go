package labtransport

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// linkGrace is how long a replaced connection may finish its streams before it is closed.
const linkGrace = 30 * time.Second

// link holds the current QUIC connection to one address. A connection that let a call time out is replaced by a new
// one for all later streams, since something between the ends may have lost track of it while new ones work.
type link struct {
	address string
	dial    func(ctx context.Context, address string) (*quic.Conn, error)

	mutex   sync.Mutex
	current *quic.Conn
	dialing chan struct{}
}

func (l *link) connection(ctx context.Context) (*quic.Conn, error) {
	for {
		l.mutex.Lock()

		if c := l.current; c != nil && c.Context().Err() == nil {
			l.mutex.Unlock()

			return c, nil
		}

		if l.dialing == nil {
			return l.dialLocked(ctx)
		}

		wait := l.dialing
		l.mutex.Unlock()

		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Newf("wait for connection to %s: %w", l.address, ctx.Err())
		}
	}
}

// dialLocked is entered with the mutex held and leaves it released.
func (l *link) dialLocked(ctx context.Context) (*quic.Conn, error) {
	done := make(chan struct{})
	l.dialing = done
	l.mutex.Unlock()

	c, err := l.dial(ctx, l.address)

	l.mutex.Lock()
	l.dialing = nil

	if err == nil {
		l.current = c
	}

	l.mutex.Unlock()
	close(done)

	if err != nil {
		return nil, errors.Newf("connect to %s: %w", l.address, err)
	}

	return c, nil
}

// suspect stops new streams on a connection that did not answer in time.
func (l *link) suspect(c *quic.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.current != c {
		return
	}

	l.current = nil

	time.AfterFunc(linkGrace, func() { _ = c.CloseWithError(0, "replaced") })
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if l.current != nil {
		_ = l.current.CloseWithError(0, "closed")
		l.current = nil
	}
}
