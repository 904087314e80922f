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
	// normalSlowdown is the slowdown up to which a member counts as normal. The average follows higher latencies faster than
	// lower ones, and kinds of statements differ. Reads of a calm service would otherwise leave the near member by chance.
	normalSlowdown = 1.5
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
	// trialInterval is the time between trial statements at an ejected member, each of which is slow or fails. After a good
	// one the next follow at confirmInterval. After trialsUntilBack good ones in succession the member is taken back, so
	// that one that is well again is used again within 2 s.
	trialInterval   = 800 * time.Millisecond
	confirmInterval = 150 * time.Millisecond
	trialsUntilBack = 4
	// jitterDivisor sets by how much the intervals differ between proxies, up to a quarter. Proxies would otherwise try and
	// take back a member in step.
	jitterDivisor = 4
	// forgetAfter is the time after which an ejected member is taken back that gets no trial statements, since nothing is
	// known about it any more.
	forgetAfter = 15 * time.Second
	// reportLifetime is how long the condition of a member counts that a gateway has reported. Bursts of load last 5 s.
	reportLifetime = 4 * time.Second
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
	Weight    float64       // share of the measurement in the expected delay, 0 for the prior alone
	Latency   time.Duration // current latency of a read, without the network
	Slowdown  float64       // latency as a multiple of what is normal for the member, at least 1
	Execution time.Duration // latency of a read in normal operation, mean of the members of the service
	Ejected   bool          // other members are to be used
	Trial     bool          // a trial statement is due at the ejected member
	Change    Change        // ChangeRestored if the member is taken back now
}

// Condition is how well a member serves at a proxy, for exchange between proxies.
type Condition struct {
	// Slowdown is the latency as a multiple of that in normal operation, 0 with too few samples.
	Slowdown float64 `msgpack:"s,omitempty"`
	// Failures is the share of failures among the recent statements, 0 with too few of them.
	Failures float64 `msgpack:"f,omitempty"`
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
	slowness  bool          // whether the member was ejected because of its latency
	reported  Condition     // condition that a gateway has reported
	reportAt  time.Duration // time of the report
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
		} else {
			m.slow = 0
		}

		good = good && (reference == 0 || sample <= slowFactor*reference)
	}

	if m.ejected {
		return d.recordTrialLocked(now, m, good)
	}

	slow := m.isSlow(now, reference)
	if (!slow && !d.failsLocked(now, name, m)) || !d.mayEjectLocked() {
		return ChangeNone
	}

	m.ejected, m.slowness, m.trials, m.lastTrial = true, slow, 0, now
	m.nextTrial = now + d.jittered(trialInterval)

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

// recordTrialLocked records a sample of an ejected member. Statements that were sent before the ejection count too.
func (d *Detector) recordTrialLocked(now time.Duration, m *member, good bool) Change {
	m.lastTrial = now

	if !good {
		m.trials = 0

		return ChangeNone
	}

	if m.trials++; m.trials < trialsUntilBack {
		m.nextTrial = min(m.nextTrial, now+d.jittered(confirmInterval))

		return ChangeNone
	}

	m.restore()

	return ChangeRestored
}

func (m *member) restore() {
	m.ejected, m.slow, m.served, m.failed = false, 0, 0, 0
	m.latency.Reset()
}

// referenceLocked returns the latency with which a member is compared: its own in normal operation, times the mean slowdown
// of the other members that serve, or, while too few samples of them are known, the slowdown that gateways have reported.
// Under overload, all members are slow and none is an outlier. Latencies of members are not compared directly, since the
// primary also serves statements of other kinds.
func (d *Detector) referenceLocked(now time.Duration, name string) time.Duration {
	sum, n := 0.0, 0.0

	for o, m := range d.members {
		if o != name && !m.ejected && m.latency.Samples(now) >= minSamples {
			sum += m.slowdown()
			n++
		}
	}

	others := d.alternativeLocked(now, name).Slowdown
	if n > 0 {
		others = sum / n
	}

	if others < normalSlowdown {
		others = 1
	}

	return time.Duration(float64(d.members[name].latency.Baseline()) * others)
}

// slowdown returns the latency as a multiple of that in normal operation. There must be samples.
func (m *member) slowdown() float64 {
	return float64(m.latency.Average()) / float64(max(1, m.latency.Baseline()))
}

// alternativeLocked returns the best that gateways have reported recently of the other members. Without reports, the
// others count as normal.
func (d *Detector) alternativeLocked(now time.Duration, name string) Condition {
	out, found := Condition{}, false

	for o, m := range d.members {
		if o == name || m.reportAt == 0 || now-m.reportAt > reportLifetime {
			continue
		}

		if !found {
			out, found = m.reported, true

			continue
		}

		out.Slowdown, out.Failures = min(out.Slowdown, m.reported.Slowdown), min(out.Failures, m.reported.Failures)
	}

	out.Slowdown = max(1, out.Slowdown)

	return out
}

func (m *member) isSlow(now, reference time.Duration) bool {
	return m.latency.Samples(now) >= minSamples && m.slow >= minSlow && m.latency.Average() > slowFactor*reference
}

// failsLocked reports whether a member fails many statements and the other members don't.
func (d *Detector) failsLocked(now time.Duration, name string, m *member) bool {
	share, ok := m.share(now)
	if !ok || m.failed < minFailures || share < failureShare {
		return false
	}

	if d.alternativeLocked(now, name).Failures*failureRatio > share {
		return false // the cause is not in this member
	}

	for o, p := range d.members {
		if q, enough := p.share(now); o != name && enough && q*failureRatio > share {
			return false
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
			out[i].Weight, out[i].Latency, out[i].Slowdown, out[i].Execution = w, m.latency.Average(), max(1, m.slowdown()/normalSlowdown), normal
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

	m.nextTrial, m.lastTrial = now+d.jittered(trialInterval), now

	return true
}

// Condition returns how well a member serves at this proxy.
func (d *Detector) Condition(now time.Duration, name string) Condition {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	m, ok := d.members[name]
	if !ok {
		return Condition{}
	}

	return m.condition(now)
}

func (m *member) condition(now time.Duration) Condition {
	var c Condition

	if m.latency.Samples(now) >= minSamples {
		c.Slowdown = m.slowdown()
	}

	if f, ok := m.share(now); ok {
		c.Failures = f
	}

	return c
}

// Report records the condition of a member at a gateway.
func (d *Detector) Report(now time.Duration, name string, c Condition) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if m, ok := d.members[name]; ok && c != (Condition{}) {
		m.reported, m.reportAt = c, now
	}
}

// Alternative returns the best condition of the other members that gateways have reported recently, and whether the
// service has other members.
func (d *Detector) Alternative(now time.Duration, name string) (Condition, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.alternativeLocked(now, name), len(d.members) > 1
}

// Refuses reports whether a statement is refused that another member in the given condition can run: this member is
// ejected and much worse. Some statements are let through as trials.
func (d *Detector) Refuses(now time.Duration, name string, alternative Condition) bool {
	d.mutex.Lock()

	m, ok := d.members[name]
	refuses := ok && m.ejected && now-m.lastTrial <= forgetAfter && m.worse(alternative)

	d.mutex.Unlock()

	return refuses && !d.StartTrial(now, name)
}

// worse reports whether an ejected member is still much worse than the alternative in what it was ejected for.
func (m *member) worse(alternative Condition) bool {
	if m.slowness {
		return m.slowdown() > suspectFactor*max(1, alternative.Slowdown)
	}

	return alternative.Failures*failureRatio < failureShare
}

// jittered returns an interval of this proxy.
func (d *Detector) jittered(interval time.Duration) time.Duration {
	return interval + time.Duration(d.Phase%uint64(interval/jitterDivisor))
}
