package lablimit

import (
	"math"
	"time"

	"laburnumlock.dev/lab/proxy/request/labsample"
)

const (
	// minSamples is the number of samples for a decision. Statement kinds take 3 to 47 ms; the mean of 8 of them is within
	// a quarter of the true mean in two of three cases.
	minSamples = 8
	// minWindow is the shortest time between two decisions. It covers several statements at a member in normal operation,
	// so that a decision sees the effect of the one before. The window of a proxy is longer by up to half, so that the
	// proxies of a member do not change their limits in step.
	minWindow     = 100 * time.Millisecond
	jitterDivisor = 2
	// maxWindow is the time after which samples that are too few for a decision are dropped.
	maxWindow = 4 * time.Second
	// forgetAfter is the time without a decision after which nothing is known about the member any more.
	forgetAfter = 10 * time.Second
	// tolerance is the latency, as a multiple of the baseline, up to which the limit grows. A member with 3 to 4 slots is
	// in use fully when each statement waits about as long as it runs.
	tolerance = 2
	// refusalShare is the share of refused statements from which a member counts as overloaded.
	refusalShare = 0.2
	// maxDecrease bounds one decrease: a limit falls from 16 to 2 in three decisions, which is well within 2 s.
	maxDecrease = 0.5
	// refusalDecrease is the decrease after refusals.
	refusalDecrease = 0.7
	// minLearned is the number of statements in progress from which the limit is lowered. With fewer, statements of this
	// proxy aren't what the member waits for.
	minLearned = 3
	// baselineFall is the part of a lower latency that the baseline takes over at once.
	baselineFall = 0.2
	// baselineRise is the rate per second at which the baseline rises to the latency with one statement in progress. It does
	// not follow the latency under load, since a sustained overload would then become the norm.
	baselineRise = 0.01
	// persistentWindows is the number of windows in succession after which a high latency is the norm although the limit is
	// 1: the member has become slower for good. A member that is 8 times slower for 6 s has 4 such windows.
	persistentWindows = 20
)

// Limit is the number of concurrent statements that a member handles well. It is not safe for concurrent use; exported
// fields are set before use.
type Limit struct {
	// Phase differs between proxies, so that they don't change their limits in step.
	Phase uint64

	value    float64       // 0 while nothing has been learned that limits the concurrency
	baseline float64       // mean latency without a queue, in nanoseconds
	decided  time.Duration // time of the last decision
	slow     int           // number of windows in succession with a high latency and one statement in progress
	window   window
}

// window holds the samples since the last decision.
type window struct {
	start    time.Duration
	sum      float64 // sum of the latencies in nanoseconds
	measured int     // number of latencies
	refused  int
	peak     int // largest number of statements in progress
}

// Current returns the number of statements that may be in progress at the member: at least 1 and at most maximum, which
// is the number without a limit. It is maximum while nothing has been learned.
func (l *Limit) Current(now time.Duration, maximum int) int {
	if l.value == 0 || now-l.decided > forgetAfter {
		return maximum
	}

	return max(1, min(int(l.value), maximum))
}

// Add adds the sample of a statement. inProgress is the number of statements in progress at its end, including itself.
func (l *Limit) Add(now time.Duration, s labsample.Sample, inProgress, maximum int) {
	if now-l.decided > forgetAfter {
		l.value = 0
	}

	w := &l.window

	if w.measured+w.refused == 0 || now-w.start > maxWindow {
		*w = window{start: now}
	}

	if s.Refused {
		w.refused++
	}

	// A missing response may have been lost, which says nothing about the load.
	if s.Latency > 0 && !s.Timeout {
		w.sum += float64(s.Latency)
		w.measured++
	}

	w.peak = max(w.peak, inProgress)

	if w.measured+w.refused < minSamples || now-w.start < l.windowTime() {
		return
	}

	l.decide(now, maximum)
	l.window = window{}
}

func (l *Limit) windowTime() time.Duration {
	return minWindow + time.Duration(l.Phase%uint64(minWindow/jitterDivisor))
}

func (l *Limit) decide(now time.Duration, maximum int) {
	w := l.window
	elapsed := min(now-l.decided, maxWindow)
	l.decided = now
	ratio := l.ratio(w, elapsed)

	if l.value == 0 {
		l.value = float64(maximum)
	}

	switch {
	case float64(w.refused) >= refusalShare*float64(w.measured+w.refused):
		l.decrease(w.peak, refusalDecrease)
	case ratio > tolerance:
		l.decrease(w.peak, max(maxDecrease, tolerance/ratio))
	case w.peak >= int(l.value):
		l.value += max(1, math.Sqrt(l.value))
	}

	if l.value >= float64(maximum) {
		l.value = 0
	}
}

// ratio returns the mean latency of a window as a multiple of the baseline, and updates the baseline.
func (l *Limit) ratio(w window, elapsed time.Duration) float64 {
	if w.measured == 0 {
		return 1
	}

	mean := w.sum / float64(w.measured)

	switch {
	case l.baseline == 0:
		l.baseline = mean
	case mean < l.baseline:
		l.baseline += baselineFall * (mean - l.baseline)
	case w.peak <= 1 && (l.value == 0 || l.slow >= persistentWindows):
		l.baseline = min(mean, l.baseline*(1+baselineRise*elapsed.Seconds()))
	}

	ratio := mean / l.baseline
	if w.peak <= 1 && ratio > tolerance {
		l.slow++
	} else {
		l.slow = 0
	}

	return ratio
}

// decrease lowers the limit to a part of the concurrency that was in use.
func (l *Limit) decrease(peak int, part float64) {
	if peak < minLearned {
		return
	}

	l.value = max(1, min(l.value, float64(peak))*part)
}
