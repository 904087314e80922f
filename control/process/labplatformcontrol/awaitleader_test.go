package labplatformcontrol

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
)

// TestAwaitLeader guards against refusals during an election, after which each member would call the next instance at once,
// and against a wait at an instance that is cut off, which would delay the member's call to another one.
func TestAwaitLeader(t *testing.T) {
	start := func(sinceLeader time.Duration) *Controller {
		k := &Controller{Clock: labclock.NewBootClock(), leaderChanged: make(chan struct{})}
		k.currentParticipation.Store(&participation{})
		k.leaderSeenAt.Store(int64(k.Clock.Now() - sinceLeader))

		return k
	}

	t.Run("election", func(t *testing.T) {
		k := start(0)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		done := make(chan error, 1)
		go func() { done <- k.awaitLeader(ctx) }()

		k.notifyLeaderWaiters()

		select {
		case err := <-done:
			t.Fatalf("refused during an election: %v", err)
		case <-time.After(50 * time.Millisecond):
		}

		cancel()
		assert.ErrorIs(t, <-done, lab.ErrNotLeader)
	})

	t.Run("cut off", func(t *testing.T) {
		assert.ErrorIs(t, start(leaderGone+time.Second).awaitLeader(t.Context()), lab.ErrNotLeader)
	})
}
