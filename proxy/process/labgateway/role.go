package labgateway

import (
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// leasedGrant is a grant and the end of the lease that last included it.
type leasedGrant struct {
	grant  lab.Grant
	expiry time.Duration // Clock.Now
}

// heldRole is the state of one duty held; it is a shard of the gateway under its own lock.
type heldRole struct {
	gateway *Gateway
	key     lab.GatewayRole

	catalogMu sync.Mutex // keeps catalog states in order

	mu             sync.Mutex
	current        leasedGrant
	previous       []leasedGrant // grants of earlier terms that transactions still use
	withdrawn      bool
	appliedCatalog *lab.Database // catalog state that the pools follow
	closed         bool          // all connections are closed or being closed
	pools          map[string]*pool
	retiredPools   []*pool // of members that left or restarted
	transactions   map[*transaction]struct{}
	changed        chan struct{} // closed when work that waits may be possible
}

func newHeldRole(g *Gateway, lg leasedGrant) *heldRole {
	return &heldRole{
		gateway: g, key: lg.grant.Role, current: lg, pools: map[string]*pool{},
		transactions: map[*transaction]struct{}{}, changed: make(chan struct{}),
	}
}

// assign takes over a grant of a new lease.
func (r *heldRole) assign(lg leasedGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if lg.grant.Term != r.current.grant.Term || lg.grant.Writable != r.current.grant.Writable ||
		lg.grant.Epoch != r.current.grant.Epoch {
		if r.hasWriters(r.current.grant) {
			r.previous = append(r.previous, r.current)
		}
	}

	r.current = lg
	r.withdrawn = false
	r.notifyWaiters()
}

// hasWriters reports whether transactions that may write run under a grant; the caller holds the lock.
func (r *heldRole) hasWriters(g lab.Grant) bool {
	for t := range r.transactions {
		if t.grant == g && t.mayWrite() {
			return true
		}
	}

	return false
}

// withdraw stops new work.
func (r *heldRole) withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.withdrawn = true
	r.notifyWaiters()
}

// notifyWaiters wakes work that waits; the caller holds the lock.
func (r *heldRole) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// register admits a transaction under the grant in force, or tells why not.
func (r *heldRole) register(t *transaction) error {
	granted, alive := r.gateway.Lease.Grant(r.key)

	r.mu.Lock()
	defer r.mu.Unlock()

	switch {
	case !alive || r.closed || granted.Epoch != r.current.grant.Epoch:
		return errNoLease
	case r.withdrawn:
		return errMisrouted
	}

	if !t.header.ReadOnly {
		if !granted.Writable || granted.Term == 0 || granted.Term != r.current.grant.Term || !r.current.grant.Writable {
			return errNoPrimary
		}
	}

	t.grant = r.current.grant
	r.transactions[t] = struct{}{}

	return nil
}

func (r *heldRole) unregister(t *transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.transactions, t)

	r.previous = slices.DeleteFunc(r.previous, func(lg leasedGrant) bool { return !r.hasWriters(lg.grant) })
}

// grantValid reports whether work begun under a grant may still be sent and acknowledged. A grant that is not renewed stays
// valid until the lease that last included it ends, because Held reports it until its transactions have ended.
func (r *heldRole) grantValid(g lab.Grant, writes bool) bool {
	granted, alive := r.gateway.Lease.Grant(r.key)
	if alive && granted.Epoch == g.Epoch && (!writes || granted == g) {
		return true
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	now := r.gateway.Clock.Now()
	if r.closed {
		return false
	}

	for _, lg := range r.previous {
		if lg.grant == g {
			return now < lg.expiry
		}
	}

	return r.current.grant == g && now < r.current.expiry
}

// heldGrants returns the grants in use.
func (r *heldRole) heldGrants() []lab.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()

	grants := append(make([]lab.Grant, 0, 1+len(r.previous)), r.current.grant)
	for _, lg := range r.previous {
		grants = append(grants, lg.grant)
	}

	return grants
}

func (r *heldRole) pool(member string) (*pool, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	p, found := r.pools[member]

	return p, found && !r.closed
}

func (r *heldRole) changeSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.changed
}
