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

	lock          sync.Mutex
	queue         *labqueue.Queue
	expiryRunning bool               // a goroutine waits for the earliest deadline
	wakeAt        time.Duration      // when that goroutine wakes up
	wakeEarly     context.CancelFunc // wakes it up earlier
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
	s.notifyWaiters()

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

// notifyWaiters wakes the waiters of settled tickets and keeps one goroutine waiting for the earliest deadline.
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

// expire runs while requests wait and expires them at their deadlines.
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

// expiryMargin is added to a deadline, which itself is still in time, before the goroutine wakes up.
const expiryMargin = time.Microsecond

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
