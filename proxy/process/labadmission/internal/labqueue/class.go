package labqueue

import (
	"container/heap"
	"time"

	"laburnumlock.dev/lab"
)

// While requests of all admission classes wait, the classes receive grants in proportion to these shares. The sum of
// the shares is 9, so the deferrable class gets one grant in nine. Any 100 consecutive grants then include at least 10
// of that class.
const (
	shareInteractive = 5
	shareWrite       = 3
	shareDeferrable  = 1
)

const (
	// serviceAverageDivisor is the inverse of the weight of a new service time in the moving average. With a divisor of 8,
	// the average of exponentially distributed times is off by a quarter, and the queue accepts many requests that then
	// expire while they wait.
	serviceAverageDivisor = 32
	// maxServiceFactor caps a measured service time at this multiple of the average, so that one stuck statement does
	// not make the queue reject all requests.
	maxServiceFactor = 4
	// minSweepSize is how many organisations a class stores before dropIdle first looks for idle ones.
	minSweepSize = 64
)

// class holds the waiting requests of one admission class.
type class struct {
	share         int64
	start         int64         // virtual time at which the class's next grant is due; valid only while requests wait
	finish        int64         // virtual finish time of the last grant: its virtual start time plus its cost
	virtualTime   int64         // virtual time of the class; each grant sets it to the start of its organisation
	queued        int           // number of waiting requests
	activeWeight  int64         // sum of the weights of the organisations with waiting requests
	meanService   time.Duration // moving average of the service time
	meanDeviation time.Duration // moving average of the absolute difference between service time and meanService
	organisations map[string]*organisation
	nextSweep     int // number of organisations at which dropIdle next drops idle ones
	ready         readyHeap
}

func classIndex(c lab.AdmissionClass) int {
	switch c {
	case lab.ClassWrite:
		return 1
	case lab.ClassDeferrable:
		return 2
	}

	return 0
}

func (c *class) organisation(name string, weight int64) *organisation {
	o := c.organisations[name]
	if o == nil {
		c.dropIdle()

		o = &organisation{class: c, name: name, heapIndex: -1}
		c.organisations[name] = o
	}

	o.setWeight(weight)

	return o
}

// dropIdle drops the organisations that have no waiting request and whose past grants no longer delay their next grant.
// After that it does nothing until the number of organisations has doubled. This keeps the cost per new organisation
// constant.
func (c *class) dropIdle() {
	if len(c.organisations) < max(c.nextSweep, minSweepSize) {
		return
	}

	for k, o := range c.organisations {
		if o.heapIndex < 0 && o.finish <= c.virtualTime {
			delete(c.organisations, k)
		}
	}

	c.nextSweep = 2 * len(c.organisations)
}

func (c *class) push(t *Ticket) {
	o := t.organisation
	heap.Push(&o.waiting, t)

	c.queued++

	if o.heapIndex < 0 {
		o.start = max(o.finish, c.virtualTime)
		c.activeWeight += o.weight
		heap.Push(&c.ready, o)
	}
}

func (c *class) remove(t *Ticket) {
	o := t.organisation
	heap.Remove(&o.waiting, t.heapIndex)

	c.queued--

	if len(o.waiting) == 0 {
		c.activeWeight -= o.weight
		heap.Remove(&c.ready, o.heapIndex)
	}
}

// chargeGrant adds the cost of one grant to an organisation's virtual time. It sets the class's virtual time to the
// virtual start time of this grant, and advances the virtual start time of the organisation's next grant by the cost.
func (c *class) chargeGrant(o *organisation) {
	c.virtualTime = o.start
	o.finish = o.start + virtualScale/o.weight
	o.start = o.finish

	if o.heapIndex >= 0 {
		heap.Fix(&c.ready, o.heapIndex)
	}
}

// recordServiceTime adds a service time to the moving averages.
func (c *class) recordServiceTime(service time.Duration) {
	if c.meanService == 0 {
		c.meanService = service
		return
	}

	service = min(service, maxServiceFactor*c.meanService)
	c.meanDeviation += ((service - c.meanService).Abs() - c.meanDeviation) / serviceAverageDivisor
	c.meanService += (service - c.meanService) / serviceAverageDivisor
}
