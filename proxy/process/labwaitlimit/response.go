package labwaitlimit

import "time"

const (
	// latencyMultiple is the multiple of the typical latency after which a response counts as lost instead of late. The
	// execution time of statements varies by a factor of five around its mean.
	latencyMultiple = 8
	// minResponseWait is the minimum wait for a response. It is long enough for the rare statements that take much
	// longer than a typical one.
	minResponseWait = 250 * time.Millisecond
)

// ResponseWait returns how long to wait for the response to a read or to a statement of an open transaction. Either can
// be abandoned without harm: a read writes nothing, and the transaction is not committed. When a member loses
// responses, longer waits would occupy all of the few connections to it. Under overload, all responses take longer, and
// abandoned statements would only add work for the member. The wait therefore grows with the typical latency.
func ResponseWait(typical, remaining time.Duration) time.Duration {
	return min(remaining, max(minResponseWait, latencyMultiple*typical))
}
