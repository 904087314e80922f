package labgateway

import (
	"slices"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// leasedGrant is a grant and the expiry of the last lease that included it.
type leasedGrant struct {
	grant  lab.Grant
	expiry time.Duration // value of Clock.Now at which the lease expires
}

// heldRole is the state of one gateway role that the proxy holds. Each role has its own lock.
type heldRole struct {
	gateway *Gateway
	key     lab.GatewayRole

	catalogMu sync.Mutex // serialises applyCatalog, so that catalog states are applied in order

	mu             sync.Mutex
	current        leasedGrant
	previous       []leasedGrant // earlier grants; under each of them, a transaction that may write still runs
	withdrawn      bool          // the latest lease does not include the role
	appliedCatalog *lab.Database // catalog state that the pools reflect
	closed         bool          // all connections are closed or being closed
	pools          map[string]*pool
	retiredPools   []*pool                   // closed pools that still have open connections
	transactions   map[*transaction]struct{} // transactions that have begun and not ended
	changed        chan struct{}             // closed and replaced when waiting transactions should try again
}

func newHeldRole(g *Gateway, lg leasedGrant) *heldRole {
	return &heldRole{
		gateway: g, key: lg.grant.Role, current: lg, pools: map[string]*pool{},
		transactions: map[*transaction]struct{}{}, changed: make(chan struct{}),
	}
}

// assign replaces the current grant with the grant of a renewed lease.
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

// hasWriters reports whether any transaction that may write runs under a grant; the caller holds the lock.
func (r *heldRole) hasWriters(g lab.Grant) bool {
	for t := range r.transactions {
		if t.grant == g && t.mayWrite() {
			return true
		}
	}

	return false
}

// withdraw makes the role reject new transactions.
func (r *heldRole) withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.withdrawn = true
	r.notifyWaiters()
}

// notifyWaiters wakes the transactions that wait for a change of the role; the caller holds the lock.
func (r *heldRole) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// register admits a transaction under the current grant, or returns the reason why the transaction must not run.
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

// grantValid reports whether batches of a transaction that began under the grant g may still be sent and acknowledged.
// The parameter writes is set for a transaction that may write. A grant that the current lease does not include any
// more stays valid until the last lease that included it expires. This is safe because HeldGrants reports the grant to
// the control group until the grant's transactions have ended.
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

// heldGrants returns the current grant and the replaced grants that are still in use.
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

// changeSignal returns a channel that is closed at the next change of the role.
func (r *heldRole) changeSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.changed
}
