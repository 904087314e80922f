package lablease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/lablease"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

var regions = []string{"gulf-coast", "bothnia"}

const database = "rota-core-1"

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), catalog: labcatalog.New()}
	for i, n := range []lab.InstanceID{"a", "b", "c"} {
		s.start(lab.Instance{ID: n, Incarnation: 1, Region: regions[i/2], Address: string(n)})
		s.apply(labcatalog.Command{JoinedProxies: []lab.Instance{s.processes[i].instance}})
	}
	for _, r := range regions {
		s.apply(labcatalog.Command{Announcements: []lab.Announcement{{Database: database, Member: r, Address: r, Region: r}}})
		s.movePlacement(r)
	}
	s.apply(labcatalog.Command{Term: &labcatalog.TermStarted{Database: database, Term: 1, Primary: regions[0]}})
	s.elect()

	return s
}

// movePlacement places the gateway role of a region on a random proxy.
func (s *simulation) movePlacement(region string) {
	d, _ := s.catalog.Database(database)
	p, _ := d.Placement(region)
	target := lab.InstanceID("c")
	if region == regions[0] {
		target = []lab.InstanceID{"a", "b"}[s.intN(2)]
	}
	s.apply(labcatalog.Command{Placements: []labcatalog.PlacementChange{
		{GatewayRole: lab.GatewayRole{Database: database, Region: region}, Instance: target, BaseEpoch: p.Epoch},
	}})
}

// promote performs the next step of a promotion if the active grants allow it.
func (s *simulation) promote() {
	d, _ := s.catalog.Database(database)
	p, running := s.catalog.Promotion(database)
	switch {
	case !running:
		s.apply(labcatalog.Command{Started: &labcatalog.PromotionStarted{Database: database, Term: d.CurrentTerm() + 1, Primary: d.Primary}})
	case !s.table.WritesEnded(scaled(s.now, s.leaderClockRate), database):
	case s.intN(3) == 0:
		s.apply(labcatalog.Command{Cancelled: &labcatalog.PromotionCancelled{Database: database, Term: p.Term, Primary: p.OldPrimary}})
	default:
		m := regions[s.intN(2)]
		s.apply(labcatalog.Command{Chosen: &labcatalog.PromotionChosen{Database: database, Term: p.Term, Member: m, BaseChoiceIndex: p.ChoiceIndex}})
		s.apply(labcatalog.Command{Term: &labcatalog.TermStarted{Database: database, Term: p.Term, Primary: m, ChoiceIndex: s.index}})
	}
}

// restart starts a new incarnation of a proxy. If it has the same address, the old process has stopped. If it has
// another address, the old process may still run.
func (s *simulation) restart(p *proxyProcess) {
	next := p.instance
	next.Incarnation++
	if s.intN(2) == 0 {
		p.dead = true
	} else {
		next.Address = fmt.Sprintf("%s-%d", next.ID, next.Incarnation)
	}
	s.start(next)
}

// latestIncarnation returns the process with the latest incarnation of a proxy.
func (s *simulation) latestIncarnation(id lab.InstanceID) *proxyProcess {
	var newest *proxyProcess
	for _, p := range s.processes {
		if p.instance.ID == id {
			newest = p
		}
	}

	return newest
}

func (s *simulation) advance() {
	s.now += step
	var later, due []message
	for _, m := range s.messages {
		if m.deliverAt <= s.now {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	s.messages = later
	for _, m := range due {
		if m.response != nil {
			s.handleResponse(m.from, m.response)
		} else {
			s.handleHeartbeat(m)
		}
	}
	for _, p := range s.processes {
		if !p.dead && (s.now/step)%10 == 0 {
			s.sendHeartbeat(p)
		}
	}
	switch s.intN(160) {
	case 0, 1, 2:
		s.movePlacement(regions[s.intN(2)])
	case 3, 4, 5, 6, 7, 8, 9:
		s.promote()
	case 10:
		s.elect()
	case 11:
		s.restart(s.latestIncarnation([]lab.InstanceID{"a", "b", "c"}[s.intN(3)]))
	}
}

// Guards against two proxies using one gateway role at the same time, and against two writers of one database. The
// simulation makes clocks drift, loses, delays, reorders and repeats messages, restarts proxies and changes the leader.
func TestGrantsNeverOverlap(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		for range 1200 {
			s.advance()
			if s.conflict != "" {
				t.Fatalf("at %v: %s", s.now, s.conflict)
			}
		}
		granted += s.grants
	})
	assert.Assert(t, granted > 0)
	t.Logf("grants accepted: %d", granted)
}

func heartbeat(id lab.InstanceID, request uint64, held ...lab.Grant) *lab.Heartbeat {
	return &lab.Heartbeat{RequestID: request, Instance: lab.Instance{ID: id, Incarnation: 1, Address: string(id)}, Grants: held}
}

func respond(table *lablease.Table, now time.Duration, h *lab.Heartbeat, allowed ...lab.Grant) []lab.Grant {
	roles := make([]lab.GatewayRole, 0, len(allowed))
	for _, g := range allowed {
		roles = append(roles, g.Role)
	}
	grants, _ := table.Renew(now, h, roles, func(d lab.GatewayRole) (lablease.AllowedGrant, bool) {
		for _, g := range allowed {
			if g.Role == d {
				return lablease.AllowedGrant{Grant: g}, true
			}
		}

		return lablease.AllowedGrant{}, false
	})

	return grants
}

// Guards against a grant that is not transferred at once although its holder has confirmed the release, and against a
// grant that is transferred before its expiry without this confirmation.
func TestGrantTransfer(t *testing.T) {
	role := lab.GatewayRole{Database: database, Region: regions[0]}
	one, two := lab.Grant{Role: role, Epoch: 1, Term: 1, Writable: true}, lab.Grant{Role: role, Epoch: 2, Term: 1, Writable: true}
	const now = time.Minute
	begin := func() *lablease.Table {
		table := lablease.New(0)
		respond(table, now, heartbeat("a", 1), one)

		return table
	}
	t.Run("confirmed", func(t *testing.T) {
		table := begin()
		respond(table, now, heartbeat("a", 2, one))
		assert.Equal(t, len(respond(table, now, heartbeat("b", 1), two)), 0)
		respond(table, now, heartbeat("a", 3))
		assert.Equal(t, len(respond(table, now, heartbeat("b", 2), two)), 1)
	})
	t.Run("late heartbeat confirms nothing", func(t *testing.T) {
		table := begin()
		respond(table, now, heartbeat("a", 3, one), one)
		respond(table, now, heartbeat("a", 2))
		assert.Equal(t, len(respond(table, now, heartbeat("b", 1), two)), 0)
	})
	t.Run("expired", func(t *testing.T) {
		table := begin()
		assert.Equal(t, len(respond(table, now+lablease.TTL, heartbeat("b", 1), two)), 0)
		assert.Equal(t, len(respond(table, now+lablease.TTL+lablease.ClockDriftMargin, heartbeat("b", 2), two)), 1)
	})
	t.Run("new leader renews but doesn't transfer", func(t *testing.T) {
		table := lablease.New(now)
		assert.DeepEqual(t, respond(table, now, heartbeat("a", 9, one), one), []lab.Grant{one})
		assert.Equal(t, len(respond(table, now, heartbeat("b", 1), two)), 0)
		assert.Assert(t, !table.WritesEnded(now, "other"))
	})
	t.Run("new term of the same process", func(t *testing.T) {
		table := begin()
		next := one
		next.Term = 2
		assert.Equal(t, respond(table, now, heartbeat("a", 2, one), next)[0].Writable, false)
		assert.DeepEqual(t, respond(table, now, heartbeat("a", 3), next), []lab.Grant{next})
	})
	t.Run("writable grant stays active in another region", func(t *testing.T) {
		table := begin()
		other := lab.Grant{Role: lab.GatewayRole{Database: database, Region: regions[1]}, Epoch: 1, Term: 2, Writable: true}
		assert.Equal(t, respond(table, now, heartbeat("c", 1), other)[0].Writable, false)
		assert.Assert(t, !table.WritesEnded(now, database))
	})
}
