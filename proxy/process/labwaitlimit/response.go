package labwaitlimit

import "time"

const (
	// latencyMultiple the typical time without an answer means that the answer is lost rather than late: the work of a
	// statement varies by a factor of five around its mean.
	latencyMultiple = 8
	// minResponseWait covers statements that are rare and longer than the typical one.
	minResponseWait = 250 * time.Millisecond
)

// ResponseWait returns how long a statement that can be given up without harm should wait for its answer. It answers two
// load patterns: members that run statements and lose the answers, where waiting on blocks the few connections, and
// overload, where every answer takes longer and giving up would only add work.
func ResponseWait(typical, remaining time.Duration) time.Duration {
	return min(remaining, max(minResponseWait, latencyMultiple*typical))
}
