package labplatformcontrol

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/control/process/labvoters"
)

// replacedInstance is an instance that ends after the start of its successor.
type replacedInstance struct {
	name         string
	leader, kill bool
	otherZone    bool          // the successor is in another zone
	after        time.Duration // time of the end since the start of the successor
}

// TestReplacedInstance guards against a group that has no quorum for good, since the place of an instance that was removed
// was still a voter when its successor had had the catch-up period and another instance lost its disk. Where the successor is in
// another zone, only the silence shows that the instance has ended.
func TestReplacedInstance(t *testing.T) {
	for _, r := range []replacedInstance{
		{name: "follower stops", otherZone: true, after: time.Second},
		{name: "leader stops", leader: true, otherZone: true, after: time.Second},
		{name: "follower is killed", kill: true, otherZone: true, after: time.Second},
		{name: "leader is killed", leader: true, kill: true, otherZone: true, after: time.Second},
		{name: "follower is killed before the successor joins", kill: true},
		{name: "leader is killed before the successor joins", leader: true, kill: true},
		{name: "follower is killed late", kill: true, after: 3 * time.Second},
		{name: "leader is killed late", leader: true, kill: true, after: 3 * time.Second},
		{name: "follower stops with the disk", after: labvoters.DefaultCatchUpPeriod},
		{name: "leader is killed with the disk", leader: true, kill: true, after: labvoters.DefaultCatchUpPeriod},
	} {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			testReplacedInstance(t, r)
		})
	}
}

func testReplacedInstance(t *testing.T, r replacedInstance) {
	t.Helper()

	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	removed := slices.IndexFunc(c.controllers, func(k *Controller) bool { return k.Leading() == r.leader })
	assert.Assert(t, removed >= 0)

	zone := c.zones[removed]
	if r.otherZone {
		zone = "zone-of-the-successor"
	}

	lost, kept := (removed+1)%3, (removed+2)%3
	started := time.Now()
	successor := c.add(zone)

	time.Sleep(r.after)
	c.end(removed, r.kill)
	time.Sleep(time.Until(started.Add(labvoters.DefaultCatchUpPeriod + 500*time.Millisecond)))
	c.end(lost, true)
	assert.NilError(t, os.RemoveAll(c.folders[lost]))
	c.restart(lost)

	c.put(kept, `{"Version":8}`)
	c.assertNewest(successor, `{"Version":8}`)
}
