package lablease

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// Lease times that proxies and control instances must agree on.
const (
	TTL              = 3 * time.Second
	ClockDriftMargin = TTL / 10 // the clocks of two instances may drift apart by up to 10%
)

const shardCount = 16

// Table holds the active grants of one leadership. A new leader begins with an empty table.
type Table struct {
	leaderSince time.Duration
	databases   [shardCount]databaseShard
	instances   [shardCount]instanceShard
}

type databaseShard struct {
	lock   sync.Mutex
	grants map[string][]ActiveGrant
}

type instanceShard struct {
	lock       sync.Mutex
	heartbeats map[lab.InstanceID]*heartbeatProgress
}

// heartbeatProgress describes the newest heartbeat of an instance that the table has processed.
type heartbeatProgress struct {
	incarnation uint64
	request     uint64          // request id of the heartbeat
	databases   map[string]bool // databases on which the instance may have active grants
}

// AllowedGrant is a grant that the catalog allows an instance. Active grants may still conflict with it.
type AllowedGrant struct {
	Grant       lab.Grant
	FirstHolder bool // no other instance can ever have held a conflicting grant
}

// New returns an empty table for a leadership that began at start. Grants of earlier leaders may be active until
// EarlierGrantsExpiry.
func New(start time.Duration) *Table {
	t := &Table{leaderSince: start}
	for i := range t.databases {
		t.databases[i].grants = map[string][]ActiveGrant{}
		t.instances[i].heartbeats = map[lab.InstanceID]*heartbeatProgress{}
	}

	return t
}

// EarlierGrantsExpiry returns the time at which all grants of earlier leaders have expired.
func (t *Table) EarlierGrantsExpiry() time.Duration {
	return t.leaderSince + TTL + ClockDriftMargin
}

// GrantLookup returns the grant that the catalog currently allows the sender of a heartbeat for a gateway role.
type GrantLookup func(role lab.GatewayRole) (AllowedGrant, bool)

// Renew processes a heartbeat. It releases the grants that the sender no longer holds and returns the grants for the
// response. roles are the gateway roles placed on the sender, and lookup returns the allowed grant of each role. Renew
// returns false if it has already processed this heartbeat or a newer one of the sender. The response must then renew
// nothing.
//
// Renew holds the lock of the role's database while it calls lookup. Otherwise a grant looked up before a promotion
// started could be recorded after WritesEnded reported true.
func (t *Table) Renew(now time.Duration, h *lab.Heartbeat, roles []lab.GatewayRole, lookup GrantLookup) ([]lab.Grant, bool) {
	s := &t.instances[xxhash.Sum64String(string(h.Instance.ID))%shardCount]
	s.lock.Lock()
	defer s.lock.Unlock()
	q := s.heartbeats[h.Instance.ID]
	if q == nil {
		q = &heartbeatProgress{databases: map[string]bool{}}
		s.heartbeats[h.Instance.ID] = q
	}
	if h.Instance.Incarnation < q.incarnation || (h.Instance.Incarnation == q.incarnation && h.RequestID <= q.request) {
		return nil, false
	}
	q.incarnation, q.request = h.Instance.Incarnation, h.RequestID
	for d := range q.databases {
		if !t.release(now, h, d) {
			delete(q.databases, d)
		}
	}
	var grants []lab.Grant
	for _, d := range roles {
		if g, ok := t.grant(now, h, d, lookup); ok {
			grants = append(grants, g)
			q.databases[g.Role.Database] = true
		}
	}

	return grants, true
}

// release removes the expired and the released grants of a database, and reports whether the sender still has a grant
// for this database.
func (t *Table) release(now time.Duration, h *lab.Heartbeat, database string) bool {
	s := t.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()
	var kept []ActiveGrant
	holdsAny := false
	for _, r := range s.grants[database] {
		if r.Expiry > now && !r.released(h) {
			kept = append(kept, r)
			holdsAny = holdsAny || r.Holder == h.Instance.ID
		}
	}
	s.set(database, kept)

	return holdsAny
}

func (s *databaseShard) set(database string, grants []ActiveGrant) {
	if len(grants) == 0 {
		delete(s.grants, database)

		return
	}
	s.grants[database] = grants
}

// grant records and returns the grant that lookup allows for a gateway role. If that grant can't be given yet, it tries
// the same grant without write access.
func (t *Table) grant(now time.Duration, h *lab.Heartbeat, role lab.GatewayRole, lookup GrantLookup) (lab.Grant, bool) {
	s := t.shard(role.Database)
	s.lock.Lock()
	defer s.lock.Unlock()
	w, ok := lookup(role)
	if !ok {
		return lab.Grant{}, false
	}
	if t.grantable(now, s, h, w) {
		s.record(now, h, w.Grant)

		return w.Grant, true
	}
	w.Grant.Term, w.Grant.Writable = 0, false
	if t.grantable(now, s, h, w) {
		s.record(now, h, w.Grant)

		return w.Grant, true
	}

	return lab.Grant{}, false
}

func (t *Table) grantable(now time.Duration, s *databaseShard, h *lab.Heartbeat, w AllowedGrant) bool {
	if now < t.EarlierGrantsExpiry() && !w.FirstHolder && !renews(h, w.Grant) {
		return false
	}
	for _, r := range s.grants[w.Grant.Role.Database] {
		if r.Expiry > now && r.conflicts(&h.Instance, w.Grant) {
			return false
		}
	}

	return true
}

// renews reports whether the sender of a heartbeat already holds the grant g. If g is read-only, any grant of the same
// role and epoch suffices.
func renews(h *lab.Heartbeat, g lab.Grant) bool {
	for _, x := range h.Grants {
		if x == g || (!g.Writable && x.Role == g.Role && x.Epoch == g.Epoch) {
			return true
		}
	}

	return false
}

func (s *databaseShard) record(now time.Duration, h *lab.Heartbeat, g lab.Grant) {
	granted := ActiveGrant{
		Holder: h.Instance.ID, Incarnation: h.Instance.Incarnation, Grant: g, Expiry: now + TTL + ClockDriftMargin,
		address: h.Instance.Address,
	}
	list := s.grants[g.Role.Database]
	for i := range list {
		r := &list[i]
		if r.Holder == granted.Holder && r.Incarnation == granted.Incarnation && r.Grant == g {
			*r = granted

			return
		}
	}
	s.grants[g.Role.Database] = append(list, granted)
}

// WritesEnded reports whether no proxy can still hold a writable grant of a database.
func (t *Table) WritesEnded(now time.Duration, database string) bool {
	if now < t.EarlierGrantsExpiry() {
		return false
	}
	s := t.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, r := range s.grants[database] {
		if r.Expiry > now && r.Grant.Writable {
			return false
		}
	}

	return true
}

// Writer returns the writable grant of a database. It returns false unless exactly one such grant may be active.
func (t *Table) Writer(now time.Duration, database string) (ActiveGrant, bool) {
	if now < t.EarlierGrantsExpiry() {
		return ActiveGrant{}, false
	}
	s := t.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()
	var writer ActiveGrant
	count := 0
	for _, r := range s.grants[database] {
		if r.Expiry > now && r.Grant.Writable {
			writer = r
			count++
		}
	}

	return writer, count == 1
}

// ActiveGrants returns all grants that may be active, in no particular order.
func (t *Table) ActiveGrants(now time.Duration) []ActiveGrant {
	var list []ActiveGrant
	for i := range t.databases {
		s := &t.databases[i]
		s.lock.Lock()
		for _, grants := range s.grants {
			for _, r := range grants {
				if r.Expiry > now {
					list = append(list, r)
				}
			}
		}
		s.lock.Unlock()
	}

	return list
}

func (t *Table) shard(database string) *databaseShard {
	return &t.databases[xxhash.Sum64String(database)%shardCount]
}
