package labforward

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// Traffic is a kind of traffic on the region link. Lower values have higher priority.
type Traffic int

// The kinds of traffic.
const (
	TrafficControl Traffic = iota
	TrafficWrite
	TrafficRead
	trafficKinds // number of the kinds of traffic
)

const (
	// DefaultRate is the default rate of the region link in bits per second in each direction.
	DefaultRate = 30_000_000
	// linkBurst sets the burst size of the link, which is the number of bytes that the link's rate allows in this time.
	linkBurst = 20 * time.Millisecond
)

// Link limits the rate of the traffic to other regions. When the rate is reached, traffic of a higher priority is sent
// first. Link also counts the bytes of each kind of traffic.
type Link struct {
	Clock lab.Clock
	Rate  int64 // bits per second in each direction; 0 stands for DefaultRate

	mu        sync.Mutex
	bucket    bucket
	sent      [trafficKinds]int64 // number of bytes by kind of traffic
	scheduled bool                // a timer that will grant waiting sends is running
}

// WaitToSend counts the bytes and waits until they may be sent. Control traffic does not wait.
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

// SentBytes returns the bytes counted so far for control traffic, writes and reads.
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

// schedule sets a timer that grants waiting sends as soon as there are tokens; the caller holds the lock.
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
