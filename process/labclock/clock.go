package labclock

import (
	"context"
	"time"
)

// Clock implements lab.Clock with the operating system's monotonic clock.
type Clock struct {
	start time.Time
}

// New returns a clock whose Now starts at zero.
func New() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the monotonic time since New was called.
func (c *Clock) Now() time.Duration {
	return time.Since(c.start)
}

// Wall returns the calendar time.
func (c *Clock) Wall() time.Time {
	return time.Now()
}

// Sleep waits for the duration. It returns the context's error when the context ends first.
func (c *Clock) Sleep(ctx context.Context, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
