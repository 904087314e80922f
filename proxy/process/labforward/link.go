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

	mu        sync.Mutex
	bucket    bucket
	sent      [trafficKinds]int64
	scheduled bool
}

// WaitToSend counts bytes and waits until the link has room for them. Control waits for nothing.
func (l *Link) WaitToSend(ctx context.Context, traffic Traffic, size int) error {
	l.mu.Lock()
	l.sent[traffic] += int64(size)
	l.initBucket()

	if l.bucket.trySend(l.Clock.Now(), traffic, size) {
		l.mu.Unlock()

		return nil
	}

	waiter := &sendWaiter{size: size, granted: make(chan struct{})}
	l.bucket.queues[traffic] = append(l.bucket.queues[traffic], waiter)
	l.schedule()
	l.mu.Unlock()

	select {
	case <-waiter.granted:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		l.bucket.remove(traffic, waiter)
		l.mu.Unlock()

		return errors.Newf("wait for the region link: %w", context.Cause(ctx))
	}
}

// SentBytes returns the bytes sent of control, writes and reads.
func (l *Link) SentBytes() (control, writes, reads int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.sent[TrafficControl], l.sent[TrafficWrite], l.sent[TrafficRead]
}

func (l *Link) initBucket() {
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
	if l.scheduled {
		return
	}

	l.scheduled = true

	time.AfterFunc(l.bucket.untilAvailable(l.Clock.Now()), func() {
		l.mu.Lock()
		defer l.mu.Unlock()

		l.scheduled = false
		l.bucket.grantWaiting(l.Clock.Now())

		if l.bucket.hasPending() {
			l.schedule()
		}
	})
}
