package labtransport

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// drainPollInterval is the time between two checks for active streams.
const drainPollInterval = 10 * time.Millisecond

// Drain waits until no stream of another process is active, and stops serving new streams. It then waits until the last
// responses should have been delivered, since closing a connection discards undelivered data. When Run ends after a
// successful Drain, peers receive lab.ErrPeerStopped and know that requests without a response were not run. If the
// context ends first, Drain returns an error, and peers receive an ordinary connection error.
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

// stopWhenIdle stops serving new streams if no stream is active, and reports whether it did. While a stream is active,
// new streams are still passed to their handlers. The handlers refuse them at once, so that a new stream does not wait
// for a long-running stream to end.
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
