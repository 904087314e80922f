package labtransport

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// drainPoll is the pause between two looks at what is in progress.
const drainPoll = 10 * time.Millisecond

// Drain returns when no stream of another process is in progress, no further one is served, and the last answers have had
// time to arrive, since closing a connection discards what was not delivered. Peers learn when Run ends that what was not
// answered was not run. It returns the context's error when that ends first; peers then learn nothing.
func (t *Transport) Drain(ctx context.Context) error {
	for !t.idle() {
		if err := t.pause(ctx, drainPoll); err != nil {
			return err
		}
	}

	if err := t.pause(ctx, lingerTime); err != nil {
		return err
	}

	t.drained.Store(true)

	return nil
}

// idle stops serving when nothing is in progress. New streams are served until then, so that they are refused by their
// handlers and not left waiting behind a long one.
func (t *Transport) idle() bool {
	if t.serving.Load() > 0 {
		return false
	}

	t.draining.Store(true)

	if t.serving.Load() > 0 {
		t.draining.Store(false)

		return false
	}

	return true
}

func (t *Transport) pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Newf("drain transport with %d streams in progress: %w", t.serving.Load(), ctx.Err())
	}
}
