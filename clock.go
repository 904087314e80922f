package lab

import (
	"context"
	"time"
)

// Clock is a source of time that tests can replace by a simulated clock.
type Clock interface {
	// Now returns the monotonic time since an arbitrary moment in the past.
	Now() time.Duration
	// Wall returns the calendar time, for logs and the audit trail only.
	Wall() time.Time
	// Sleep waits for the duration. It returns the context's error when the context ends first.
	Sleep(ctx context.Context, duration time.Duration) error
}

// Random generates random numbers for jitter, elections and identifiers.
type Random interface {
	// Uint64 returns a uniformly distributed number.
	Uint64() uint64
}
