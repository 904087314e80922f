package labqueue

import (
	"container/heap"
	"time"

	"laburnumlock.dev/lab"
)

// Shares of the classes while all of them have work. May-wait work gets one grant in nine, so that any 100 grants while
// it waits include at least ten of it.
const (
	shareInteractive = 5
	shareWrite       = 3
	shareDeferrable  = 1
)

const (
	// serviceAverageDivisor divides a new service time's share in the moving average. With 8, the average of exponentially
	// distributed times is off by a quarter, and many admitted requests then wait in vain.
	serviceAverageDivisor = 32
	// maxServiceFactor bounds a measured service time in multiples of the average, so that one stuck statement does not make
	// the queue refuse everything.
	maxServiceFactor = 4
	// minSweepSize is how many organisations a class remembers before it looks for ones whose past grants no longer
	// count.
	minSweepSize = 64
)

// class holds the waiting requests of one class of work.
type class struct {
	share         int64
	start         int64 // virtual time at which the class's next grant is due, while requests wait
	finish        int64
	virtualTime   int64 // virtualTime start time of the last granted organisation
	queued        int
	activeWeight  int64         // sum of the weights of organisations with waiting requests
	meanService   time.Duration // moving average
	meanDeviation time.Duration // moving average of the distance from it
	organisations map[string]*organisation
	nextSweep     int // number of organisations at which idle ones are dropped next
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

// dropIdle drops organisations that would start anew at the current virtual time anyway. It looks again only after
// the number has doubled, so that its cost per new organisation stays constant.
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

// chargeGrant accounts one grant to an organisation whose grant was due at its start time.
func (c *class) chargeGrant(o *organisation) {
	c.virtualTime = o.start
	o.finish = o.start + virtualScale/o.weight
	o.start = o.finish

	if o.heapIndex >= 0 {
		heap.Fix(&c.ready, o.heapIndex)
	}
}

// recordServiceTime adds a service time to the moving average.
func (c *class) recordServiceTime(service time.Duration) {
	if c.meanService == 0 {
		c.meanService = service
		return
	}

	service = min(service, maxServiceFactor*c.meanService)
	c.meanDeviation += ((service - c.meanService).Abs() - c.meanDeviation) / serviceAverageDivisor
	c.meanService += (service - c.meanService) / serviceAverageDivisor
}
