package labpatience

import "time"

const (
	// silentTimes the typical time without an answer means that the answer is lost rather than late: the work of a
	// statement varies by a factor of five around its mean.
	silentTimes = 8
	// silentLeast covers statements that are rare and longer than the typical one.
	silentLeast = 250 * time.Millisecond
)

// Silence returns how long a statement that can be given up without harm should wait for its answer. It answers two
// load patterns: members that run statements and lose the answers, where waiting on blocks the few connections, and
// overload, where every answer takes longer and giving up would only add work.
func Silence(typical, remaining time.Duration) time.Duration {
	return min(remaining, max(silentLeast, silentTimes*typical))
}
