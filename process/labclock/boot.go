package labclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock implements lab.Clock with a clock that also counts the time during which the machine was suspended, so that a
// lease or an age is not taken for younger than it is after a wake-up.
type BootClock struct {
	Clock
}

// NewBootClock returns a clock whose Now is the time since the machine's boot.
func NewBootClock() *BootClock {
	return &BootClock{}
}

// Now returns the time since boot, including suspension.
func (*BootClock) Now() time.Duration {
	var t unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the call fails for unknown clocks only
	}

	return time.Duration(t.Nano())
}
