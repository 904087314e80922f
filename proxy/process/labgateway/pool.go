package labgateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// observerConnections is the number of connections that the gateway's observer keeps open to each member.
const observerConnections = 1

// cancelTimeout bounds a cancel request, including its wait for a free connection.
const cancelTimeout = 500 * time.Millisecond

// probeTimeout bounds the probe of an idle connection. A probe is a position query and takes one round trip.
const probeTimeout = 300 * time.Millisecond

var (
	errPoolClosed    = errors.New("connection pool is closed")
	errPoolExhausted = errors.New("all connections are in use")
)

// idleConn is a pooled connection and the time of its last use.
type idleConn struct {
	conn     *labupstream.Conn
	lastUsed time.Duration // value of Clock.Now when the connection was returned to the pool
}

// pool holds the connections to one member. A connection counts as open from just before it is dialled until the
// upstream has closed its side too.
type pool struct {
	member         lab.Announcement
	dialer         *labupstream.Dialer
	clock          lab.Clock
	probeAfterIdle time.Duration                    // idle time after which a connection is probed before reuse
	verify         func(labupstream.Position) error // checks the first position read on a new connection

	mu            sync.Mutex
	limit         int             // maximum number of open connections
	open          int             // number of open connections
	peak          int             // highest value of open so far
	transactions  int             // number of transactions that use or wait for a connection
	idle          []idleConn      // idle connections; the last one is reused first
	waiters       []chan struct{} // waiters in order of arrival; a waiter is woken by closing its channel
	closed        bool
	draining      bool
	drainingSince time.Duration // value of Clock.Now when the member was first announced as draining
	allClosed     chan struct{} // closed when the pool is closed and no connection is left
}

// connectionLimit returns how many connections the pool may open to a member.
func connectionLimit(member lab.Announcement) int {
	return max(member.Connections-lab.ReservedConnections-observerConnections, 1)
}

// get returns a working connection. While all connections are in use, it waits if mayWait is set, and fails otherwise.
func (p *pool) get(ctx context.Context, mayWait bool) (*labupstream.Conn, error) {
	for {
		idle, mayOpen, wake, err := p.takeOrWait(mayWait)
		if err != nil {
			return nil, err
		}

		switch {
		case idle.conn != nil:
			if p.usable(ctx, idle) {
				return idle.conn, nil
			}

			p.discard(idle.conn, false, nil)
			p.purgeOlder(idle.lastUsed)
		case mayOpen:
			return p.dial(ctx)
		default:
			select {
			case <-wake:
			case <-ctx.Done():
				p.removeWaiter(wake)

				return nil, errors.Newf("wait for a connection: %w", context.Cause(ctx))
			}
		}
	}
}

// takeOrWait returns one of three results: an idle connection, the permission to open a new connection (mayOpen), or a
// channel that is closed when an idle connection or a permission may have become available.
func (p *pool) takeOrWait(mayWait bool) (idle idleConn, mayOpen bool, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.closed {
		return idleConn{}, false, nil, errPoolClosed
	}

	return p.takeLocked(mayWait)
}

// reserveNew is like takeOrWait, but prefers the permission to open a new connection to an idle connection. It also
// works while the pool is closed.
func (p *pool) reserveNew() (idle idleConn, mayOpen bool, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.open < p.limit {
		p.countOpened()

		return idleConn{}, true, nil, nil
	}

	return p.takeLocked(true)
}

// takeLocked implements takeOrWait; the caller holds the lock.
func (p *pool) takeLocked(mayWait bool) (idle idleConn, mayOpen bool, wake chan struct{}, err error) {
	if last := len(p.idle) - 1; last >= 0 {
		idle = p.idle[last]
		p.idle = p.idle[:last]

		return idle, false, nil, nil
	}

	if p.open < p.limit {
		p.countOpened()

		return idleConn{}, true, nil, nil
	}

	if !mayWait {
		return idleConn{}, false, nil, errPoolExhausted
	}

	wake = make(chan struct{})
	p.waiters = append(p.waiters, wake)

	return idleConn{}, false, wake, nil
}

func (p *pool) countOpened() {
	p.open++
	p.peak = max(p.peak, p.open)
}

// purgeOlder closes the idle connections whose last use is not later than cutoff, a value of Clock.Now. It is called
// when a connection that was last used or probed at cutoff has failed, because connections that were idle for longer
// have usually failed too.
func (p *pool) purgeOlder(cutoff time.Duration) {
	p.mu.Lock()
	kept := make([]idleConn, 0, len(p.idle))

	var older []idleConn

	for _, i := range p.idle {
		if i.lastUsed <= cutoff {
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

	if p.clock.Now()-idle.lastUsed < p.probeAfterIdle {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	_, err := idle.conn.Probe(ctx)

	return err == nil
}

// dial opens a connection and verifies the member's role and position. The caller has already counted the connection
// as open.
func (p *pool) dial(ctx context.Context) (*labupstream.Conn, error) {
	opened := p.clock.Now()

	conn, err := p.dialer.Dial(ctx, p.member.Address, p.member.Database)
	if err != nil {
		p.countClosed()

		return nil, err
	}

	conn.LastAlive = opened

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

// put returns a connection to the pool for reuse, or discards it when it must not be reused.
func (p *pool) put(conn *labupstream.Conn) {
	p.mu.Lock()
	if p.closed || p.draining || p.open > p.limit || conn.Broken() {
		p.mu.Unlock()
		p.discard(conn, false, nil)

		return
	}

	p.idle = append(p.idle, idleConn{conn: conn, lastUsed: p.clock.Now()})
	p.wakeWaiter()
	p.mu.Unlock()
}

// discard closes a connection in the background and then calls done, unless done is nil. If running is set, a batch may
// still run on the connection and is cancelled first.
func (p *pool) discard(conn *labupstream.Conn, running bool, done func()) {
	go func() {
		if running {
			p.cancel(conn)
		}

		conn.Close()
		p.countClosed()

		if done != nil {
			done()
		}
	}()
}

// cancel sends a cancel request for a connection. The request needs a connection of its own, which counts towards the
// limit.
func (p *pool) cancel(conn *labupstream.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()

	for {
		idle, mayOpen, wake, err := p.reserveNew()

		switch {
		case err != nil:
			return
		case idle.conn != nil:
			idle.conn.Close()
			p.countClosed()
		case mayOpen:
			_ = conn.Cancel(ctx)
			p.countClosed()

			return
		default:
			select {
			case <-wake:
			case <-ctx.Done():
				p.removeWaiter(wake)

				return
			}
		}
	}
}

func (p *pool) countClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.open--
	p.wakeWaiter()

	if p.closed && p.open == 0 {
		close(p.allClosed)
	}
}

// wakeWaiter wakes the waiter that has waited longest; the caller holds the lock.
func (p *pool) wakeWaiter() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// removeWaiter removes a waiter that stopped waiting. If it was woken meanwhile, the next waiter is woken instead.
func (p *pool) removeWaiter(waiter chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for i, w := range p.waiters {
		if w == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)

			return
		}
	}

	p.wakeWaiter()
}

// applyAnnouncement updates the connection limit and the draining state from an announcement of the member. The
// announcement must be of the incarnation for which the pool was created.
func (p *pool) applyAnnouncement(member lab.Announcement) {
	p.mu.Lock()
	p.limit = connectionLimit(member)

	var surplus []idleConn

	if member.Draining && !p.draining {
		p.draining, p.drainingSince = true, p.clock.Now()
	}

	p.draining = member.Draining

	if p.draining {
		surplus, p.idle = p.idle, nil
	}
	p.mu.Unlock()

	for _, s := range surplus {
		p.discard(s.conn, false, nil)
	}
}

// drainingFor returns how long the member has been draining. The second result is false if it is not draining.
func (p *pool) drainingFor() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.clock.Now() - p.drainingSince, p.draining
}

// close closes the idle connections and makes get fail. Connections in use are closed when they are returned.
func (p *pool) close() {
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
		close(p.allClosed)
	}
	p.mu.Unlock()

	for _, i := range idle {
		p.discard(i.conn, false, nil)
	}
}

// addTransactions changes the number of transactions that use or wait for a connection.
func (p *pool) addTransactions(change int) {
	p.mu.Lock()
	p.transactions += change
	p.mu.Unlock()
}

// load returns the number of transactions in the pool divided by the number of the member's slots.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return float64(p.transactions) / float64(max(p.member.Slots, 1))
}
