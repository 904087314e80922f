package labforward

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Traffic is the kind of bytes on the region link, in order of priority.
type Traffic int

// The kinds of traffic.
const (
	TrafficControl Traffic = iota
	TrafficWrite
	TrafficRead
	trafficKinds
)

const (
	// DefaultRate is the region link's rate in bits per second, each way.
	DefaultRate = 30_000_000
	// linkBurst is the time whose bytes may be sent at once after a pause.
	linkBurst = 20 * time.Millisecond
)

// Link shares the rate of the region link by priority and counts its bytes by kind.
type Link struct {
	Clock lab.Clock
	Rate  int64 // bits per second, each way

	mu      sync.Mutex
	bucket  bucket
	counts  [trafficKinds]int64
	waiting bool
}

// Spend counts bytes and waits until the link has room for them. Control waits for nothing.
func (l *Link) Spend(ctx context.Context, traffic Traffic, size int) error {
	l.mu.Lock()
	l.counts[traffic] += int64(size)
	l.prepare()

	if l.bucket.take(l.Clock.Now(), traffic, size) {
		l.mu.Unlock()

		return nil
	}

	w := &spender{size: size, granted: make(chan struct{})}
	l.bucket.queues[traffic] = append(l.bucket.queues[traffic], w)
	l.schedule()
	l.mu.Unlock()

	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.bucket.remove(traffic, w)
		l.mu.Unlock()

		return errors.Newf("wait for the region link: %w", context.Cause(ctx))
	}
}

// Counts returns the bytes sent of control, writes and reads.
func (l *Link) Counts() (control, writes, reads int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.counts[TrafficControl], l.counts[TrafficWrite], l.counts[TrafficRead]
}

func (l *Link) prepare() {
	if l.bucket.rate > 0 {
		return
	}

	rate := l.Rate
	if rate <= 0 {
		rate = DefaultRate
	}

	l.bucket = newBucket(float64(rate)/8, l.Clock.Now())
}

// schedule grants waiting bytes as soon as the link has room; the caller holds the lock.
func (l *Link) schedule() {
	if l.waiting {
		return
	}

	l.waiting = true

	time.AfterFunc(l.bucket.delay(l.Clock.Now()), func() {
		l.mu.Lock()
		defer l.mu.Unlock()

		l.waiting = false
		l.bucket.grant(l.Clock.Now())

		if l.bucket.pending() {
			l.schedule()
		}
	})
}
