package labreach

import (
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

const (
	// shunTime is how long a proxy that did not answer is asked last. A killed process is back after about a second.
	shunTime = time.Second
	// probePause is the time between two attempts to connect to the same proxy; it doubles up to probeLatest.
	probePause  = time.Second
	probeLatest = 4 * time.Second
	// probeEvery is the least time between attempts to connect to any proxies. A handshake that is not answered costs
	// up to 15 KB with its repetitions, and links have 2 Mbit/s.
	probeEvery = 100 * time.Millisecond
)

// Reach is safe for concurrent use; exported fields are set before use.
type Reach struct {
	Clock lab.Clock

	mutex   sync.Mutex
	probed  time.Duration // when the last attempt to connect was allowed
	probes  map[lab.InstanceID]probe
	heard   map[lab.InstanceID]time.Duration
	shunned map[lab.InstanceID]time.Duration // until when
}

// probe is what is known of the attempts to connect to one proxy.
type probe struct {
	next  time.Duration // not before
	pause time.Duration
}

// Probe reports whether to connect to a proxy now, and counts the attempt. After a crash of many machines handshakes that
// nobody answers would fill the links of those left.
func (r *Reach) Probe(id lab.InstanceID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	now, p := r.Clock.Now(), r.probes[id]
	if now < p.next || (r.probed > 0 && now < r.probed+probeEvery) {
		return false
	}

	if r.probes == nil {
		r.probes = map[lab.InstanceID]probe{}
	}

	p.pause = min(max(probePause, 2*p.pause), probeLatest)
	p.next = now + p.pause
	r.probed, r.probes[id] = now, p

	return true
}

// Heard notes an answer of a proxy, whatever it says.
func (r *Reach) Heard(id lab.InstanceID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.heard == nil {
		r.heard = map[lab.InstanceID]time.Duration{}
	}

	r.heard[id] = r.Clock.Now()
	delete(r.shunned, id)
	delete(r.probes, id)
}

// Missed notes that a question of the given time got no answer. A proxy that answered another one since then is busy or
// waits for a member, and stays in use; Missed reports whether it is out of reach.
func (r *Reach) Missed(id lab.InstanceID, asked time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if h, ok := r.heard[id]; ok && h > asked {
		return false
	}

	if r.shunned == nil {
		r.shunned = map[lab.InstanceID]time.Duration{}
	}

	r.shunned[id] = r.Clock.Now() + shunTime

	return true
}

// Usable reports whether a proxy has not been found out of reach a moment ago.
func (r *Reach) Usable(id lab.InstanceID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.Clock.Now() >= r.shunned[id]
}
