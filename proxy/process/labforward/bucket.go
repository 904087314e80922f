package labforward

import "time"

// sendWaiter is a pending send on the link.
type sendWaiter struct {
	size    int           // number of bytes to send
	granted chan struct{} // closed when the bytes may be sent
}

// bucket is a token bucket with a waiting queue for each kind of traffic. A send may start as soon as there are any
// tokens, even if it takes more tokens than there are, so that a message larger than the burst size can be sent. The
// number of tokens is then negative, which delays later sends.
type bucket struct {
	rate       float64       // bytes per second
	tokens     float64       // bytes that may be sent now; may be negative
	refilledAt time.Duration // time of the last refill
	queues     [trafficKinds][]*sendWaiter
}

func newBucket(rate float64, now time.Duration) bucket {
	return bucket{rate: rate, tokens: rate * linkBurst.Seconds(), refilledAt: now}
}

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.rate*linkBurst.Seconds())
	b.refilledAt = now
}

// trySend reports whether size bytes may be sent now. If so, it takes tokens for them. Control traffic is never
// delayed, but it reduces the tokens that are left for other traffic.
func (b *bucket) trySend(now time.Duration, traffic Traffic, size int) bool {
	b.refill(now)

	if traffic != TrafficControl && (b.tokens <= 0 || b.hasWaiting(traffic)) {
		return false
	}

	b.tokens -= float64(size)

	return true
}

// hasWaiting reports whether traffic of the same or a higher priority is waiting.
func (b *bucket) hasWaiting(traffic Traffic) bool {
	for t := TrafficControl; t <= traffic; t++ {
		if len(b.queues[t]) > 0 {
			return true
		}
	}

	return false
}

// grantWaiting grants waiting sends in order of priority as long as there are tokens.
func (b *bucket) grantWaiting(now time.Duration) {
	b.refill(now)

	for t := range b.queues {
		for len(b.queues[t]) > 0 && b.tokens > 0 {
			s := b.queues[t][0]
			b.queues[t] = b.queues[t][1:]
			b.tokens -= float64(s.size)
			close(s.granted)
		}
	}
}

// untilAvailable returns the time until there are tokens again.
func (b *bucket) untilAvailable(now time.Duration) time.Duration {
	b.refill(now)

	if b.tokens > 0 {
		return 0
	}

	return time.Duration(-b.tokens/b.rate*float64(time.Second)) + time.Microsecond
}

func (b *bucket) hasPending() bool {
	return b.hasWaiting(TrafficRead)
}

func (b *bucket) remove(traffic Traffic, s *sendWaiter) {
	queue := b.queues[traffic]
	for i, q := range queue {
		if q == s {
			b.queues[traffic] = append(queue[:i:i], queue[i+1:]...)

			return
		}
	}
}
