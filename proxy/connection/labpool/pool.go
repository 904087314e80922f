package labpool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/lablimit"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

const (
	// latencyWindow is the number of operations that the moving average of the latency covers.
	latencyWindow = 8
	// latencyHalfLife is the time without operations after which TypicalLatency reports half of the average.
	latencyHalfLife = 200 * time.Millisecond
	maxHalvings     = 10 // bounds how often TypicalLatency halves the average
	// livenessCheckAfter is the idle time after which a connection is checked before its next use, since the member may
	// have closed it.
	livenessCheckAfter = 20 * time.Millisecond
	// dialTimeout bounds a dial. It exceeds the sum of the 12 ms that a member needs to set up a connection, the wait in
	// the queue of the member and a round trip between regions.
	dialTimeout = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after failed dials. Without a backoff, each request to a member
	// that is down would dial it.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// refusalGrace is how long a member may refuse connections before maxRefusedDelay applies. A member counts lost
	// connections for 3 s, so after a power loss of proxies it refuses connections for that long and then accepts them.
	refusalGrace = 4 * time.Second
	// maxRefusedDelay bounds the backoff from a member that has refused connections for longer than refusalGrace: it is
	// full. With maxRetryDelay, 300 proxies sent a full member 600 dials a second.
	maxRefusedDelay = 5 * time.Second
	// shrinkAfter is how long the load must be low before connections beyond RetainedConnections are closed. The load is
	// low while at most RetainedConnections are in use. A new connection occupies a slot of the member for 12 ms, so
	// connections stay open when the load is low for only a short time.
	shrinkAfter = time.Second
	// exchangeCost is how much longer than a request of the same organisation another one must have waited to get a
	// released connection, which is then replaced: a member needs 12 ms for a new connection, in one of its slots.
	exchangeCost = 12 * time.Millisecond
)

// waiter is a request that waits for a connection.
type waiter struct {
	priority     int // 0 is the highest priority
	organisation string
	since        time.Time
	conn         chan *Conn // receives the connection, or nil if the request must try again
}

// pingOperations are the operations of Ping.
var pingOperations = []lab.Operation{{Kind: lab.OperationBegin}, {Kind: lab.OperationRollback}}

// ErrNoConnection is returned when no connection became free before the deadline, the member is down or the pool is
// closed.
var ErrNoConnection = errors.New("no connection to the member is free")

// Pool holds the connections to one incarnation of a member. A connection belongs to one organisation, whose statements
// alone run on it. Exported fields are set before use.
type Pool struct {
	Target              lab.Announcement // the member
	Dialer              lab.MemberDialer
	MaxConnections      func() int // returns the maximum number of open connections; 0 if this proxy uses gateways instead
	RetainedConnections func() int // returns the number of connections that stay open when fewer are in use
	// OnDial is called with the result of each dial.
	OnDial func(member lab.Announcement, err error)
	// Exists reports whether an organisation is configured, if it is not nil. Connections of others are closed when no
	// statement uses them.
	Exists func(organisation string) bool
	// Limit learns how many statements the member handles well at a time; nil for no limit. The pool's mutex guards it.
	Limit *lablimit.Limit
	// OnSample receives what an exchange has shown, if it is not nil. It is called without the pool's lock.
	OnSample func(labsample.Sample)

	mutex             sync.Mutex
	idle              []*Conn        // idle connections; the most recently used one is the last
	open              int            // number of connections, including those in use and those being dialled
	inUse             int            // number of requests that use or wait for a connection
	active            int            // number of connections whose statement runs or is about to, see Conn.active
	held              bool           // whether requests may wait because of the learned limit
	dials             map[string]int // number of dials in progress by organisation
	preparedCount     uint64         // number of statements prepared so far, used for unique names
	waiters           []waiter       // waiting requests, sorted by priority, then by arrival
	typicalLatency    time.Duration  // moving average of the time from sending operations to their response
	lastObserved      time.Time      // time of the last change of typicalLatency
	closed            bool
	lastAboveRetained time.Time          // last time when a request made inUse exceed RetainedConnections
	nextDial          time.Time          // time before which no dial starts; it is set after a failed dial
	retryDelay        time.Duration      // pause after the last failed dial, 0 after a successful one
	refusedSince      time.Time          // time of the first refusal since the last dial with another result
	known             lab.CommitPosition // newest position in any response of the member
	acknowledged      lab.CommitPosition // position that Acknowledged returns
}

var _ lab.ConnectionPool = (*Pool)(nil)

// Member returns the member.
func (p *Pool) Member() lab.Announcement {
	return p.Target
}

// Acquire returns a connection. Waiting requests get connections by priority, then by arrival, until the context ends.
func (p *Pool) Acquire(ctx context.Context, r lab.AcquireRequest) (lab.PooledConnection, error) {
	for {
		c, wait, err := p.tryAcquire(r)
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

			return nil, fmt.Errorf("%w: %w", ErrNoConnection, ctx.Err()) // not errors.Newf, which wraps only one error
		}
	}
}

// tryAcquire returns an idle connection of the organisation if there is one. Otherwise it adds the request to the queue
// and returns the channel that receives the request's connection. If the pool may open another connection, or replace an
// idle one of another organisation, it also starts a dial.
func (p *Pool) tryAcquire(r lab.AcquireRequest) (*Conn, chan *Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return nil, nil, errors.Newf("%w: pool is closed", ErrNoConnection)
	}

	limited := p.atLimitLocked()

	if !limited {
		if c := p.takeAliveLocked(r.Organisation); c != nil {
			p.countUseLocked()

			return c, nil, nil
		}
	}

	if p.open == 0 && time.Now().Before(p.nextDial) {
		return nil, nil, errors.Newf("%w: member is down", ErrNoConnection)
	}

	w := make(chan *Conn, 1)
	p.enqueueLocked(waiter{r.Priority, r.Organisation, time.Now(), w})
	p.countUseLocked()

	if limited {
		p.held = true
	} else {
		p.growLocked(r.Organisation)
	}

	return nil, w, nil
}

// takeAliveLocked removes an idle connection of an organisation that the member has kept open, and counts it as active.
// It returns nil if there is none.
func (p *Pool) takeAliveLocked(organisation string) *Conn {
	for c := p.takeIdleLocked(organisation); c != nil; c = p.takeIdleLocked(organisation) {
		if c.IdleTime() > livenessCheckAfter && !c.connection.Alive() {
			p.open--

			c.connection.Close()

			continue
		}

		p.joinKnownLocked(c)
		p.setActiveLocked(c, true)

		return c
	}

	return nil
}

// takeIdleLocked removes and returns the most recently used idle connection of an organisation, or nil if there is none.
func (p *Pool) takeIdleLocked(organisation string) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.organisation == organisation {
			p.idle = slices.Delete(p.idle, i, i+1)

			return c
		}
	}

	return nil
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

// observe adds the duration of a round trip to the moving average, and records the member's positions.
func (p *Pool) observe(c *Conn, d time.Duration, acknowledged lab.CommitPosition) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.typicalLatency += (d - p.typicalLatency) / latencyWindow
	p.lastObserved = time.Now()
	p.acknowledged = p.acknowledged.Latest(acknowledged)
	p.joinKnownLocked(c)
}

func (p *Pool) joinKnownLocked(c *Conn) {
	p.known = p.known.Latest(c.known)
	c.known = p.known
}

// Acknowledged returns the newest position up to which every commit is known to be acknowledged, from the responses to
// writes on the pool's connections. It is zero if there is none.
func (p *Pool) Acknowledged() lab.CommitPosition {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.acknowledged
}

// TypicalLatency returns the moving average of the time from sending operations to their response. The value decays
// while nothing is sent. Otherwise a member that was too slow for every request would never be tried again.
func (p *Pool) TypicalLatency() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.typicalLatency >> min(maxHalvings, time.Since(p.lastObserved)/latencyHalfLife)
}

// cancelWait removes a request from the queue. A connection that it received in the meantime goes to the next request.
func (p *Pool) cancelWait(w chan *Conn) {
	p.mutex.Lock()

	i := slices.IndexFunc(p.waiters, func(o waiter) bool { return o.conn == w })
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.inUse--
	}

	p.mutex.Unlock()

	if i >= 0 {
		return
	}

	// A request that must try again is no longer counted in inUse.
	if c := <-w; c != nil {
		p.release(c)
	}
}

func (p *Pool) limitLocked() int {
	return p.MaxConnections()
}

// growLocked opens a connection for an organisation if that is possible now. In place of one beyond RetainedConnections,
// it replaces the connection of another organisation that has been idle for the longest time.
func (p *Pool) growLocked(organisation string) {
	enough := p.enoughDialsLocked(organisation)
	if time.Now().Before(p.nextDial) || (enough && organisation != "") {
		return
	}

	// A member that has refused a connection accepts one in place of another.
	if !enough && (!p.refusedSince.IsZero() || p.open >= min(p.limitLocked(), p.RetainedConnections())) {
		p.closeOtherIdleLocked(organisation)
	}

	if p.open >= p.limitLocked() {
		return
	}

	p.open++
	p.countDialLocked(organisation, 1)

	go p.dial(organisation)
}

// growWaitingLocked opens connections for the waiting requests, in their order, as far as that is possible now. Of those
// without an organisation, it serves the first alone if that one is the first of all. At the learned limit the requests need
// no connection yet.
func (p *Pool) growWaitingLocked() {
	if p.atLimitLocked() {
		p.held = len(p.waiters) > 0

		return
	}

	for i, w := range p.waiters {
		if p.open >= p.limitLocked() && len(p.idle) == 0 {
			return
		}

		if i == 0 || w.organisation != "" || p.waiters[0].organisation != "" {
			p.growLocked(w.organisation)
		}
	}
}

func (p *Pool) hasIdleLocked(organisation string) bool {
	return slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.organisation == organisation })
}

// enoughDialsLocked reports whether a connection is being dialled for each waiting request of the organisation. Without
// this check, each connection of another organisation that is released meanwhile would be replaced.
func (p *Pool) enoughDialsLocked(organisation string) bool {
	dials := p.dials[organisation]
	if dials == 0 {
		return false
	}

	for _, w := range p.waiters {
		if w.organisation == organisation {
			dials--
		}
	}

	return dials >= 0
}

func (p *Pool) countDialLocked(organisation string, change int) {
	if p.dials == nil {
		p.dials = map[string]int{}
	}

	if p.dials[organisation] += change; p.dials[organisation] == 0 {
		delete(p.dials, organisation)
	}
}

func (p *Pool) closeOtherIdleLocked(organisation string) {
	i := slices.IndexFunc(p.idle, func(c *Conn) bool { return c.organisation != organisation })
	if i < 0 {
		return
	}

	p.idle[i].connection.Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
}

func (p *Pool) dial(organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	l, err := p.Dialer.Dial(ctx, p.Target, organisation)
	p.OnDial(p.Target, err)

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.countDialLocked(organisation, -1)

	if err != nil {
		p.open--
		p.recordDialFailureLocked(err)

		return
	}

	if p.closed {
		p.open--

		l.Close()

		return
	}

	p.retryDelay, p.refusedSince = 0, time.Time{}
	p.offerLocked(&Conn{pool: p, connection: l, organisation: organisation, lastUsed: time.Now()})
}

// recordDialFailureLocked starts the backoff after a failed dial. When no connection is open, it also wakes all waiting
// requests, so that they can use another member; otherwise they wait for an open connection.
func (p *Pool) recordDialFailureLocked(err error) {
	p.retryDelay = min(max(minRetryDelay, 2*p.retryDelay), p.maxDelayLocked(err))
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

// maxDelayLocked returns the longest pause after a dial that failed with the error.
func (p *Pool) maxDelayLocked(err error) time.Duration {
	if o, _ := lab.OutcomeOf(err); o != lab.OutcomeNotRun {
		p.refusedSince = time.Time{}

		return maxRetryDelay
	}

	if p.refusedSince.IsZero() {
		p.refusedSince = time.Now()
	}

	if time.Since(p.refusedSince) < refusalGrace {
		return maxRetryDelay
	}

	return maxRefusedDelay
}

// offerLocked passes an unused connection to the first waiting request of its organisation. If none waits, it adds the
// connection to the idle ones, which may be replaced. If another organisation's request comes first, the connection is
// replaced by one for that.
func (p *Pool) offerLocked(c *Conn) {
	p.joinKnownLocked(c)

	if p.held || p.atLimitLocked() {
		p.idle = append(p.idle, c)
		p.held = len(p.waiters) > 0
		p.admitLocked(true)

		return
	}

	i := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.organisation == c.organisation })

	if i > 0 {
		p.growWaitingLocked() // other connections may be idle

		if o, ok := p.overdueLocked(i); ok {
			p.idle = slices.Insert(p.idle, 0, c)
			p.growLocked(o)

			return
		}
	}

	if i >= 0 {
		p.setActiveLocked(c, true)
		p.waiters[i].conn <- c
		p.waiters = slices.Delete(p.waiters, i, i+1)

		return
	}

	p.idle = append(p.idle, c)
	p.growWaitingLocked()
}

// serveWaitingLocked serves the waiting requests as far as that is possible when no connection was released.
func (p *Pool) serveWaitingLocked() {
	if p.held {
		p.admitLocked(true)
	} else {
		p.growWaitingLocked()
	}
}

// overdueLocked returns the organisation of the first request that must be served before request i and for which a
// connection can be dialled now, or false if there is none.
func (p *Pool) overdueLocked(i int) (string, bool) {
	if time.Now().Before(p.nextDial) {
		return "", false
	}

	for _, w := range p.waiters[:i] {
		if w.before(p.waiters[i]) && !p.enoughDialsLocked(w.organisation) {
			return w.organisation, true
		}
	}

	return "", false
}

// before reports whether w must be served before o even though that costs a new connection.
func (w waiter) before(o waiter) bool {
	return w.organisation != o.organisation && (w.priority < o.priority || o.since.Sub(w.since) > exchangeCost)
}

func (p *Pool) release(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.inUse--
	p.setActiveLocked(c, false)

	// When the limit has shrunk, excess connections are closed at once, since other proxies may now open connections
	// instead.
	if p.closed || p.open > p.limitLocked() {
		p.open--

		c.connection.Close()
		p.admitLocked(true)

		return
	}

	if p.removed(c) {
		p.open--

		c.connection.Close()
		p.serveWaitingLocked()

		return
	}

	p.offerLocked(c)
}

// removed reports whether a connection belongs to an organisation that is no longer configured.
func (p *Pool) removed(c *Conn) bool {
	return p.Exists != nil && c.organisation != "" && !p.Exists(c.organisation)
}

func (p *Pool) discard(c *Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.inUse--
	p.open--
	p.setActiveLocked(c, false)
	p.serveWaitingLocked()
}

// Maintain is called periodically. It opens a first connection, so that the first request needn't wait for a dial. It
// closes idle connections beyond RetainedConnections when they have not been needed for shrinkAfter.
func (p *Pool) Maintain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed {
		return
	}

	p.closeRemovedLocked()

	switch {
	case len(p.waiters) > 0:
		p.serveWaitingLocked() // the learned limit may have been forgotten
	case p.open == 0:
		p.growLocked("")
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

// CloseIdle closes the idle connections of a member that isn't needed, and reports whether none is left. It is called
// periodically in place of Maintain, until none is left.
func (p *Pool) CloseIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	// A request that waits needs a connection after all.
	if len(p.waiters) > 0 {
		p.serveWaitingLocked()

		return false
	}

	p.closeIdleLocked()

	return p.open == 0 && p.inUse == 0
}

func (p *Pool) closeIdleLocked() {
	for _, c := range p.idle {
		c.connection.Close()
	}

	p.open -= len(p.idle)
	p.idle = nil
}

// closeRemovedLocked closes the idle connections of organisations that are no longer configured.
func (p *Pool) closeRemovedLocked() {
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		removed := p.removed(c)
		if removed {
			c.connection.Close()

			p.open--
		}

		return removed
	})
}

// Ping begins and rolls back a transaction on the connection that has been idle for the longest time, and returns the
// result of the begin operation. It returns false when no connection is idle.
func (p *Pool) Ping(deadline time.Time) (lab.OperationResult, bool, error) {
	c, ok := p.takeOldest()
	if !ok {
		return lab.OperationResult{}, false, nil
	}

	r, err := c.connection.Run(deadline, pingOperations...)
	c.lastUsed = time.Now()
	c.recordResults(pingOperations, r, err)

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
	p.inUse++ // not active: a ping needs no slot of the member

	return c, true
}

// Load returns how many requests use or wait for a connection, whether a connection is idle or may be opened, and
// whether the pool has connections or may open one.
func (p *Pool) Load() (inProgress int, free, reachable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	down := time.Now().Before(p.nextDial)

	free = !p.atLimitLocked() && (len(p.idle) > 0 || (p.open < p.limitLocked() && !down))

	return p.inUse, free, p.open > 0 || (!down && p.limitLocked() > 0)
}

// Close closes the idle connections at once, and each connection in use when it is released.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true

	p.closeIdleLocked()

	p.inUse -= len(p.waiters)

	for _, w := range p.waiters {
		w.conn <- nil
	}

	p.waiters = nil
}
