package labreachability

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// unreachableTime is how long a proxy that did not answer is asked last. A killed process is back after about a second.
	unreachableTime = time.Second
	// minConnectInterval is the time between two attempts to connect to the same proxy; it doubles up to probeLatest.
	minConnectInterval = time.Second
	maxConnectInterval = 4 * time.Second
	// connectSpacing is the least time between attempts to connect to any proxies. A handshake that is not answered costs
	// up to 15 KB with its repetitions, and links have 2 Mbit/s.
	connectSpacing = 100 * time.Millisecond
)

// Tracker is safe for concurrent use; exported fields are set before use.
type Tracker struct {
	Clock lab.Clock

	mutex            sync.Mutex
	lastConnect      time.Duration // when the last attempt to connect was allowed
	backoffs         map[lab.InstanceID]connectBackoff
	lastResponse     map[lab.InstanceID]time.Duration
	unreachableUntil map[lab.InstanceID]time.Duration // until when
}

// connectBackoff is what is known of the attempts to connect to one proxy.
type connectBackoff struct {
	next     time.Duration // not before
	interval time.Duration
}

// AllowConnect reports whether to connect to a proxy now, and counts the attempt. After a crash of many machines handshakes that
// nobody answers would fill the links of those left.
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

// RecordResponse notes an answer of a proxy, whatever it says.
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

// RecordTimeout notes that a question of the given time got no answer. A proxy that answered another one since then is busy or
// waits for a member, and stays in use; RecordTimeout reports whether it is out of reach.
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

// Reachable reports whether a proxy has not been found out of reach a moment ago.
func (t *Tracker) Reachable(id lab.InstanceID) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	return t.Clock.Now() >= t.unreachableUntil[id]
}
