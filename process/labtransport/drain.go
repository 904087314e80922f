package labtransport

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Drain serves no further streams and returns when none is in progress and the last answers have had time to arrive,
// since closing a connection discards what was not delivered. Peers learn when Run ends that what was not answered was
// not run. It returns the context's error when that ends first; peers then learn nothing.
func (t *Transport) Drain(ctx context.Context) error {
	const poll = 10 * time.Millisecond

	pause := func(d time.Duration) error {
		timer := time.NewTimer(d)
		defer timer.Stop()

		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return errors.Newf("drain transport with %d streams in progress: %w", t.serving.Load(), ctx.Err())
		}
	}

	t.draining.Store(true)

	for t.serving.Load() > 0 {
		if err := pause(poll); err != nil {
			return err
		}
	}

	if err := pause(lingerTime); err != nil {
		return err
	}

	t.drained.Store(true)

	return nil
}
