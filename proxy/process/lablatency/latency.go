package lablatency

import (
	"math"
	"time"
)

const (
	// timeConstant is the time in which the average follows the samples. A member that becomes slow for 6 s must be
	// noticed within 2 s.
	timeConstant = 600 * time.Millisecond
	// riseWeight and fallWeight are the smallest weights of a sample above and below the average. A higher latency counts
	// more, since statements that wait for a slow member cost more than a member that is spared for a while.
	riseWeight = 0.3
	fallWeight = 0.1
	// maxWeight is the largest weight of a sample. Statements of different kinds differ in duration (3 to 47 ms).
	maxWeight = 0.5
	// maxRise bounds a sample to a multiple of the average, so that one slow statement raises the average by a factor of
	// at most 1 + maxWeight * (maxRise - 1) = 2.5.
	maxRise = 4
	// sampleHalfLife is the time after which a sample counts half in the number of samples. With 0.3 statements a second
	// the number stays below 2.
	sampleHalfLife = 1500 * time.Millisecond
	// minLatency bounds samples from below, so that ratios of latencies are meaningful.
	minLatency = time.Millisecond
	// normalSamples is the number of samples in the long average, which evens out the kinds of statements.
	normalSamples = 64
	// baselineMargin is how far the long average may rise above its lowest value at once, by chance.
	baselineMargin = 1.25
	// baselineRise is the further rise per second that the baseline follows. Five minutes of overload raise it by a third.
	baselineRise = 0.001
)

// Latency is the measured latency of one member. It is not safe for concurrent use.
type Latency struct {
	average float64 // peak EWMA in nanoseconds
	normal  float64 // long average in nanoseconds
	ceiling float64 // upper bound of the baseline in nanoseconds
	total   int     // number of samples in normal, up to normalSamples
	samples float64 // number of samples at the time at, in which older ones count less
	at      time.Duration
}

// Add adds a sample at the given time.
func (l *Latency) Add(now, sample time.Duration) {
	s := float64(max(sample, minLatency))
	elapsed := max(0, now-l.at)
	l.samples = l.Samples(now) + 1
	l.at = now

	if l.total == 0 {
		l.average, l.normal, l.ceiling, l.total = s, s, s*baselineMargin, 1

		return
	}

	l.addToBaseline(s, elapsed)

	s = min(s, maxRise*l.average)
	w := 1 - math.Exp(-float64(elapsed)/float64(timeConstant))

	if s > l.average {
		w = max(w, riseWeight)
	}

	l.average += min(max(w, fallWeight), maxWeight) * (s - l.average)
}

func (l *Latency) addToBaseline(s float64, elapsed time.Duration) {
	if l.total < normalSamples {
		l.total++
	}

	l.normal += (min(s, maxRise*l.normal) - l.normal) / float64(l.total)

	// The first samples are too few for a bound.
	if l.total < normalSamples {
		l.ceiling = l.normal * baselineMargin

		return
	}

	l.ceiling = min(l.ceiling*(1+baselineRise*elapsed.Seconds()), l.normal*baselineMargin)
}

// Samples returns the number of samples, in which older ones count less.
func (l *Latency) Samples(now time.Duration) float64 {
	return l.samples * math.Exp2(-float64(max(0, now-l.at))/float64(sampleHalfLife))
}

// Average returns the current latency, 0 without samples.
func (l *Latency) Average() time.Duration {
	return time.Duration(l.average)
}

// Baseline returns the latency in normal operation, 0 without samples. It hardly follows a sustained overload.
func (l *Latency) Baseline() time.Duration {
	return time.Duration(min(l.normal, l.ceiling))
}

// Reset forgets the average and keeps the baseline. It is for a member that has become fast again.
func (l *Latency) Reset() {
	l.average, l.samples = min(l.normal, l.ceiling), 0
}
