package labqueue

const (
	// virtualScale is the virtual time that a grant costs an organisation of weight 1. For a higher weight, the cost is
	// virtualScale divided by the weight, rounded down. At the largest weight the cost is 16, so rounding changes a
	// cost by at most 1/16.
	virtualScale = 1 << 20
	maxWeight    = 1 << 16
)

// organisation holds the waiting requests of one organisation in one class.
type organisation struct {
	class     *class
	name      string
	weight    int64
	start     int64 // virtual time at which the next grant is due; valid only while requests wait
	finish    int64 // virtual finish time of the last grant: its virtual start time plus its cost
	waiting   ticketHeap
	heapIndex int // index in the class's heap; -1 when no request waits
}

// setWeight sets the organisation's weight, which each request states, and updates the sum of weights in the class.
func (o *organisation) setWeight(weight int64) {
	weight = min(max(weight, 1), maxWeight)
	if len(o.waiting) > 0 {
		o.class.activeWeight += weight - o.weight
	}

	o.weight = weight
}

// readyHeap orders the organisations with waiting requests in a class by virtual start time.
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
