package lablease

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// The lease times that proxies and control agree on.
const (
	TTL              = 3 * time.Second
	ClockDriftMargin = TTL / 10 // clocks of two instances may drift apart by 10%
)

const shardCount = 16

// Table is the lease bookkeeping of one leadership.
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

// heartbeatProgress is how far the heartbeats of an instance were processed.
type heartbeatProgress struct {
	incarnation uint64
	request     uint64
	databases   map[string]bool // databases on which the instance may have rights
}

// AllowedGrant is a grant that the catalog allows.
type AllowedGrant struct {
	Grant       lab.Grant
	FirstHolder bool // nobody else can ever have held a grant that excludes this one
}

// New returns the table of a leadership that began at a time; grants of earlier leaders may be in use until Quiet.
func New(start time.Duration) *Table {
	t := &Table{leaderSince: start}
	for i := range t.databases {
		t.databases[i].grants = map[string][]ActiveGrant{}
		t.instances[i].heartbeats = map[lab.InstanceID]*heartbeatProgress{}
	}

	return t
}

// EarlierGrantsExpiry returns the time until which grants of earlier leaders may be in use.
func (t *Table) EarlierGrantsExpiry() time.Duration {
	return t.leaderSince + TTL + ClockDriftMargin
}

// GrantLookup returns what the catalog allows the sender for a duty now.
type GrantLookup func(duty lab.GatewayRole) (AllowedGrant, bool)

// Heartbeat processes releases and returns the grants that the answer may carry for the duties placed on the sender. It
// returns false for a heartbeat that is older than one processed before; its answer must renew nothing. It calls look
// under the lock of the duty's database: otherwise a grant looked up before a promotion started could be recorded after
// WritesEnded reported true.
func (t *Table) Heartbeat(now time.Duration, h *lab.Heartbeat, duties []lab.GatewayRole, look GrantLookup) ([]lab.Grant, bool) {
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
	for _, d := range duties {
		if g, ok := t.grant(now, h, d, look); ok {
			grants = append(grants, g)
			q.databases[g.Role.Database] = true
		}
	}

	return grants, true
}

// release drops rights that have ended and reports whether the sender still has any on the database.
func (t *Table) release(now time.Duration, h *lab.Heartbeat, database string) bool {
	s := t.shard(database)
	s.lock.Lock()
	defer s.lock.Unlock()
	var kept []ActiveGrant
	mine := false
	for _, r := range s.grants[database] {
		if r.Expiry > now && !r.released(h) {
			kept = append(kept, r)
			mine = mine || r.Holder == h.Instance.ID
		}
	}
	s.set(database, kept)

	return mine
}

func (s *databaseShard) set(database string, rights []ActiveGrant) {
	if len(rights) == 0 {
		delete(s.grants, database)

		return
	}
	s.grants[database] = rights
}

// grant records and returns the wanted grant, or its part without writes while another write right is in use.
func (t *Table) grant(now time.Duration, h *lab.Heartbeat, d lab.GatewayRole, look GrantLookup) (lab.Grant, bool) {
	s := t.shard(d.Database)
	s.lock.Lock()
	defer s.lock.Unlock()
	w, ok := look(d)
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

// renews reports whether a grant is held already, with at least the same rights at the same epoch.
func renews(h *lab.Heartbeat, g lab.Grant) bool {
	for _, x := range h.Grants {
		if x == g || (!g.Writable && x.Role == g.Role && x.Epoch == g.Epoch) {
			return true
		}
	}

	return false
}

func (s *databaseShard) record(now time.Duration, h *lab.Heartbeat, g lab.Grant) {
	right := ActiveGrant{
		Holder: h.Instance.ID, Incarnation: h.Instance.Incarnation, Grant: g, Expiry: now + TTL + ClockDriftMargin,
		address: h.Instance.Address,
	}
	list := s.grants[g.Role.Database]
	for i := range list {
		r := &list[i]
		if r.Holder == right.Holder && r.Incarnation == right.Incarnation && r.Grant == g {
			*r = right

			return
		}
	}
	s.grants[g.Role.Database] = append(list, right)
}

// WritesEnded reports whether nobody can still hold a right to write to a database.
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

// Writer returns the right to write to a database when it is the only one that may be in use.
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

// ActiveGrants returns the rights that may be in use, in any order.
func (t *Table) ActiveGrants(now time.Duration) []ActiveGrant {
	var list []ActiveGrant
	for i := range t.databases {
		s := &t.databases[i]
		s.lock.Lock()
		for _, rights := range s.grants {
			for _, r := range rights {
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
