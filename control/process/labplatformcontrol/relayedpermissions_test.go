package labplatformcontrol

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestRelayedPermissions checks what a control instance keeps of the leader's grants, and what it grants and reports.
func TestRelayedPermissions(t *testing.T) {
	const now = time.Hour

	revision := func(term, number uint64) lab.PermissionRevision {
		return lab.PermissionRevision{Term: term, Number: number}
	}
	grant := func(term, number uint64, member string) lab.PermissionGrant {
		return lab.PermissionGrant{
			Revision: revision(term, number), Permissions: []lab.CommitPermission{{Service: "s", Member: member}}, ValidFor: grantDuration,
		}
	}
	watch := func(applied, confirmed lab.PermissionRevision) lab.WatchRequest {
		return lab.WatchRequest{Proxy: proxy("p"), Permissions: lab.PermissionReport{Applied: applied, Confirmed: confirmed}}
	}
	assertNothing := func(t *testing.T, g lab.PermissionGrant) {
		t.Helper()
		assert.Assert(t, g.Revision.IsZero() && len(g.Permissions) == 0 && g.ValidFor == 0, "%v", g)
	}
	none := lab.PermissionRevision{}

	// start returns what an instance that has run for long has after one grant of the leader.
	start := func() *relayedPermissions {
		p := &relayedPermissions{}
		p.begin(now - time.Minute)
		p.apply(grant(2, 5, "a"), now)

		return p
	}

	t.Run("no list yet", func(t *testing.T) {
		p := &relayedPermissions{}
		assertNothing(t, p.grant(watch(none, none), now))
	})

	t.Run("passed on with the leader's end", func(t *testing.T) {
		g := start().grant(watch(none, none), now+100)
		assert.Assert(t, slices.Equal(g.Permissions, grant(2, 5, "a").Permissions))
		assert.Equal(t, g.ValidFor, grantDuration-100)
	})

	t.Run("the list is sent once", func(t *testing.T) {
		g := start().grant(watch(revision(2, 5), none), now)
		assert.Equal(t, g.Revision, revision(2, 5))
		assert.Equal(t, len(g.Permissions), 0)
		assert.Equal(t, g.ValidFor, grantDuration)
	})

	t.Run("a lapsed grant gives no time", func(t *testing.T) {
		assert.Equal(t, start().grant(watch(none, none), now+grantDuration).ValidFor, time.Duration(0))
	})

	t.Run("an earlier list is ignored", func(t *testing.T) {
		for _, g := range []lab.PermissionGrant{grant(2, 4, "b"), grant(1, 9, "b"), {}} {
			p := start()
			p.apply(g, now+1000)
			assert.Equal(t, p.grant(watch(none, none), now).Permissions[0].Member, "a")
			assert.Equal(t, p.grant(watch(none, none), now).ValidFor, grantDuration)
		}
	})

	t.Run("the same list extends the grant and never shortens it", func(t *testing.T) {
		p, g := start(), grant(2, 5, "")
		g.Permissions = nil // the leader knows that the receiver has it
		p.apply(g, now+1000)
		p.apply(g, now-1000)
		assert.Equal(t, p.grant(watch(none, none), now).ValidFor, grantDuration+1000)
		assert.Equal(t, p.grant(watch(none, none), now).Permissions[0].Member, "a")
	})

	t.Run("a later list replaces list and end", func(t *testing.T) {
		p := start()
		p.apply(grant(3, 1, "b"), now-1000)
		assert.Equal(t, p.grant(watch(none, none), now).ValidFor, grantDuration-1000)
		assert.Equal(t, p.grant(watch(none, none), now).Permissions[0].Member, "b")
	})

	t.Run("nothing for a proxy with a later list or another relay", func(t *testing.T) {
		assertNothing(t, start().grant(watch(revision(3, 1), none), now))

		r := watch(none, none)
		r.Relay = true
		assertNothing(t, start().grant(r, now))
	})

	t.Run("confirmed when the proxies have confirmed", func(t *testing.T) {
		p := start()
		assert.Equal(t, p.report(now).Confirmed, revision(2, 5), "nobody has an earlier list")

		p.grant(watch(none, none), now)
		p.apply(grant(2, 6, "b"), now)
		assert.Equal(t, p.report(now), lab.PermissionReport{Applied: revision(2, 6), Confirmed: revision(2, 5)})
		assert.Assert(t, !p.record(watch(revision(2, 6), revision(2, 5)), now))
		assert.Assert(t, p.record(watch(revision(2, 6), revision(2, 6)), now), "the leader must learn of it")
		assert.Assert(t, !p.record(watch(revision(2, 6), revision(2, 6)), now), "nothing new")
		assert.Equal(t, p.report(now).Confirmed, revision(2, 6))
	})

	t.Run("confirmed when the grants have ended", func(t *testing.T) {
		p := start()
		p.report(now)
		p.grant(watch(none, none), now)
		p.apply(grant(2, 6, "b"), now)
		assert.Equal(t, p.report(now+grantDuration).Confirmed, revision(2, 5))
		assert.Equal(t, p.report(now+grantDuration+grantMargin).Confirmed, revision(2, 6))
	})

	t.Run("a process that has just started waits for the grants of its former run", func(t *testing.T) {
		p := &relayedPermissions{}
		p.begin(now)
		p.apply(grant(2, 5, "a"), now)
		assert.Equal(t, p.report(now+grantDuration).Confirmed, none)
		assert.Equal(t, p.report(now+grantDuration+grantMargin).Confirmed, revision(2, 5))
	})
}
