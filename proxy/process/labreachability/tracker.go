package labreachability

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// unreachableTime is how long a proxy that did not respond counts as unreachable. A killed process is back after
	// about a second.
	unreachableTime = time.Second
	// minConnectInterval is the time between the first two attempts to connect to the same proxy. The time doubles with
	// each attempt up to maxConnectInterval.
	minConnectInterval = time.Second
	maxConnectInterval = 4 * time.Second
	// connectSpacing is the minimum time between two attempts to connect, to the same proxy or to different ones. A
	// handshake without a response sends up to 15 KB with its retransmissions, and links have 2 Mbit/s.
	connectSpacing = 100 * time.Millisecond
)

// Tracker records which proxies respond. It is safe for concurrent use; exported fields are set before use.
type Tracker struct {
	Clock lab.Clock

	mutex            sync.Mutex
	lastConnect      time.Duration                     // time of the last allowed attempt to connect to any proxy
	backoffs         map[lab.InstanceID]connectBackoff // backoffs of the attempts to connect, by proxy
	lastResponse     map[lab.InstanceID]time.Duration  // time of the last response, by proxy
	unreachableUntil map[lab.InstanceID]time.Duration  // time until which a proxy counts as unreachable, by proxy
}

// connectBackoff is the backoff of the attempts to connect to one proxy.
type connectBackoff struct {
	next     time.Duration // time of the next allowed attempt
	interval time.Duration // time between the last allowed attempt and the next
}

// AllowConnect reports whether to connect to a proxy now, and records the attempt if so. After a crash of many
// machines, unlimited handshakes without a response would saturate the links of the remaining machines.
func (t *Tracker) AllowConnect(id lab.InstanceID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	now, p := t.Clock.Now(), t.backoffs[id]
	if now < p.next || (t.lastConnect > 0 && now < t.lastConnect+connectSpacing) {
		return false
	}

	if t.backoffs == nil {
		t.backoffs = map[lab.InstanceID]connectBackoff{}
	}

	p.interval = min(max(minConnectInterval, 2*p.interval), maxConnectInterval)
	p.next = now + p.interval
	t.lastConnect, t.backoffs[id] = now, p

	return true
}

// RecordResponse records that a proxy has responded. A response that reports a failure counts too.
func (t *Tracker) RecordResponse(id lab.InstanceID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.lastResponse == nil {
		t.lastResponse = map[lab.InstanceID]time.Duration{}
	}

	t.lastResponse[id] = t.Clock.Now()
	delete(t.unreachableUntil, id)
	delete(t.backoffs, id)
}

// RecordTimeout records that a request sent at the given time got no response, and reports whether the proxy now counts
// as unreachable. If the proxy has responded to another request since that time, it is busy or waits for a member, so
// it stays reachable.
func (t *Tracker) RecordTimeout(id lab.InstanceID, sentAt time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if h, ok := t.lastResponse[id]; ok && h > sentAt {
		return false
	}

	if t.unreachableUntil == nil {
		t.unreachableUntil = map[lab.InstanceID]time.Duration{}
	}

	t.unreachableUntil[id] = t.Clock.Now() + unreachableTime

	return true
}

// Reachable reports whether a proxy has had no timeout within the last unreachableTime, or has responded since its last
// timeout.
func (t *Tracker) Reachable(id lab.InstanceID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.Clock.Now() >= t.unreachableUntil[id]
}
