package labclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock implements lab.Clock with a clock that advances while the machine is suspended. After a resume, a lease
// that expired during the suspension is therefore seen as expired, and the age of data includes the suspension.
type BootClock struct {
	Clock
}

// NewBootClock returns a clock whose Now is the time since the machine was booted.
func NewBootClock() *BootClock {
	return &BootClock{}
}

// Now returns the time since the machine was booted, including the time when it was suspended.
func (*BootClock) Now() time.Duration {
	var t unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // ClockGettime fails only for an unknown clock
	}

	return time.Duration(t.Nano())
}
