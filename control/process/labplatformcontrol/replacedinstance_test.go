package labplatformcontrol

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/control/process/labvoters"
)

// TestReplacedInstance guards against a group that has no quorum for good, since the place of an instance that was removed
// was still a voter when its successor had had the catch-up period and another instance lost its disk.
func TestReplacedInstance(t *testing.T) {
	for _, c := range []struct {
		name         string
		leader, kill bool
	}{{name: "follower stops"}, {"leader stops", true, false}, {"follower is killed", false, true}, {"leader is killed", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testReplacedInstance(t, c.leader, c.kill)
		})
	}
}

func testReplacedInstance(t *testing.T, leader, kill bool) {
	t.Helper()

	c := newCluster(t, 3)
	c.put(0, `{"Version":4}`)

	removed := slices.IndexFunc(c.controllers, func(k *Controller) bool { return k.Leading() == leader })
	assert.Assert(t, removed >= 0)

	lost, kept := (removed+1)%3, (removed+2)%3
	started := time.Now()
	successor := c.add()

	time.Sleep(time.Second)
	c.end(removed, kill)
	time.Sleep(time.Until(started.Add(labvoters.DefaultCatchUpPeriod + 500*time.Millisecond)))
	c.end(lost, true)
	assert.NilError(t, os.RemoveAll(c.folders[lost]))
	c.restart(lost)

	c.put(kept, `{"Version":8}`)
	c.assertNewest(successor, `{"Version":8}`)
}
