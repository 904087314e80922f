package labadmission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labadmission/internal/labqueue"
)

// shard is the waiting queue of one member. Each shard has its own lock.
type shard struct {
	clock lab.Clock

	lock          sync.Mutex
	queue         *labqueue.Queue
	expiryRunning bool               // the expire goroutine is running
	wakeAt        time.Duration      // deadline for which the expire goroutine waits, a value of Clock.Now
	wakeEarly     context.CancelFunc // wakes the expire goroutine before wakeAt
}

func (s *shard) offer(request lab.AdmissionRequest) *labqueue.Ticket {
	s.lock.Lock()
	defer s.lock.Unlock()

	t := s.queue.Offer(s.clock.Now(), request)
	if t.State() == labqueue.Waiting {
		t.Signal = make(chan struct{})
	}

	s.notifyWaiters()

	return t
}

// wait blocks until the ticket is granted or expires, or the context ends.
func (s *shard) wait(ctx context.Context, t *labqueue.Ticket) (func(), error) {
	select {
	case <-t.Signal:
		return s.result(t)
	case <-ctx.Done():
	}

	s.lock.Lock()
	defer s.lock.Unlock()

	s.queue.Cancel(s.clock.Now(), t)
	s.notifyWaiters()

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, errDeadline
	}

	return nil, errCancelled
}

// result returns the results of Acquire for a ticket that no longer waits.
func (s *shard) result(t *labqueue.Ticket) (func(), error) {
	switch t.State() {
	case labqueue.Granted:
		return func() { s.release(t) }, nil
	case labqueue.Rejected:
		return nil, errOverload
	}

	return nil, errDeadline
}

func (s *shard) release(t *labqueue.Ticket) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.queue.Release(s.clock.Now(), t) {
		s.notifyWaiters()
	}
}

func (s *shard) resize(slots int) {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.queue.Resize(s.clock.Now(), slots)
	s.notifyWaiters()
}

// notifyWaiters wakes the callers of Acquire whose tickets were granted or have expired. It also makes sure that the
// expire goroutine runs while requests wait, and that it wakes for the earliest deadline. The caller holds the lock.
func (s *shard) notifyWaiters() {
	for _, t := range s.queue.Settled() {
		if t.Signal != nil {
			close(t.Signal)
		}
	}

	next, ok := s.queue.NextDeadline()

	switch {
	case !ok:
	case !s.expiryRunning:
		s.expiryRunning = true
		go s.expire()
	case next < s.wakeAt && s.wakeEarly != nil:
		s.wakeEarly()
		s.wakeEarly = nil
	}
}

// expire runs in a goroutine as long as requests wait, and expires them at their deadlines.
func (s *shard) expire() {
	for {
		ctx, pause, ok := s.nextExpiry()
		if !ok {
			return
		}

		_ = s.clock.Sleep(ctx, pause)

		s.lock.Lock()
		s.queue.Advance(s.clock.Now())
		s.notifyWaiters()
		s.lock.Unlock()
	}
}

// expiryMargin is the time between a deadline and the wake-up of the expire goroutine. At the deadline itself a request
// has not expired yet.
const expiryMargin = time.Microsecond

// nextExpiry returns the time until the earliest deadline and a context that ends when wakeEarly is called. It returns
// false when no request waits.
func (s *shard) nextExpiry() (context.Context, time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.wakeEarly != nil {
		s.wakeEarly()
		s.wakeEarly = nil
	}

	next, ok := s.queue.NextDeadline()
	if !ok {
		s.expiryRunning = false
		return nil, 0, false
	}

	ctx, cancel := context.WithCancel(context.Background())
	s.wakeAt, s.wakeEarly = next, cancel

	return ctx, max(next-s.clock.Now(), 0) + expiryMargin, true
}
