package labgateway

import (
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// maxDrainGrace bounds the drain grace period of organisations, and is the default for those that set none.
const maxDrainGrace = 5 * time.Second

// applyCatalog updates the pools, the admission slots and the observed members to the current catalog.
func (r *heldRole) applyCatalog() {
	r.catalogMu.Lock()
	defer r.catalogMu.Unlock()

	database, found := r.gateway.Catalog.Database(r.key.Database)
	if !found {
		return
	}

	r.mu.Lock()
	if r.closed || r.appliedCatalog == database {
		r.mu.Unlock()

		return
	}

	r.appliedCatalog = database

	var retired []*pool

	for name, p := range r.pools {
		m, found := database.Member(name)
		if !found || m.Region != r.key.Region || m.Address != p.member.Address ||
			m.Incarnation != p.member.Incarnation {
			retired = append(retired, p)
			delete(r.pools, name)
		}
	}

	r.retiredPools = append(r.retiredPools, retired...)

	for _, m := range database.Members {
		if m.Region == r.key.Region {
			r.updatePool(m)
		}
	}

	r.notifyWaiters()
	r.mu.Unlock()

	for _, p := range retired {
		p.close()
		r.gateway.Admission.Resize(r.admissionKey(p.member.Member), 0)
	}

	r.resizeSlots(database)
	r.gateway.Observer.Watch(database, r.key.Region)
}

// updatePool creates or updates the pool of a member; the caller holds the lock.
func (r *heldRole) updatePool(m lab.Announcement) {
	p, found := r.pools[m.Member]
	if !found {
		p = &pool{
			member: m, dialer: r.gateway.Dialer, clock: r.gateway.Clock, probeAfterIdle: r.gateway.probeAfterIdle(),
			allClosed: make(chan struct{}),
		}
		p.verify = func(position labupstream.Position) error { return r.verifyMember(m, position) }
		r.pools[m.Member] = p
	}

	p.applyAnnouncement(m)
}

// verifyMember checks the role and position that a member reported on a new connection against the catalog's primary
// and term history.
func (r *heldRole) verifyMember(m lab.Announcement, position labupstream.Position) error {
	r.gateway.Observer.RecordPosition(m, r.gateway.Clock.Now(), position)

	database, found := r.gateway.Catalog.Database(r.key.Database)
	if !found {
		return errNoPrimary
	}

	if m.Member == database.Primary {
		if position.InRecovery || position.Replayed.Term != database.CurrentTerm() {
			return errSuperseded
		}

		return nil
	}

	if !position.InRecovery || position.Replayed.Term > 0 && !followsHistory(database, position.Replayed) {
		return errDiverged
	}

	return nil
}

// resizeSlots sets the admission slots of the members in the role's region; a draining member has none.
func (r *heldRole) resizeSlots(database *lab.Database) {
	for _, m := range database.Members {
		if m.Region != r.key.Region {
			continue
		}

		slots := m.Slots
		if m.Draining {
			slots = 0
		}

		r.gateway.Admission.Resize(r.admissionKey(m.Member), slots)
	}
}

// admissionKey returns the name by which admission identifies a member.
func (r *heldRole) admissionKey(member string) string {
	return r.key.Database + "/" + member
}

// enforce terminates the transactions that may no longer run, and closes the role when it may no longer be used. It
// reports whether the role is released, which means that it is closed and all its connections are closed.
func (r *heldRole) enforce() (released bool) {
	now := r.gateway.Clock.Now()

	r.mu.Lock()
	expired := now >= r.current.expiry
	withdrawn := r.withdrawn
	idle := len(r.transactions) == 0
	previous := slices.Clone(r.previous)
	r.mu.Unlock()

	switch {
	case expired:
		r.terminateTransactions(errNoLease, func(*transaction) bool { return true })
		r.close()
	case withdrawn && idle:
		r.close()
	case withdrawn:
	default:
		r.applyCatalog()
	}

	for _, lg := range previous {
		r.terminateTransactions(errSuperseded, func(t *transaction) bool {
			return t.grant == lg.grant && t.mayWrite() && (now >= lg.expiry || r.memberUnreachable(t.pool.Load()))
		})
	}

	r.terminateTransactions(errMemberDraining, r.exceedsDrainGrace)
	r.purgeUnresponsive()
	r.dropEmptyPools()

	return r.connectionsClosed()
}

// purgeUnresponsive closes the idle connections that were last used before the observer's own connection to the same
// member became unresponsive. These connections have probably failed too.
func (r *heldRole) purgeUnresponsive() {
	for _, v := range r.gateway.Observer.Views(r.key.Database, nil) {
		if p, found := r.pool(v.Member.Member); found && v.UnresponsiveAt > 0 {
			p.purgeOlder(v.UnresponsiveAt)
		}
	}
}

// exceedsDrainGrace reports whether a transaction runs on a member that has been draining for longer than the drain
// grace period.
func (r *heldRole) exceedsDrainGrace(t *transaction) bool {
	p := t.pool.Load()
	if p == nil {
		return false
	}

	elapsed, draining := p.drainingFor()
	if !draining {
		return false
	}

	grace := maxDrainGrace

	if o, found := r.gateway.Catalog.Organisation(t.header.Organisation); found && o.Parameters.DrainGraceMS > 0 {
		grace = min(grace, time.Duration(o.Parameters.DrainGraceMS)*time.Millisecond)
	}

	return elapsed >= grace
}

// terminateTransactions terminates the transactions for which match returns true.
func (r *heldRole) terminateTransactions(cause error, match func(*transaction) bool) {
	r.mu.Lock()
	running := slices.Collect(maps.Keys(r.transactions))
	r.mu.Unlock()

	for _, t := range running {
		if match(t) && t.terminate(cause) {
			r.gateway.Logger.Warn().Str("database", r.key.Database).Uint64("request_id", t.header.RequestID).
				Str("cause", cause.Error()).Msg("transaction ended")
		}
	}
}

// memberUnreachable reports whether the member of a pool is unreachable or no longer observed. Transactions on such a
// member cannot complete, and terminating them lets the next primary term start sooner.
func (r *heldRole) memberUnreachable(p *pool) bool {
	if p == nil {
		return false
	}

	for _, v := range r.gateway.Observer.Views(r.key.Database, nil) {
		if v.Member.Member == p.member.Member {
			return v.Unreachable
		}
	}

	return true
}

// close makes the role reject new transactions and closes the pools.
func (r *heldRole) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()

		return
	}

	r.closed = true

	for _, p := range r.pools {
		r.retiredPools = append(r.retiredPools, p)
	}

	r.pools = map[string]*pool{}
	pools := append([]*pool{}, r.retiredPools...)
	r.notifyWaiters()
	r.mu.Unlock()

	for _, p := range pools {
		r.gateway.Admission.Resize(r.admissionKey(p.member.Member), 0)
		p.close()
	}
}

// dropEmptyPools removes the retired pools whose connections are all closed.
func (r *heldRole) dropEmptyPools() {
	r.mu.Lock()
	defer r.mu.Unlock()

	left := r.retiredPools[:0]

	for _, p := range r.retiredPools {
		select {
		case <-p.allClosed:
		default:
			left = append(left, p)
		}
	}

	r.retiredPools = left
}

// connectionsClosed reports whether the role and all its connections are closed.
func (r *heldRole) connectionsClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !r.closed {
		return false
	}

	return len(r.retiredPools) == 0
}
