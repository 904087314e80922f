package laboutlier

import (
	"math"
	"sync"
	"time"

	"laburnumlock.dev/lab/proxy/process/lablatency"
	"laburnumlock.dev/lab/proxy/request/labsample"
)

const (
	// minSamples is the number of recent samples up to which the prior alone decides. A proxy that sends a member 0.3
	// statements a second has at most 2.
	minSamples = 4
	// trustSamples is the number of samples beyond minSamples at which measurement and prior count the same.
	trustSamples = 6
	// slowFactor is the latency, as a multiple of that of the other members, from which a member is ejected. Members slow
	// down by a factor of 4 to 8. The longest kind of statement takes 2 to 3 times as long as the mean.
	slowFactor = 3
	// suspectFactor is the multiple from which a sample counts as slow.
	suspectFactor = 2
	// minSlow is the number of slow samples in succession without which no member is ejected. One or two long statements
	// must not eject a member.
	minSlow = 3
	// minFailures and failureShare are the number of failures and their share of the recent statements from which a member
	// is ejected, if the share of the other members is lower by failureRatio. Members fail up to 40 % of their statements
	// while their health answers stay good; 5 % are no reason to use a farther member.
	minFailures  = 3
	failureShare = 0.25
	failureRatio = 2
	// outcomeHalfLife is the time after which a statement counts half in the share of failures.
	outcomeHalfLife = 1500 * time.Millisecond
	// trialInterval is the time between trial statements at an ejected member, and trialsUntilBack the number of good
	// ones in succession after which it is taken back: a member that is well again is used again within 2 s. A third of
	// the interval differs by proxy, so that proxies do not try and take back a member in step.
	trialInterval   = 350 * time.Millisecond
	trialsUntilBack = 4
	jitterDivisor   = 3
	// forgetAfter is the time after which an ejected member is taken back that gets no trial statements, since nothing is
	// known about it any more.
	forgetAfter = 15 * time.Second
)

// Change is a change of a member's state.
type Change uint8

// The changes.
const (
	ChangeNone Change = iota
	ChangeEjected
	ChangeRestored
)

// Assessment is what the samples say about one member. It is zero without enough samples.
type Assessment struct {
	Weight  float64       // share of the measurement in the expected delay, 0 for the prior alone
	Latency time.Duration // current latency of a read, without the network
	Normal  time.Duration // latency of a read in normal operation at the members of the service
	Ejected bool          // other members are to be used
	Trial   bool          // a trial statement is due at the ejected member
	Change  Change        // ChangeRestored if the member is taken back now
}

// Detector compares the members of one service. It is safe for concurrent use; exported fields are set before use.
type Detector struct {
	// Phase differs between proxies, so that they don't act in step.
	Phase uint64

	mutex   sync.Mutex
	members map[string]*member
}

type member struct {
	latency   lablatency.Latency
	slow      int     // number of slow samples in succession
	served    float64 // number of statements at the time at, in which older ones count less
	failed    float64
	at        time.Duration
	ejected   bool
	trials    int // number of good samples in succession since the ejection
	nextTrial time.Duration
	lastTrial time.Duration // time of the last sample or trial since the ejection
}

// SetMembers sets the members of the service. The samples of others are forgotten.
func (d *Detector) SetMembers(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	known := d.members
	d.members = map[string]*member{}

	for _, n := range names {
		if m, ok := known[n]; ok {
			d.members[n] = m
		} else {
			d.members[n] = &member{}
		}
	}
}

// Forget removes the samples of a member, which has started again.
func (d *Detector) Forget(name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if _, ok := d.members[name]; ok {
		d.members[name] = &member{}
	}
}

// Add adds a sample of a member, from whose latency the round trip of the network is subtracted.
func (d *Detector) Add(now time.Duration, name string, s labsample.Sample, network time.Duration) Change {
	if !s.Served && !s.Failed() {
		return ChangeNone
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.members[name]
	if !ok {
		return ChangeNone
	}

	m.countOutcome(now, s.Failed())

	good := s.Served
	reference := d.referenceLocked(now, name)

	if s.Read && s.Latency > 0 {
		sample := s.Latency - network
		m.latency.Add(now, sample)

		// Without a reference there is nothing to compare with.
		if reference > 0 && sample > suspectFactor*reference {
			m.slow++
			good = false
		} else {
			m.slow = 0
		}
	}

	if m.ejected {
		return m.recordTrial(now, good)
	}

	if !d.isOutlierLocked(now, name, m, reference) || !d.mayEjectLocked() {
		return ChangeNone
	}

	m.ejected, m.trials, m.lastTrial = true, 0, now
	m.nextTrial = now + d.trialInterval()

	return ChangeEjected
}

func (m *member) countOutcome(now time.Duration, failed bool) {
	decay := math.Exp2(-float64(max(0, now-m.at)) / float64(outcomeHalfLife))
	m.served, m.failed, m.at = m.served*decay, m.failed*decay, now

	if failed {
		m.failed++
	} else {
		m.served++
	}
}

// share returns the share of failures among the recent statements, and whether there are enough of them.
func (m *member) share(now time.Duration) (float64, bool) {
	decay := math.Exp2(-float64(max(0, now-m.at)) / float64(outcomeHalfLife))
	n := (m.served + m.failed) * decay

	return m.failed * decay / max(n, 1), n >= minSamples
}

// recordTrial records a sample of an ejected member. Statements that were sent before the ejection count too.
func (m *member) recordTrial(now time.Duration, good bool) Change {
	m.lastTrial = now

	if !good {
		m.trials = 0

		return ChangeNone
	}

	if m.trials++; m.trials < trialsUntilBack {
		return ChangeNone
	}

	m.restore()

	return ChangeRestored
}

func (m *member) restore() {
	m.ejected, m.slow, m.served, m.failed = false, 0, 0, 0
	m.latency.Reset()
}

// referenceLocked returns the latency with which a member is compared: the mean of the other members that serve, or its
// own baseline while too few samples of others are known. Under overload, all members are slow and none is an outlier.
func (d *Detector) referenceLocked(now time.Duration, name string) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)

	for o, m := range d.members {
		if o != name && !m.ejected && m.latency.Samples(now) >= minSamples {
			sum += m.latency.Average()
			n++
		}
	}

	if n > 0 {
		return sum / n
	}

	return d.members[name].latency.Baseline()
}

func (d *Detector) isOutlierLocked(now time.Duration, name string, m *member, reference time.Duration) bool {
	slow := m.latency.Samples(now) >= minSamples && m.slow >= minSlow && m.latency.Average() > slowFactor*reference
	if slow {
		return true
	}

	share, ok := m.share(now)
	if !ok || m.failed < minFailures || share < failureShare {
		return false
	}

	for o, p := range d.members {
		if q, enough := p.share(now); o != name && enough && q*failureRatio > share {
			return false // the cause is not in this member
		}
	}

	return true
}

// mayEjectLocked reports whether at least half of the members remain after one more is ejected.
func (d *Detector) mayEjectLocked() bool {
	remain := -1

	for _, m := range d.members {
		if !m.ejected {
			remain++
		}
	}

	return remain > 0 && 2*remain >= len(d.members)
}

// Assess returns what is known about the members, in their order.
func (d *Detector) Assess(now time.Duration, names []string) []Assessment {
	out := make([]Assessment, len(names))

	d.mutex.Lock()
	defer d.mutex.Unlock()

	normal := d.normalLocked(now)

	for i, n := range names {
		m, ok := d.members[n]
		if !ok {
			continue
		}

		if m.ejected && now-m.lastTrial > forgetAfter {
			m.restore()

			out[i].Change = ChangeRestored
		}

		out[i].Ejected, out[i].Trial = m.ejected, m.ejected && now >= m.nextTrial
		if w := weight(m.latency.Samples(now)); w > 0 {
			out[i].Weight, out[i].Latency, out[i].Normal = w, m.latency.Average(), normal
		}
	}

	return out
}

// normalLocked returns the mean of the baselines of the members with enough samples, 0 if there are none.
func (d *Detector) normalLocked(now time.Duration) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)

	for _, m := range d.members {
		if weight(m.latency.Samples(now)) > 0 {
			sum += m.latency.Baseline()
			n++
		}
	}

	return sum / max(n, 1)
}

func weight(samples float64) float64 {
	n := max(0, samples-minSamples)

	return n / (n + trustSamples)
}

// StartTrial reports whether a statement may be sent to an ejected member as a trial now, and sets the time of the next.
func (d *Detector) StartTrial(now time.Duration, name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.members[name]
	if !ok || !m.ejected || now < m.nextTrial {
		return false
	}

	m.nextTrial, m.lastTrial = now+d.trialInterval(), now

	return true
}

func (d *Detector) trialInterval() time.Duration {
	return trialInterval + time.Duration(d.Phase%uint64(trialInterval/jitterDivisor))
}
