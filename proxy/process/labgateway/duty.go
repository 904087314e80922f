package labgateway

import (
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// hold is a grant and the end of the lease that last included it.
type hold struct {
	grant lab.Grant
	until time.Duration // Clock.Now
}

// duty is the state of one duty held; it is a shard of the gateway under its own lock.
type duty struct {
	gateway *Gateway
	key     lab.GatewayRole

	following sync.Mutex // keeps catalog states in order

	mu           sync.Mutex
	current      hold
	previous     []hold // grants of earlier terms that transactions still use
	withdrawn    bool
	followed     *lab.Database // catalog state that the pools follow
	closed       bool          // all connections are closed or being closed
	pools        map[string]*pool
	retired      []*pool // of members that left or restarted
	transactions map[*transaction]struct{}
	changed      chan struct{} // closed when work that waits may be possible
}

func newDuty(g *Gateway, h hold) *duty {
	return &duty{
		gateway: g, key: h.grant.Role, current: h, pools: map[string]*pool{},
		transactions: map[*transaction]struct{}{}, changed: make(chan struct{}),
	}
}

// assign takes over a grant of a new lease.
func (d *duty) assign(h hold) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if h.grant.Term != d.current.grant.Term || h.grant.Writable != d.current.grant.Writable ||
		h.grant.Epoch != d.current.grant.Epoch {
		if d.writers(d.current.grant) {
			d.previous = append(d.previous, d.current)
		}
	}

	d.current = h
	d.withdrawn = false
	d.signal()
}

// writers reports whether transactions that may write run under a grant; the caller holds the lock.
func (d *duty) writers(g lab.Grant) bool {
	for t := range d.transactions {
		if t.grant == g && t.writes() {
			return true
		}
	}

	return false
}

// withdraw stops new work.
func (d *duty) withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.withdrawn = true
	d.signal()
}

// signal wakes work that waits; the caller holds the lock.
func (d *duty) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// register admits a transaction under the grant in force, or tells why not.
func (d *duty) register(t *transaction) error {
	granted, alive := d.gateway.Lease.Grant(d.key)

	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case !alive || d.closed || granted.Epoch != d.current.grant.Epoch:
		return errNoLease
	case d.withdrawn:
		return errMoved
	}

	if !t.header.ReadOnly {
		if !granted.Writable || granted.Term == 0 || granted.Term != d.current.grant.Term || !d.current.grant.Writable {
			return errNoPrimary
		}
	}

	t.grant = d.current.grant
	d.transactions[t] = struct{}{}

	return nil
}

func (d *duty) unregister(t *transaction) {
	d.mu.Lock()
	defer d.mu.Unlock()

	delete(d.transactions, t)

	d.previous = slices.DeleteFunc(d.previous, func(h hold) bool { return !d.writers(h.grant) })
}

// valid reports whether work begun under a grant may still be sent and acknowledged. A grant that is not renewed stays
// valid until the lease that last included it ends, because Held reports it until its transactions have ended.
func (d *duty) valid(g lab.Grant, writes bool) bool {
	granted, alive := d.gateway.Lease.Grant(d.key)
	if alive && granted.Epoch == g.Epoch && (!writes || granted == g) {
		return true
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.gateway.Clock.Now()
	if d.closed {
		return false
	}

	for _, h := range d.previous {
		if h.grant == g {
			return now < h.until
		}
	}

	return d.current.grant == g && now < d.current.until
}

// held returns the grants in use.
func (d *duty) held() []lab.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()

	grants := append(make([]lab.Grant, 0, 1+len(d.previous)), d.current.grant)
	for _, h := range d.previous {
		grants = append(grants, h.grant)
	}

	return grants
}

func (d *duty) pool(member string) (*pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	p, found := d.pools[member]

	return p, found && !d.closed
}

func (d *duty) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.changed
}
