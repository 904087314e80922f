package labplatformcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
)

// TestPermissionChanges guards against a permission that a receiver keeps after it was withdrawn, while receivers move
// between control instances that are behind and the leader changes.
func TestPermissionChanges(t *testing.T) {
	const now = time.Hour

	random := labrandom.NewSeeded(1)
	pick := func(n int) int { return int(random.Uint64() % uint64(n)) }
	lists := map[lab.PermissionRevision][]lab.CommitPermission{} // by revision

	var (
		leader, successor permissions
		relays            [2]relayedPermissions
		receivers         [4]relayedPermissions // apply grants as proxies do
		changes           int                   // number of grants with changes
	)

	publish := func(w *permissions, term uint64) {
		list := []lab.CommitPermission{}

		for s := range 8 {
			if pick(4) > 0 {
				list = append(list, lab.CommitPermission{Service: fmt.Sprint("s", s), Member: fmt.Sprint("m", pick(2))})
			}
		}

		w.revision = lab.PermissionRevision{Term: term, Number: w.revision.Number + 1}
		w.changes.add(differingPermissions(w.list, list), w.revision)
		w.list = list
		lists[w.revision] = list
	}
	watch := func(p *relayedPermissions) lab.WatchRequest {
		return lab.WatchRequest{Proxy: proxy("p"), AcceptsChanges: true, Permissions: lab.PermissionReport{Applied: p.revision}}
	}
	receive := func(p *relayedPermissions, g lab.PermissionGrant) {
		if !g.Base.IsZero() {
			changes++
		}

		p.apply(g, now)

		if !p.revision.IsZero() {
			assert.Assert(t, slices.Equal(p.list, lists[p.revision]), "%v: %v, want %v", p.revision, p.list, lists[p.revision])
		}
	}

	for n := range 4000 {
		w, term := &leader, uint64(1)
		if n >= 2000 {
			w, term = &successor, 2
		}

		switch pick(8) {
		case 0:
			publish(w, term)
		case 1, 2:
			p := &relays[pick(2)]
			if v := w.revision; !v.IsZero() && !v.Before(p.revision) {
				receive(p, newGrant(v, w.list, &w.changes, watch(p), grantDuration))
			}
		default:
			p := &receivers[pick(4)]
			receive(p, relays[pick(2)].grant(watch(p), now))
		}
	}

	assert.Assert(t, changes > 100, "%d changes", changes)

	t.Run("a receiver that doesn't know changes", func(t *testing.T) {
		r := lab.WatchRequest{Permissions: lab.PermissionReport{Applied: lab.PermissionRevision{Term: 2, Number: 1}}}
		g := newGrant(successor.revision, successor.list, &successor.changes, r, grantDuration)
		assert.Assert(t, g.Base.IsZero() && slices.Equal(g.Permissions, successor.list))
	})

	t.Run("changes of another list are ignored", func(t *testing.T) {
		p := receivers[0]
		v := lab.PermissionRevision{Term: 3, Number: 5}
		p.apply(lab.PermissionGrant{Revision: v, Base: lab.PermissionRevision{Term: 3, Number: 4}}, now)
		assert.Assert(t, p.revision != v)
	})
}
