package lab

import (
	"context"
	"time"
)

// Clock tells time to code that must also run under a test's control.
type Clock interface {
	// Now returns the monotonic time since an arbitrary start.
	Now() time.Duration
	// Wall returns the calendar time, for logs and the audit trail only.
	Wall() time.Time
	// Sleep waits for the duration and returns the context's error when it ends first.
	Sleep(ctx context.Context, duration time.Duration) error
}

// Random yields random numbers for jitter, elections and identifiers.
type Random interface {
	// Uint64 returns a uniformly distributed number.
	Uint64() uint64
}
