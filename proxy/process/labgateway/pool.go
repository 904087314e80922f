package labgateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// observerConnections is how many connections of a member of this region the gateway's own observer uses.
const observerConnections = 1

// cancelWait bounds how long a cancel request waits for a free connection.
const cancelWait = 500 * time.Millisecond

// probeWait bounds the probe of an idle connection; a position query takes one round trip.
const probeWait = 300 * time.Millisecond

var (
	errPoolClosed = errors.New("connection pool is closed")
	errExhausted  = errors.New("all connections are in use")
)

// idleConn is a pooled connection and the time of its last use.
type idleConn struct {
	conn  *labupstream.Conn
	since time.Duration
}

// pool holds the connections to one member. It counts a connection from before it is opened until the upstream has
// closed its side.
type pool struct {
	member     lab.Announcement
	dialer     *labupstream.Dialer
	clock      lab.Clock
	probeAfter time.Duration // of idleness
	verify     func(labupstream.Position) error

	mu      sync.Mutex
	limit   int
	open    int
	peak    int
	running int // transactions that use or wait for a connection
	idle    []idleConn
	waiters []chan struct{}
	closed  bool
	leaving bool
	since   time.Duration // when leaving was first seen
	empty   chan struct{} // closed when the pool is closed and no connection is left
}

func budget(member lab.Announcement) int {
	return max(member.Connections-lab.ReservedConnections-observerConnections, 1)
}

// get returns a working connection; it waits for one only if it may.
func (p *pool) get(ctx context.Context, mayWait bool) (*labupstream.Conn, error) {
	for {
		idle, open, wake, err := p.take(mayWait)
		if err != nil {
			return nil, err
		}

		switch {
		case idle.conn != nil:
			if p.usable(ctx, idle) {
				return idle.conn, nil
			}

			p.discard(idle.conn, false, nil)
			p.purge(idle.since)
		case open:
			return p.dial(ctx)
		default:
			select {
			case <-wake:
			case <-ctx.Done():
				p.forget(wake)

				return nil, errors.Newf("wait for a connection: %w", context.Cause(ctx))
			}
		}
	}
}

// take returns an idle connection, permission to open one, or a channel that is closed when either may be available.
func (p *pool) take(mayWait bool) (idle idleConn, open bool, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.closed {
		return idleConn{}, false, nil, errPoolClosed
	}

	return p.next(mayWait)
}

// room is like take but prefers to open a connection.
func (p *pool) room() (idle idleConn, open bool, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.open < p.limit {
		p.count()

		return idleConn{}, true, nil, nil
	}

	return p.next(true)
}

// next decides for take; the caller holds the lock.
func (p *pool) next(mayWait bool) (idle idleConn, open bool, wake chan struct{}, err error) {
	if last := len(p.idle) - 1; last >= 0 {
		idle = p.idle[last]
		p.idle = p.idle[:last]

		return idle, false, nil, nil
	}

	if p.open < p.limit {
		p.count()

		return idleConn{}, true, nil, nil
	}

	if !mayWait {
		return idleConn{}, false, nil, errExhausted
	}

	wake = make(chan struct{})
	p.waiters = append(p.waiters, wake)

	return idleConn{}, false, wake, nil
}

func (p *pool) count() {
	p.open++
	p.peak = max(p.peak, p.open)
}

// purge closes the idle connections last used before one that failed: what cut off one usually cut off the older ones.
func (p *pool) purge(before time.Duration) {
	p.mu.Lock()
	kept := make([]idleConn, 0, len(p.idle))

	var older []idleConn

	for _, i := range p.idle {
		if i.since <= before {
			older = append(older, i)
		} else {
			kept = append(kept, i)
		}
	}

	p.idle = kept
	p.mu.Unlock()

	for _, o := range older {
		p.discard(o.conn, false, nil)
	}
}

func (p *pool) usable(ctx context.Context, idle idleConn) bool {
	if !idle.conn.Idle() {
		return false
	}

	if p.clock.Now()-idle.since < p.probeAfter {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()

	_, err := idle.conn.Probe(ctx)

	return err == nil
}

// dial opens a connection that is already counted and checks that the member may serve.
func (p *pool) dial(ctx context.Context) (*labupstream.Conn, error) {
	opened := p.clock.Now()

	conn, err := p.dialer.Dial(ctx, p.member.Address, p.member.Database)
	if err != nil {
		p.uncount()

		return nil, err
	}

	conn.Alive = opened

	position, err := conn.Probe(ctx)
	if err == nil {
		err = p.verify(position)
	}

	if err != nil {
		p.discard(conn, false, nil)

		return nil, err
	}

	return conn, nil
}

// put returns a connection for reuse.
func (p *pool) put(conn *labupstream.Conn) {
	p.mu.Lock()
	if p.closed || p.leaving || p.open > p.limit || conn.Broken() {
		p.mu.Unlock()
		p.discard(conn, false, nil)

		return
	}

	p.idle = append(p.idle, idleConn{conn: conn, since: p.clock.Now()})
	p.wake()
	p.mu.Unlock()
}

// discard closes a connection in the background, first cancelling what runs on it, and then calls done.
func (p *pool) discard(conn *labupstream.Conn, running bool, done func()) {
	go func() {
		if running {
			p.cancel(conn)
		}

		conn.Close()
		p.uncount()

		if done != nil {
			done()
		}
	}()
}

// cancel sends a cancel request, whose connection counts like any other.
func (p *pool) cancel(conn *labupstream.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), cancelWait)
	defer stop()

	for {
		idle, open, wake, err := p.room()

		switch {
		case err != nil:
			return
		case idle.conn != nil:
			idle.conn.Close()
			p.uncount()
		case open:
			_ = conn.Cancel(ctx)
			p.uncount()

			return
		default:
			select {
			case <-wake:
			case <-ctx.Done():
				p.forget(wake)

				return
			}
		}
	}
}

func (p *pool) uncount() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.open--
	p.wake()

	if p.closed && p.open == 0 {
		close(p.empty)
	}
}

// wake lets the longest waiter try again; the caller holds the lock.
func (p *pool) wake() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// forget removes a waiter that gave up and passes on a wake-up that it got meanwhile.
func (p *pool) forget(waiter chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for i, w := range p.waiters {
		if w == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)

			return
		}
	}

	p.wake()
}

// follow takes over a changed announcement of the same process.
func (p *pool) follow(member lab.Announcement) {
	p.mu.Lock()
	p.limit = budget(member)

	var surplus []idleConn

	if member.Draining && !p.leaving {
		p.leaving, p.since = true, p.clock.Now()
	}

	p.leaving = member.Draining

	if p.leaving {
		surplus, p.idle = p.idle, nil
	}
	p.mu.Unlock()

	for _, s := range surplus {
		p.discard(s.conn, false, nil)
	}
}

// left returns how long the member has been leaving.
func (p *pool) left() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.clock.Now() - p.since, p.leaving
}

// shut closes idle connections and refuses new ones; those in use are closed when they are given back.
func (p *pool) shut() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()

		return
	}

	p.closed = true
	idle := p.idle
	p.idle = nil

	for _, w := range p.waiters {
		close(w)
	}

	p.waiters = nil

	if p.open == 0 {
		close(p.empty)
	}
	p.mu.Unlock()

	for _, i := range idle {
		p.discard(i.conn, false, nil)
	}
}

func (p *pool) enter(change int) {
	p.mu.Lock()
	p.running += change
	p.mu.Unlock()
}

// load returns the transactions per slot.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return float64(p.running) / float64(max(p.member.Slots, 1))
}
