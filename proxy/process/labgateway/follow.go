package labgateway

import (
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const maxLeaveGrace = 5 * time.Second

// follow brings pools, slots and observation in line with the catalog.
func (d *duty) follow() {
	d.following.Lock()
	defer d.following.Unlock()

	database, found := d.gateway.Routes.Database(d.key.Database)
	if !found {
		return
	}

	d.mu.Lock()
	if d.closed || d.followed == database {
		d.mu.Unlock()

		return
	}

	d.followed = database

	var retired []*pool

	for name, p := range d.pools {
		m, found := database.Member(name)
		if !found || m.Region != d.key.Region || m.Address != p.member.Address || m.Incarnation != p.member.Incarnation {
			retired = append(retired, p)
			delete(d.pools, name)
		}
	}

	d.retired = append(d.retired, retired...)

	for _, m := range database.Members {
		if m.Region == d.key.Region {
			d.member(m)
		}
	}

	d.signal()
	d.mu.Unlock()

	for _, p := range retired {
		p.shut()
		d.gateway.Admission.Resize(d.slotKey(p.member.Member), 0)
	}

	d.resize(database)
	d.gateway.Observer.Watch(database, d.key.Region)
}

// member creates or updates the pool of a member; the caller holds the lock.
func (d *duty) member(m lab.Announcement) {
	p, found := d.pools[m.Member]
	if !found {
		p = &pool{
			member: m, dialer: d.gateway.Dialer, clock: d.gateway.Clock, probeAfter: d.gateway.probeAfter(),
			empty: make(chan struct{}),
		}
		p.verify = func(position labupstream.Position) error { return d.verify(m, position) }
		d.pools[m.Member] = p
	}

	p.follow(m)
}

// verify checks on a new connection that the member's role and position follow the history.
func (d *duty) verify(m lab.Announcement, position labupstream.Position) error {
	d.gateway.Observer.Note(m, d.gateway.Clock.Now(), position)

	database, found := d.gateway.Routes.Database(d.key.Database)
	if !found {
		return errNoPrimary
	}

	if m.Member == database.Primary {
		if position.InRecovery || position.Replayed.Term != database.CurrentTerm() {
			return errSuperseded
		}

		return nil
	}

	if !position.InRecovery || position.Replayed.Term > 0 && !fits(database, position.Replayed) {
		return errDivergent
	}

	return nil
}

// resize announces the slots that changed.
func (d *duty) resize(database *lab.Database) {
	for _, m := range database.Members {
		if m.Region != d.key.Region {
			continue
		}

		slots := m.Slots
		if m.Draining {
			slots = 0
		}

		d.gateway.Admission.Resize(d.slotKey(m.Member), slots)
	}
}

// slotKey names a member for admission.
func (d *duty) slotKey(member string) string {
	return d.key.Database + "/" + member
}

// tick ends what may no longer run and reports whether the duty is released.
func (d *duty) tick() (released bool) {
	now := d.gateway.Clock.Now()

	d.mu.Lock()
	expired := now >= d.current.until
	withdrawn := d.withdrawn
	idle := len(d.transactions) == 0
	previous := slices.Clone(d.previous)
	d.mu.Unlock()

	switch {
	case expired:
		d.force(errNoLease, func(*transaction) bool { return true })
		d.close()
	case withdrawn && idle:
		d.close()
	case withdrawn:
	default:
		d.follow()
	}

	for _, h := range previous {
		d.force(errSuperseded, func(t *transaction) bool {
			return t.grant == h.grant && t.writes() && (now >= h.until || d.lost(t.pool.Load()))
		})
	}

	d.force(errLeaving, d.overstays)
	d.purge()
	d.forget()

	return d.empty()
}

// purge closes the idle connections of members whose observer found its open connection silent: others that were open
// then are likely to be silent too.
func (d *duty) purge() {
	for _, v := range d.gateway.Observer.Views(d.key.Database, nil) {
		if p, found := d.pool(v.Member.Member); found && v.SilentAt > 0 {
			p.purge(v.SilentAt)
		}
	}
}

// overstays reports whether a transaction runs on a member that has been leaving for longer than the grace.
func (d *duty) overstays(t *transaction) bool {
	p := t.pool.Load()
	if p == nil {
		return false
	}

	since, leaving := p.left()
	if !leaving {
		return false
	}

	grace := maxLeaveGrace

	if o, found := d.gateway.Routes.Organisation(t.header.Organisation); found && o.Parameters.DrainGraceMS > 0 {
		grace = min(grace, time.Duration(o.Parameters.DrainGraceMS)*time.Millisecond)
	}

	return since >= grace
}

// force ends the transactions that match.
func (d *duty) force(cause error, match func(*transaction) bool) {
	d.mu.Lock()
	running := slices.Collect(maps.Keys(d.transactions))
	d.mu.Unlock()

	for _, t := range running {
		if match(t) && t.force(cause) {
			d.gateway.Logger.Warn().Str("database", d.key.Database).Uint64("request_id", t.header.RequestID).
				Str("cause", cause.Error()).Msg("transaction ended")
		}
	}
}

// lost reports whether the member of a pool is known not to answer. Its transactions can't end well then, and ending
// them lets the next term start sooner.
func (d *duty) lost(p *pool) bool {
	if p == nil {
		return false
	}

	for _, v := range d.gateway.Observer.Views(d.key.Database, nil) {
		if v.Member.Member == p.member.Member {
			return v.Lost
		}
	}

	return true
}

// close refuses new work and closes the pools.
func (d *duty) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()

		return
	}

	d.closed = true

	for _, p := range d.pools {
		d.retired = append(d.retired, p)
	}

	d.pools = map[string]*pool{}
	pools := append([]*pool{}, d.retired...)
	d.signal()
	d.mu.Unlock()

	for _, p := range pools {
		d.gateway.Admission.Resize(d.slotKey(p.member.Member), 0)
		p.shut()
	}
}

// forget drops retired pools whose connections are closed.
func (d *duty) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()

	left := d.retired[:0]

	for _, p := range d.retired {
		select {
		case <-p.empty:
		default:
			left = append(left, p)
		}
	}

	d.retired = left
}

// empty reports whether the duty is closed and all its connections are.
func (d *duty) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.closed {
		return false
	}

	return len(d.retired) == 0
}
