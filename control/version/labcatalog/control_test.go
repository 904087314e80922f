package labcatalog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/control/version/labcatalog"
)

// Guards against a restart from a snapshot that loses the addresses of joined instances or the ids that must never be
// reused.
func TestControlInstancesInSnapshot(t *testing.T) {
	c := labcatalog.New()
	joined := labcatalog.ControlInstance{Instance: "d", ProcessAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:2"}
	removed := labcatalog.ControlInstance{Instance: "c", Removed: true}
	for n, i := range []labcatalog.ControlInstance{joined, removed} {
		data, err := (&labcatalog.Command{ControlInstance: &i}).Encode()
		assert.NilError(t, err)
		c.Apply(uint64(n+1), data)
	}
	snapshot, err := c.Snapshot()
	assert.NilError(t, err)
	restored := labcatalog.New()
	assert.NilError(t, restored.Restore(snapshot))
	for _, want := range []labcatalog.ControlInstance{joined, removed} {
		got, ok := restored.ControlInstance(want.Instance)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
}
