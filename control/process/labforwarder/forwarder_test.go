package labforwarder

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// TestForwarder replays 3,000 members whose announcements were forwarded one by one. Guards against an acknowledgement of
// an announcement that the leader has not received.
func TestForwarder(t *testing.T) {
	var (
		f        *Forwarder
		mutex    sync.Mutex
		calls    int
		received = map[string]bool{}
		failure  error
	)

	send := func(_ context.Context, all []lab.Announcement) ([]string, error) {
		time.Sleep(20 * time.Millisecond)
		mutex.Lock()
		defer mutex.Unlock()

		calls++

		out := make([]string, len(all))

		for i, a := range all {
			if a.Member == "refused" {
				out[i] = "outdated"
			} else if failure == nil {
				received[a.Member] = true
			}
		}

		return out, failure
	}
	forward := func(name string, urgent bool) error {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()

		err := f.Forward(ctx, lab.Announcement{Member: name}, urgent)

		mutex.Lock()
		defer mutex.Unlock()

		assert.Check(t, err != nil || received[name], "acknowledged without the leader")

		return err
	}

	for name, run := range map[string]func(t *testing.T){
		"together": func(t *testing.T) {
			var wait sync.WaitGroup

			for n := range 100 {
				wait.Go(func() { assert.Check(t, forward(fmt.Sprint(n), false)) })
			}

			wait.Wait()
			assert.Equal(t, calls, 1)
		},
		"urgent ones don't wait and take the others along": func(t *testing.T) {
			start := time.Now()

			go func() { assert.Check(t, forward("other", false)) }()

			synctest.Wait()
			assert.NilError(t, forward("leaving", true))
			assert.Equal(t, time.Since(start), 20*time.Millisecond)
			assert.Equal(t, calls, 1)
		},
		// Replays a power loss, after which all members have news.
		"many urgent ones travel together": func(t *testing.T) {
			var wait sync.WaitGroup

			for n := range 100 {
				wait.Go(func() { assert.Check(t, forward(fmt.Sprint("again", n), true)) })
			}

			wait.Wait()
			assert.Assert(t, calls <= 2, "%d calls", calls)
		},
		"an urgent one shortens the wait of others": func(t *testing.T) {
			assert.NilError(t, forward("first", true))

			start := time.Now()
			f.sentAt = start

			go func() { assert.Check(t, forward("other", false)) }()

			synctest.Wait()
			assert.NilError(t, forward("second", true))
			assert.Equal(t, time.Since(start), 25*time.Millisecond)
			assert.Equal(t, calls, 2)
		},
		"a refusal concerns one member": func(t *testing.T) {
			go func() { assert.Check(t, forward("other", false)) }()

			assert.ErrorContains(t, forward("refused", false), "outdated")
		},
		"a failed call acknowledges nothing": func(t *testing.T) {
			failure = errors.New("no leader")
			assert.ErrorContains(t, forward("late", false), "no leader")

			failure = nil
			assert.NilError(t, forward("late", false))
		},
		"the sender gives up": func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			assert.Assert(t, errors.Is(f.Forward(ctx, lab.Announcement{Member: "hasty"}, false), context.Canceled))
		},
	} {
		t.Run(name, func(t *testing.T) {
			calls = 0
			f = &Forwarder{Window: 40 * time.Millisecond, Spacing: 5 * time.Millisecond, Timeout: time.Second, Send: send}

			synctest.Test(t, run)
		})
	}
}
