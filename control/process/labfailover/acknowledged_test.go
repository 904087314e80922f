package labfailover

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestAcknowledgedAtProxies guards against the order of a member without commits that only a replica unknown to the leader
// has received.
func TestAcknowledgedAtProxies(t *testing.T) {
	start := func(acknowledged uint64) *fakeService {
		w := newFakeService(map[string]uint64{"a": 4, "b": 7})
		w.logs.RecordAcknowledged("s", lab.CommitPosition{Term: 1, Number: acknowledged})

		return w
	}

	t.Run("candidate below the bound", func(t *testing.T) {
		w := start(8)

		_, err := w.replacement(false).Run(context.Background())
		assert.ErrorIs(t, err, ErrNoCandidate)
		assert.Equal(t, len(w.calls), 0)
	})

	t.Run("candidate at the bound", func(t *testing.T) {
		m, err := start(7).replacement(false).Run(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, m.Member, "b")
	})
}
