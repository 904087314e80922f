package labobserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against polling idle databases at the full rate, and against polling a database slowly while it is in use,
// while commits wait or while connecting to a member fails.
func TestInterval(t *testing.T) {
	const normal = 100 * time.Millisecond

	state := &memberState{}
	w := &watch{observer: &Observer{Interval: normal}, tracker: &tracker{members: map[string]*memberState{"m": state}}}
	assertInterval := func(now, want time.Duration) {
		t.Helper()
		assert.Equal(t, w.interval(now), want)
	}

	w.lastUsed = time.Minute
	assertInterval(time.Minute+idleAfter, normal)
	assertInterval(time.Minute+idleAfter+1, normal*idleFactor)

	state.connectFailed = true
	assertInterval(2*time.Minute, normal)

	state.connectFailed = false
	w.waiters = 1
	assertInterval(2*time.Minute, waitingInterval)
}
