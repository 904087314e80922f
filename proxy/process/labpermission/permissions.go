package labpermission

import (
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

// drainTime is how long a list that withdraws permissions waits for the commits under way. It covers the response of a
// member in another region that waits for its replicas. A response that comes later isn't reported as a success.
const drainTime = 250 * time.Millisecond

// Permissions are the permissions to commit of this proxy. It is safe for concurrent use; exported fields are set before
// use.
type Permissions struct {
	Clock lab.Clock
	Log   zerolog.Logger
	// Drained is called when Confirmed of the report moves since a commit has ended; it must not block.
	Drained func()

	mutex   sync.Mutex
	applied lab.PermissionRevision
	end     time.Duration            // time at which the grant ends
	lapsed  bool                     // whether the end of the grant has been noticed
	current map[string]*permission   // permissions of the applied list by service
	former  map[*permission]struct{} // former permissions with commits under way

	changes expvar.Int // number of applied lists that opened or closed services
	lapses  expvar.Int // number of times that the grant ended without a renewal
}

// permission allows commits at a member from the time at which it was granted until it is withdrawn or lapses.
type permission struct {
	service  string
	member   string
	underWay int  // number of commits under way
	former   bool // whether it was withdrawn or has lapsed
	lapsed   bool // whether its grant ended without a renewal

	draining  bool                   // whether the applied list waits for its commits
	drainedAt time.Duration          // time at which the list stops to wait for them
	before    lab.PermissionRevision // revision applied before the one that waits
}

// Apply applies a grant in the response to a request sent at the given time. It reports whether other commits than before
// are allowed.
func (p *Permissions) Apply(g lab.PermissionGrant, sentAt time.Duration) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if g.Revision.IsZero() || g.Revision.Before(p.applied) || (!g.Base.IsZero() && g.Base != p.applied) {
		return false
	}

	now, end := p.Clock.Now(), sentAt+g.ValidFor

	lapsed := p.hasEndedLocked(now)
	if lapsed && (g.Revision != p.applied || end > p.end) {
		p.lapseLocked()
	}

	if g.Revision == p.applied {
		if end <= p.end {
			return false
		}

		p.renewLocked(now, end)

		return lapsed
	}

	p.replaceLocked(g, now)
	p.renewLocked(now, end)

	return true
}

// lapseLocked ends the permissions of a grant that has lapsed and is renewed or replaced: the control group may have let
// another member commit in between.
func (p *Permissions) lapseLocked() {
	for f := range p.former {
		f.lapsed = true
	}

	for service, c := range p.current {
		if c.underWay > 0 {
			p.current[service] = &permission{service: c.service, member: c.member}
			c.lapsed = true
			p.retireLocked(c)
		}
	}
}

// renewLocked sets the end of the grant.
func (p *Permissions) renewLocked(now, end time.Duration) {
	previous := p.end
	p.end = end

	if p.lapsed && now < end {
		p.lapsed = false
		p.Log.Info().Uint64("term", p.applied.Term).Uint64("number", p.applied.Number).Dur("after", now-previous).
			Msg("permissions_regained")
	}
}

// replaceLocked replaces the list. Permissions that both lists contain stay the same.
func (p *Permissions) replaceLocked(g lab.PermissionGrant, now time.Duration) {
	list := map[string]*permission{}

	var opened, closed []string

	for _, l := range p.grantedLocked(g) {
		c := p.current[l.Service]
		if c == nil || c.member != l.Member {
			c = &permission{service: l.Service, member: l.Member}
			opened = append(opened, l.Service+"="+l.Member)
		}

		list[l.Service] = c
	}

	for service, c := range p.current {
		if list[service] != c {
			closed = append(closed, service+"="+c.member)
			p.retireLocked(c)
		}
	}

	for f := range p.former {
		if l, ok := list[f.service]; !f.draining && (!ok || l.member != f.member) {
			f.draining, f.drainedAt, f.before = true, now+drainTime, p.applied
		}
	}

	p.current, p.applied = list, g.Revision

	if len(opened)+len(closed) > 0 {
		slices.Sort(opened)
		slices.Sort(closed)
		p.changes.Add(1)
		p.Log.Info().Uint64("term", g.Revision.Term).Uint64("number", g.Revision.Number).Strs("opened", opened).
			Strs("closed", closed).Msg("permissions_changed")
	}
}

// grantedLocked returns the list of a grant, which may hold the changes of the applied list only.
func (p *Permissions) grantedLocked(g lab.PermissionGrant) []lab.CommitPermission {
	if g.Base.IsZero() {
		return g.Permissions
	}

	list := map[string]string{} // member by service
	for service, c := range p.current {
		list[service] = c.member
	}

	for _, l := range g.Permissions {
		list[l.Service] = l.Member
	}

	out := make([]lab.CommitPermission, 0, len(list))

	for service, member := range list {
		if member != "" {
			out = append(out, lab.CommitPermission{Service: service, Member: member})
		}
	}

	return out
}

func (p *Permissions) retireLocked(c *permission) {
	c.former = true

	if c.underWay == 0 {
		return
	}

	if p.former == nil {
		p.former = map[*permission]struct{}{}
	}

	p.former[c] = struct{}{}
}

// hasEndedLocked reports whether no grant is valid, and records the end of a grant when it is first noticed.
func (p *Permissions) hasEndedLocked(now time.Duration) bool {
	if p.applied.IsZero() {
		return true
	}

	if now < p.end {
		return false
	}

	if !p.lapsed {
		p.lapsed = true
		p.lapses.Add(1)
		p.Log.Warn().Uint64("term", p.applied.Term).Uint64("number", p.applied.Number).Dur("since", now-p.end).
			Msg("permissions_lapsed")
	}

	return true
}

// Allows reports whether commits of the service may be sent to the member now.
func (p *Permissions) Allows(service, member string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.allowingLocked(service, member) != nil
}

func (p *Permissions) allowingLocked(service, member string) *permission {
	if p.hasEndedLocked(p.Clock.Now()) {
		return nil
	}

	if c := p.current[service]; c != nil && c.member == member {
		return c
	}

	return nil
}

// Begin begins a commit of the service at the member. It returns false if the commit must not be sent.
func (p *Permissions) Begin(service, member string) (*Commit, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	c := p.allowingLocked(service, member)
	if c == nil {
		return nil, false
	}

	c.underWay++

	return &Commit{permissions: p, permission: c}, true
}

// Report returns the report for the control group.
func (p *Permissions) Report() lab.PermissionReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.Clock.Now()
	p.hasEndedLocked(now)

	return lab.PermissionReport{Applied: p.applied, Confirmed: p.confirmedLocked(now)}
}

// awaited reports whether the permission was withdrawn and its commits keep the list without it from being confirmed.
func (c *permission) awaited(now time.Duration) bool {
	return c.draining && !c.lapsed && now < c.drainedAt
}

// confirmedLocked returns the newest list that waits for no commit. A commit that a list waits for holds up all later
// lists as well, since the control group takes a later revision as a confirmation of the earlier ones.
func (p *Permissions) confirmedLocked(now time.Duration) lab.PermissionRevision {
	r := p.applied

	for f := range p.former {
		if f.draining && now < f.drainedAt && f.before.Before(r) {
			r = f.before
		}
	}

	return r
}

// DrainsIn returns the time after which Confirmed of the report moves even if no commit ends. It returns false if
// Confirmed is the applied list.
func (p *Permissions) DrainsIn() (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	now := p.Clock.Now()
	wait, ok := time.Duration(0), false

	for f := range p.former {
		if left := f.drainedAt - now; f.draining && left > 0 && (!ok || left < wait) {
			wait, ok = left, true
		}
	}

	return wait, ok
}

// Publish adds the counters to a map.
func (p *Permissions) Publish(m *expvar.Map) {
	m.Set("permission_changes", &p.changes)
	m.Set("permission_lapses", &p.lapses)
}
