package labtransport

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// drainPollInterval is the pause between two looks at what is in progress.
const drainPollInterval = 10 * time.Millisecond

// Drain returns when no stream of another process is in progress, no further one is served, and the last answers have had
// time to arrive, since closing a connection discards what was not delivered. Peers learn when Run ends that what was not
// answered was not run. It returns the context's error when that ends first; peers then learn nothing.
func (t *Transport) Drain(ctx context.Context) error {
	for !t.stopWhenIdle() {
		if err := t.wait(ctx, drainPollInterval); err != nil {
			return err
		}
	}

	if err := t.wait(ctx, responseDeliveryTime); err != nil {
		return err
	}

	t.drained.Store(true)

	return nil
}

// stopWhenIdle stops serving when nothing is in progress. New streams are served until then, so that they are refused by their
// handlers and not left waiting behind a long one.
func (t *Transport) stopWhenIdle() bool {
	if t.activeStreams.Load() > 0 {
		return false
	}

	t.draining.Store(true)

	if t.activeStreams.Load() > 0 {
		t.draining.Store(false)

		return false
	}

	return true
}

func (t *Transport) wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Newf("drain transport with %d streams in progress: %w", t.activeStreams.Load(), ctx.Err())
	}
}
