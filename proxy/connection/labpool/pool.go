package labpool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	// latencyWindow is how many round trips the typical one is averaged over.
	latencyWindow = 8
	// latencyHalfLife is the time without an observation after which the typical round trip counts half.
	latencyHalfLife = 200 * time.Millisecond
	maxHalvings     = 10
	// livenessCheckAfter is the idle time after which a connection is looked at before it is used.
	livenessCheckAfter = 20 * time.Millisecond
	// dialTimeout bounds a dial, above the 12 ms of a new connection, a queue before it and a round trip between
	// regions.
	dialTimeout = 600 * time.Millisecond
	// Pauses after failed dials, so that a member that is down isn't asked for each request.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// shrinkAfter is how long connections beyond those to keep have not been needed when they are closed. A new one
	// costs 12 ms of a slot, so it is kept over the gaps of a load that needs it.
	shrinkAfter = time.Second
)

// waiter is a request in the queue.
type waiter struct {
	priority int // 0 is the highest
	conn     chan *Conn
}

// ErrNoConnection is returned when none became free before the deadline.
var ErrNoConnection = errors.New("no connection to the member is free")

// Pool holds the connections to one incarnation of a member; exported fields are set before use.
type Pool struct {
	Target              lab.Announcement // the member
	Dialer              lab.MemberDialer
	MaxConnections      func() int // connections that this proxy may keep; 0 where others are its gateways
	RetainedConnections func() int // connections that are kept when no more are needed
	// OnDial is told of each dial's outcome.
	OnDial func(member lab.Announcement, err error)

	mutex             sync.Mutex
	idle              []*Conn // the most recently used last
	open              int     // including those in use and those being dialled
	inUse             int
	preparedCount     uint64
	waiters           []waiter      // by priority, then in order of arrival
	typicalLatency    time.Duration // from sending operations to their answer
	lastObserved      time.Time     // when typical changed last
	closed            bool
	lastAboveRetained time.Time // when more connections than those to keep were needed last
	nextDial          time.Time // until when no dial is tried
	retryDelay        time.Duration
}

var _ lab.ConnectionPool = (*Pool)(nil)

// Member returns the member.
func (p *Pool) Member() lab.Announcement {
	return p.Target
}

// Acquire returns a connection, waiting in order of priority and arrival until the context ends.
func (p *Pool) Acquire(ctx context.Context, priority int) (lab.PooledConnection, error) {
	for {
		c, wait, err := p.tryAcquire(priority)
		if err != nil {
			return nil, err
		}

		if c != nil {
			return c, nil
		}

		select {
		case c := <-wait:
			if c != nil {
				return c, nil
			}
		case <-ctx.Done():
			p.cancelWait(wait)

			return nil, fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err()) // errors.Newf wraps one error only
		}
	}
}

// tryAcquire returns an idle connection or a place in the queue, and dials when another connection is allowed.
func (p *Pool) tryAcquire(priority int) (*Conn, chan *Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return nil, nil, errors.Newf("%w: pool is closed", ErrNoConnection)
	}

	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]

		if c.IdleTime() > livenessCheckAfter && !c.connection.Alive() {
			p.open--

			c.connection.Close()

			continue
		}

		p.countUseLocked()

		return c, nil, nil
	}

	if p.open == 0 && time.Now().Before(p.nextDial) {
		return nil, nil, errors.Newf("%w: member is down", ErrNoConnection)
	}

	w := make(chan *Conn, 1)
	p.enqueueLocked(waiter{priority, w})
	p.countUseLocked()
	p.growLocked()

	return nil, w, nil
}

func (p *Pool) countUseLocked() {
	p.inUse++

	if p.inUse > p.RetainedConnections() {
		p.lastAboveRetained = time.Now()
	}
}

func (p *Pool) enqueueLocked(w waiter) {
	at := len(p.waiters)
	for at > 0 && p.waiters[at-1].priority > w.priority {
		at--
	}

	p.waiters = slices.Insert(p.waiters, at, w)
}

// observeLatency takes a round trip into the typical one.
func (p *Pool) observeLatency(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.typicalLatency += (d - p.typicalLatency) / latencyWindow
	p.lastObserved = time.Now()
}

// TypicalLatency returns how long operations of late took from being sent to their answer. It fades when nothing is sent, so
// that a member which was too slow for everything is tried again.
func (p *Pool) TypicalLatency() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.typicalLatency >> min(maxHalvings, time.Since(p.lastObserved)/latencyHalfLife)
}

// cancelWait gives a place in the queue up; a connection that arrived meanwhile goes to the next.
func (p *Pool) cancelWait(w chan *Conn) {
	p.mutex.Lock()

	p.inUse--

	for i, o := range p.waiters {
		if o.conn == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)

			break
		}
	}

	p.mutex.Unlock()

	select {
	case c := <-w:
		if c != nil {
			p.mutex.Lock()
			p.inUse++
			p.mutex.Unlock()
			p.release(c)
		}
	default:
	}
}

func (p *Pool) limitLocked() int {
	return p.MaxConnections()
}

func (p *Pool) growLocked() {
	if p.open >= p.limitLocked() || time.Now().Before(p.nextDial) {
		return
	}

	p.open++

	go p.dial()
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	l, err := p.Dialer.Dial(ctx, p.Target)
	p.OnDial(p.Target, err)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if err != nil {
		p.open--
		p.recordDialFailureLocked()

		return
	}

	if p.closed {
		p.open--

		l.Close()

		return
	}

	p.retryDelay = 0
	p.offerLocked(&Conn{pool: p, connection: l, lastUsed: time.Now()})
}

// recordDialFailureLocked makes waiters look for another member unless a connection in use will come back.
func (p *Pool) recordDialFailureLocked() {
	p.retryDelay = min(max(minRetryDelay, 2*p.retryDelay), maxRetryDelay)
	p.nextDial = time.Now().Add(p.retryDelay)

	if p.open > 0 {
		return
	}

	p.inUse -= len(p.waiters)

	for _, w := range p.waiters {
		w.conn <- nil
	}

	p.waiters = nil
}

// offerLocked passes a connection that nobody uses to the first waiter or keeps it.
func (p *Pool) offerLocked(c *Conn) {
	if len(p.waiters) > 0 {
		p.waiters[0].conn <- c
		p.waiters = p.waiters[1:]

		return
	}

	p.idle = append(p.idle, c)
}

func (p *Pool) release(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.inUse--

	// A share that shrank is given back at once, since other proxies wait for it.
	if p.closed || p.open > p.limitLocked() {
		p.open--

		c.connection.Close()

		return
	}

	p.offerLocked(c)
}

func (p *Pool) discard() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.inUse--
	p.open--

	if len(p.waiters) > 0 {
		p.growLocked()
	}
}

// Maintain opens a first connection, so that the first request needn't wait for it, and closes unused ones beyond those to
// keep; it is called from time to time.
func (p *Pool) Maintain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return
	}

	if p.open == 0 || len(p.waiters) > 0 {
		p.growLocked()
	}

	limit := p.limitLocked()
	if time.Since(p.lastAboveRetained) > shrinkAfter {
		limit = min(limit, p.RetainedConnections())
	}

	for p.open > limit && len(p.idle) > 0 {
		p.idle[0].connection.Close()
		p.idle = p.idle[1:]
		p.open--
	}
}

// Ping begins and ends a transaction on the connection that has been idle longest, and returns the result of the begin.
// It returns false when no connection is idle.
func (p *Pool) Ping(deadline time.Time) (lab.OperationResult, bool, error) {
	c, ok := p.takeOldest()
	if !ok {
		return lab.OperationResult{}, false, nil
	}

	r, err := c.connection.Run(deadline, lab.Operation{Kind: lab.OperationBegin}, lab.Operation{Kind: lab.OperationRollback})
	c.lastUsed = time.Now()

	switch {
	case err != nil:
		c.Discard()

		return lab.OperationResult{}, true, errors.Newf("ping: %w", err)
	case r[1].Status != lab.StatusIdle:
		c.Discard()
	default:
		c.Release()
	}

	return r[0], true, nil
}

func (p *Pool) takeOldest() (*Conn, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if len(p.idle) == 0 {
		return nil, false
	}

	c := p.idle[0]
	p.idle = p.idle[1:]
	p.inUse++

	return c, true
}

// Load returns how many requests use or await a connection, and whether one could have a connection at once.
func (p *Pool) Load() (inProgress int, free, up bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	down := time.Now().Before(p.nextDial)

	return p.inUse, len(p.idle) > 0 || (p.open < p.limitLocked() && !down), p.open > 0 || (!down && p.limitLocked() > 0)
}

// Close closes the idle connections now and the others when they come back.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true

	for _, c := range p.idle {
		c.connection.Close()
	}

	p.open -= len(p.idle)
	p.idle = nil
	p.inUse -= len(p.waiters)

	for _, w := range p.waiters {
		w.conn <- nil
	}

	p.waiters = nil
}
