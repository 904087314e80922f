package labqueue

import (
	"container/heap"
	"time"

	"laburnumlock.dev/lab"
)

// Shares of the classes while all of them have work. May-wait work gets one grant in nine, so that any 100 grants while
// it waits include at least ten of it.
const (
	sharePrompt  = 5
	shareWrite   = 3
	shareMayWait = 1
)

const (
	// serviceWeight divides a new service time's share in the moving average. With 8, the average of exponentially
	// distributed times is off by a quarter, and many admitted requests then wait in vain.
	serviceWeight = 32
	// serviceJump bounds a measured service time in multiples of the average, so that one stuck statement does not make
	// the queue refuse everything.
	serviceJump = 4
	// fewOrganisations is how many organisations a class remembers before it looks for ones whose past grants no longer
	// count.
	fewOrganisations = 64
)

// class holds the waiting requests of one class of work.
type class struct {
	share         int64
	start         int64 // virtual time at which the class's next grant is due, while requests wait
	finish        int64
	virtual       int64 // virtual start time of the last granted organisation
	queued        int
	active        int64         // sum of the weights of organisations with waiting requests
	service       time.Duration // moving average
	deviation     time.Duration // moving average of the distance from it
	organisations map[string]*organisation
	sweep         int // number of organisations at which idle ones are dropped next
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
		c.forgetIdle()

		o = &organisation{class: c, name: name, index: -1}
		c.organisations[name] = o
	}

	o.setWeight(weight)

	return o
}

// forgetIdle drops organisations that would start anew at the current virtual time anyway. It looks again only after
// the number has doubled, so that its cost per new organisation stays constant.
func (c *class) forgetIdle() {
	if len(c.organisations) < max(c.sweep, fewOrganisations) {
		return
	}

	for k, o := range c.organisations {
		if o.index < 0 && o.finish <= c.virtual {
			delete(c.organisations, k)
		}
	}

	c.sweep = 2 * len(c.organisations)
}

func (c *class) push(t *Ticket) {
	o := t.organisation
	heap.Push(&o.waiting, t)

	c.queued++

	if o.index < 0 {
		o.start = max(o.finish, c.virtual)
		c.active += o.weight
		heap.Push(&c.ready, o)
	}
}

func (c *class) remove(t *Ticket) {
	o := t.organisation
	heap.Remove(&o.waiting, t.index)

	c.queued--

	if len(o.waiting) == 0 {
		c.active -= o.weight
		heap.Remove(&c.ready, o.index)
	}
}

// charge accounts one grant to an organisation whose grant was due at its start time.
func (c *class) charge(o *organisation) {
	c.virtual = o.start
	o.finish = o.start + virtualScale/o.weight
	o.start = o.finish

	if o.index >= 0 {
		heap.Fix(&c.ready, o.index)
	}
}

// measure adds a service time to the moving average.
func (c *class) measure(service time.Duration) {
	if c.service == 0 {
		c.service = service
		return
	}

	service = min(service, serviceJump*c.service)
	c.deviation += ((service - c.service).Abs() - c.deviation) / serviceWeight
	c.service += (service - c.service) / serviceWeight
}
