package labqueue

import (
	"container/heap"
	"math"
	"time"

	"laburnumlock.dev/lab"
)

const classCount = 3

// Queue grants the slots of one member to requests by weighted fair queueing. Each grant advances the virtual time of
// its class by an amount inversely proportional to the share of the class. It also advances the virtual time of its
// organisation by an amount inversely proportional to the weight of the organisation. The next grant goes to the class
// with the earliest virtual start time, and within it to the organisation with the earliest virtual start time.
type Queue struct {
	slots        int
	running      int
	waiting      int
	nextSequence uint64
	virtualTime  int64 // virtual time of the queue; each grant sets it to the start of its class
	classes      [classCount]class
	expiries     expiryHeap
	settled      []*Ticket // tickets that the next call of Settled returns
}

// New returns a queue without slots.
func New() *Queue {
	q := &Queue{}
	for i, share := range []int64{shareInteractive, shareWrite, shareDeferrable} {
		q.classes[i] = class{share: share, organisations: map[string]*organisation{}}
	}

	return q
}

// Offer adds a request. The state of the returned ticket tells whether the request was granted at once, waits, was
// rejected or has expired.
func (q *Queue) Offer(now time.Duration, request lab.AdmissionRequest) *Ticket {
	q.expire(now)

	c := &q.classes[classIndex(request.Class)]
	o := c.organisation(request.Organisation, request.Weight)
	t := &Ticket{organisation: o, deadline: request.Deadline, sequence: q.nextSequence}
	q.nextSequence++

	switch {
	case request.Deadline < now:
		t.state = Expired
	case q.waiting == 0 && q.running < q.slots:
		o.start = max(o.finish, c.virtualTime)
		c.start = max(c.finish, q.virtualTime)
		q.admit(now, t)
	case int64(len(o.waiting)) >= request.QueueLimit || !q.feasible(now, t):
		t.state = Rejected
	default:
		q.push(t)
		q.grant(now)
	}

	return t
}

// Release frees the slot of a granted request. It returns false if the request did not hold a slot.
func (q *Queue) Release(now time.Duration, t *Ticket) bool {
	if t.state != Granted {
		return false
	}

	t.state = Released
	t.organisation.class.recordServiceTime(now - t.grantedAt)
	q.running--
	q.grant(now)

	return true
}

// Cancel removes a waiting request from the queue, or frees the slot of a granted request.
func (q *Queue) Cancel(now time.Duration, t *Ticket) {
	switch t.state {
	case Granted:
		t.state = Cancelled
		q.running--
		q.grant(now)
	case Waiting:
		t.state = Cancelled
		q.remove(t)
	}
}

// Resize sets the number of slots. Granted requests keep their slots, even if there are more of them than slots.
func (q *Queue) Resize(now time.Duration, slots int) {
	q.slots = max(slots, 0)
	q.grant(now)
}

// Advance expires the waiting requests whose deadlines have passed.
func (q *Queue) Advance(now time.Duration) {
	q.grant(now)
}

// NextDeadline returns the earliest deadline of a waiting request.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.expiries) == 0 {
		return 0, false
	}

	return q.expiries[0].deadline, true
}

// Settled returns the tickets that waited and have been granted or expired since the last call of Settled. The slice is
// valid until the next call of any method.
func (q *Queue) Settled() []*Ticket {
	s := q.settled
	q.settled = q.settled[:0]

	return s
}

// Running returns the number of granted requests.
func (q *Queue) Running() int {
	return q.running
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	return q.waiting
}

// Organisations returns the number of organisations that the classes store. An organisation counts once for each class
// that stores it.
func (q *Queue) Organisations() int {
	n := 0
	for i := range q.classes {
		n += len(q.classes[i].organisations)
	}

	return n
}

func (q *Queue) push(t *Ticket) {
	c := t.organisation.class
	if c.queued == 0 {
		c.start = max(c.finish, q.virtualTime)
	}

	c.push(t)
	heap.Push(&q.expiries, t)
	q.waiting++
}

func (q *Queue) remove(t *Ticket) {
	t.organisation.class.remove(t)
	heap.Remove(&q.expiries, t.expiryIndex)
	q.waiting--
}

func (q *Queue) expire(now time.Duration) {
	for len(q.expiries) > 0 && q.expiries[0].deadline < now {
		t := q.expiries[0]
		q.remove(t)
		t.state = Expired
		q.settled = append(q.settled, t)
	}
}

// grant expires the requests whose deadlines have passed and grants the free slots to waiting requests.
func (q *Queue) grant(now time.Duration) {
	q.expire(now)

	for q.running < q.slots && q.waiting > 0 {
		t := q.nextClass().ready[0].waiting[0]
		q.remove(t)
		q.admit(now, t)
		q.settled = append(q.settled, t)
	}
}

// nextClass returns the class whose next grant is due first. It considers only classes with waiting requests.
func (q *Queue) nextClass() *class {
	var first *class

	for i := range q.classes {
		c := &q.classes[i]
		if c.queued > 0 && (first == nil || c.start < first.start) {
			first = c
		}
	}

	return first
}

func (q *Queue) admit(now time.Duration, t *Ticket) {
	o := t.organisation
	c := o.class
	t.state = Granted
	t.grantedAt = now
	q.running++
	q.virtualTime = c.start
	c.finish = c.start + virtualScale/c.share
	c.start = c.finish
	c.chargeGrant(o)
}

// feasible estimates whether a request would start by its deadline. While the member has no slots, there is no basis
// for an estimate, and feasible returns true.
func (q *Queue) feasible(now time.Duration, t *Ticket) bool {
	if q.slots == 0 {
		return true
	}

	ownAhead := len(t.organisation.waiting)
	if q.estimateStart(t.organisation, ownAhead) <= t.deadline-now {
		return true
	}

	// Requests of the same organisation with a later deadline run after this one. Counting them takes time, so they are
	// subtracted only if the estimate that includes them exceeds the deadline.
	for _, u := range t.organisation.waiting {
		if t.before(u) {
			ownAhead--
		}
	}

	return q.estimateStart(t.organisation, ownAhead) <= t.deadline-now
}

// estimateStart estimates the time until a request of an organisation starts, if ownAhead requests of the same
// organisation start before it. Other organisations and classes start at most as many requests before it as their
// weights and shares allow.
func (q *Queue) estimateStart(o *organisation, ownAhead int) time.Duration {
	c := o.class

	others, weight := int64(c.queued-len(o.waiting)), c.activeWeight
	if len(o.waiting) > 0 {
		weight -= o.weight
	}

	ahead := int64(ownAhead) + min(others, ceilDiv(int64(ownAhead+1)*weight, o.weight))
	work, variance := q.expectedWork(c, ahead+1)

	for i := range q.classes {
		d := &q.classes[i]
		if d != c {
			w, v := q.expectedWork(d, min(int64(d.queued), ceilDiv((ahead+1)*d.share, c.share)))
			work += w
			variance += v
		}
	}

	// One standard deviation of the sum is added. Without it, half of the requests whose estimate is just within the
	// deadline would expire in the queue.
	return time.Duration(min((work+math.Sqrt(variance))/float64(q.slots), math.MaxInt64/2))
}

// expectedWork returns the expected total service time of a number of requests of a class, and its variance.
func (q *Queue) expectedWork(c *class, requests int64) (work, variance float64) {
	d := float64(c.meanDeviation)
	return float64(requests) * float64(q.serviceTime(c)), float64(requests) * d * d
}

// ceilDiv returns a/b rounded up.
func ceilDiv(a, b int64) int64 {
	return (a + b - 1) / b
}

// serviceTime returns the mean service time of a class. Before the first service time of the class is recorded, it
// returns the longest mean service time of all classes.
func (q *Queue) serviceTime(c *class) time.Duration {
	if c.meanService > 0 {
		return c.meanService
	}

	var longest time.Duration
	for i := range q.classes {
		longest = max(longest, q.classes[i].meanService)
	}

	return longest
}
