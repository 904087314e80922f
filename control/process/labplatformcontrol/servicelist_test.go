package labplatformcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestPositionsOfListedServices guards against answers with the positions of all services, which at 1,000 services are
// 38 KB twice a second on a link of 1.4 Mbit/s, and against a proxy that gets none because its list isn't known.
func TestPositionsOfListedServices(t *testing.T) {
	c := newCluster(t, 1)
	k := c.controllers[c.leaderIndex()]

	assertPositions := func(changes lab.ServiceChanges, revision uint64, want ...string) {
		t.Helper()

		now, reports := k.Clock.Now(), []lab.PositionReport{}
		for _, s := range []string{"s", "t", "u"} {
			reports = append(reports, lab.PositionReport{Service: s, Position: lab.CommitPosition{Term: 1}, RequestedAt: now})
		}

		k.positions.Record(reports, now)

		a, err := c.watch(0, lab.WatchRequest{Proxy: proxy("p"), Services: changes, MaxWait: time.Millisecond})
		assert.NilError(t, err)
		assert.Equal(t, a.ServicesRevision, revision)

		var got []string
		for _, p := range a.Positions {
			got = append(got, p.Service)
		}

		assert.DeepEqual(t, got, want)
	}

	assertPositions(lab.ServiceChanges{}, 0, "s", "t", "u")
	assertPositions(lab.ServiceChanges{Revision: 1, Added: []string{"s", "t"}}, 1, "s", "t")
	assertPositions(lab.ServiceChanges{Base: 1, Revision: 2, Added: []string{"u"}, Removed: []string{"s"}}, 2, "t", "u")
	assertPositions(lab.ServiceChanges{Base: 7, Revision: 8}, 0, "s", "t", "u")
}
