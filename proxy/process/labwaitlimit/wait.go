package labwaitlimit

import "time"

// targetLatencyDivisor of an operation's objective is how long it may queue: what waits longer misses the objective, and is
// better told at once that it has not run.
const targetLatencyDivisor = 2

// Statement is the situation of a statement that needs a connection in use by others.
type Statement struct {
	TimeLeft       time.Duration // of the statement's time limit
	TargetLatency  time.Duration // of the whole operation, 0 for none
	TypicalLatency time.Duration // from sending a statement to its answer, as of late
	Unreachable    bool          // the member doesn't answer; it is being replaced rather than busy
}

// ConnectionWait returns how long the statement may wait; it is refused at once when the limit isn't positive.
func (s Statement) ConnectionWait() time.Duration {
	left := s.TimeLeft - s.TypicalLatency

	if s.Unreachable || s.TargetLatency <= 0 {
		return left
	}

	return min(left, s.TargetLatency/targetLatencyDivisor)
}
