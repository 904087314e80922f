package labreplica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labrandom"
)

// Guards against a long time without a leader after all instances restarted at once: StartupElectionMin shortens the
// election timeout and the wait before voting, but only until a leader sends a message.
func TestStartupElectionMin(t *testing.T) {
	const startupElectionMin = 100 * time.Millisecond

	start := func() *Replica {
		r := &Replica{
			ID: "a", Random: labrandom.NewSeeded(1), ElectionMin: 400 * time.Millisecond, ElectionMax: 500 * time.Millisecond,
			StartupElectionMin: startupElectionMin,
		}
		snapshot := lab.LogSnapshot{Voters: []lab.InstanceID{"a", "b", "c"}}
		assert.NilError(t, r.Start(0, lab.HardState{Term: 3}, snapshot, nil))

		return r
	}

	t.Run("starts an election early after a restart", func(t *testing.T) {
		r := start()
		r.Tick(startupElectionMin - 1)

		o := r.Output()
		assert.Assert(t, o.Empty())

		r.Tick(2 * startupElectionMin)
		assert.Equal(t, r.role, preCandidate)
	})

	t.Run("votes early after a restart", func(t *testing.T) {
		r := start()
		m := Message{Kind: KindPreVote, From: "b", To: "a", Term: 4}

		assert.NilError(t, r.Step(startupElectionMin-1, m))
		assert.Assert(t, r.Output().Messages[0].Reject)
		r.Persisted()

		assert.NilError(t, r.Step(startupElectionMin, m))
		assert.Assert(t, !r.Output().Messages[0].Reject)
	})

	t.Run("waits the full election timeout after contact with a leader", func(t *testing.T) {
		r := start()
		assert.NilError(t, r.Step(0, Message{Kind: KindAppend, From: "b", To: "a", Term: 3}))
		r.Tick(399 * time.Millisecond)
		assert.Equal(t, r.role, follower)
	})
}
