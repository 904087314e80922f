package labwaitlimit

import "time"

// targetLatencyDivisor limits the wait for a connection: it is at most the target latency divided by this number. A
// statement that waits longer misses the target, so it is better rejected at once as not run.
const targetLatencyDivisor = 2

// Statement describes a statement that needs a connection while all connections are in use.
type Statement struct {
	TimeLeft       time.Duration // time until the statement's deadline
	TargetLatency  time.Duration // time within which the whole operation should end, 0 for no target
	TypicalLatency time.Duration // recent average of the time from sending a statement to its response
	Unreachable    bool          // whether the member doesn't respond; such a member is being replaced, not busy
}

// ConnectionWait returns how long the statement may wait for a connection. A statement whose wait isn't positive is
// rejected at once.
func (s Statement) ConnectionWait() time.Duration {
	left := s.TimeLeft - s.TypicalLatency

	if s.Unreachable || s.TargetLatency <= 0 {
		return left
	}

	return min(left, s.TargetLatency/targetLatencyDivisor)
}
