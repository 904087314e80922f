package labadmission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labadmission/internal/labqueue"
)

// shard is the queue of one member with its lock.
type shard struct {
	clock lab.Clock

	lock     sync.Mutex
	queue    *labqueue.Queue
	expiring bool               // a goroutine waits for the earliest deadline
	wake     time.Duration      // when that goroutine wakes up
	hasten   context.CancelFunc // wakes it up earlier
}

func (s *shard) offer(request lab.AdmissionRequest) *labqueue.Ticket {
	s.lock.Lock()
	defer s.lock.Unlock()

	t := s.queue.Offer(s.clock.Now(), request)
	if t.State() == labqueue.Waiting {
		t.Signal = make(chan struct{})
	}

	s.notify()

	return t
}

// wait blocks until a ticket is settled or the context ends.
func (s *shard) wait(ctx context.Context, t *labqueue.Ticket) (func(), error) {
	select {
	case <-t.Signal:
		return s.result(t)
	case <-ctx.Done():
	}

	s.lock.Lock()
	defer s.lock.Unlock()

	s.queue.Cancel(s.clock.Now(), t)
	s.notify()

	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, errDeadline
	}

	return nil, errCancelled
}

// result turns a settled ticket into what Acquire returns.
func (s *shard) result(t *labqueue.Ticket) (func(), error) {
	switch t.State() {
	case labqueue.Granted:
		return func() { s.release(t) }, nil
	case labqueue.Refused:
		return nil, errOverload
	}

	return nil, errDeadline
}

func (s *shard) release(t *labqueue.Ticket) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.queue.Release(s.clock.Now(), t) {
		s.notify()
	}
}

func (s *shard) resize(slots int) {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.queue.Resize(s.clock.Now(), slots)
	s.notify()
}

// notify wakes the waiters of settled tickets and keeps one goroutine waiting for the earliest deadline.
func (s *shard) notify() {
	for _, t := range s.queue.Settled() {
		if t.Signal != nil {
			close(t.Signal)
		}
	}

	next, ok := s.queue.Next()

	switch {
	case !ok:
	case !s.expiring:
		s.expiring = true
		go s.expire()
	case next < s.wake && s.hasten != nil:
		s.hasten()
		s.hasten = nil
	}
}

// expire runs while requests wait and expires them at their deadlines.
func (s *shard) expire() {
	for {
		ctx, pause, ok := s.nextPause()
		if !ok {
			return
		}

		_ = s.clock.Sleep(ctx, pause)

		s.lock.Lock()
		s.queue.Advance(s.clock.Now())
		s.notify()
		s.lock.Unlock()
	}
}

// expiryDelay is added to a deadline, which itself is still in time, before the goroutine wakes up.
const expiryDelay = time.Microsecond

func (s *shard) nextPause() (context.Context, time.Duration, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.hasten != nil {
		s.hasten()
		s.hasten = nil
	}

	next, ok := s.queue.Next()
	if !ok {
		s.expiring = false
		return nil, 0, false
	}

	ctx, cancel := context.WithCancel(context.Background())
	s.wake, s.hasten = next, cancel

	return ctx, max(next-s.clock.Now(), 0) + expiryDelay, true
}
