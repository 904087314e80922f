package labqueue

const (
	// virtualScale is the virtual time that one grant costs at weight 1. Weights up to maxWeight divide it without
	// losing more than one part in 16.
	virtualScale = 1 << 20
	maxWeight    = 1 << 16
)

// organisation is the part of a class that belongs to one organisation.
type organisation struct {
	class     *class
	name      string
	weight    int64
	start     int64 // virtual time at which the next grant is due, while requests wait
	finish    int64 // virtual time up to which past grants are paid for
	waiting   ticketHeap
	heapIndex int // in the class's heap, -1 when nothing waits
}

// setWeight takes over the weight of the latest request.
func (o *organisation) setWeight(weight int64) {
	weight = min(max(weight, 1), maxWeight)
	if len(o.waiting) > 0 {
		o.class.activeWeight += weight - o.weight
	}

	o.weight = weight
}

// readyHeap orders the organisations of a class that have waiting requests by virtual start time.
type readyHeap []*organisation

func (h readyHeap) Len() int { return len(h) }

func (h readyHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}

	return h[i].name < h[j].name
}

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *readyHeap) Push(x any) {
	o := x.(*organisation)
	o.heapIndex = len(*h)
	*h = append(*h, o)
}

func (h *readyHeap) Pop() any {
	n := len(*h) - 1
	o := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	o.heapIndex = -1

	return o
}
