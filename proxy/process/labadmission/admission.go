package labadmission

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labadmission/internal/labqueue"
)

// defaultQueueLimit is the queue limit when neither the request nor Admission sets one.
const defaultQueueLimit = 1000

// The errors are created once, so that rejecting a request costs little under overload.
var (
	errOverload  = lab.NotRunError(lab.ReasonOverload, errors.New("the deadline cannot be met or the queue is full"))
	errDeadline  = lab.NotRunError(lab.ReasonDeadline, errors.New("the deadline passed while the request was queued"))
	errCancelled = lab.NotRunError(lab.ReasonCancelled, errors.New("the request was cancelled while it was queued"))
)

// Admission implements lab.Admission. Clock must be set before use.
type Admission struct {
	Clock lab.Clock
	// QueueLimit is the queue limit for requests that set none: the maximum number of waiting requests of one
	// organisation in one class on one member. 0 stands for 1,000.
	QueueLimit int64

	shards sync.Map // member name to *shard
}

var _ lab.Admission = (*Admission)(nil)

// Acquire waits for a slot of a member. It returns a function that releases the slot; further calls of that function
// have no effect.
func (a *Admission) Acquire(ctx context.Context, member string, request lab.AdmissionRequest) (func(), error) {
	if request.QueueLimit <= 0 {
		request.QueueLimit = a.queueLimit()
	}

	s := a.shard(member)
	t := s.offer(request)

	if t.Signal != nil {
		return s.wait(ctx, t)
	}

	return s.result(t)
}

// Resize sets the number of slots of a member. With 0 slots, no request is granted a slot.
func (a *Admission) Resize(member string, slots int) {
	a.shard(member).resize(slots)
}

// Load returns how many requests are running on a member and how many are waiting for it.
func (a *Admission) Load(member string) (running, waiting int) {
	s := a.shard(member)
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.queue.Running(), s.queue.Waiting()
}

func (a *Admission) queueLimit() int64 {
	if a.QueueLimit > 0 {
		return a.QueueLimit
	}

	return defaultQueueLimit
}

func (a *Admission) shard(member string) *shard {
	if s, ok := a.shards.Load(member); ok {
		return s.(*shard)
	}

	s, _ := a.shards.LoadOrStore(member, &shard{clock: a.Clock, queue: labqueue.New()})

	return s.(*shard)
}
