package labqueue

import "time"

// State is the state of a request.
type State uint8

// The states of a request.
const (
	Waiting State = iota
	Granted
	Released
	Cancelled // the caller cancelled the request
	Expired   // the deadline passed before a slot was granted
	Rejected  // the deadline could not be met, or the organisation's queue was full
)

// Ticket represents one request in a queue. Only the queue modifies its state.
type Ticket struct {
	// Signal is for the caller to wait on; the queue does not use it.
	Signal chan struct{}

	state        State
	organisation *organisation
	deadline     time.Duration // time after which the request expires unless it was granted
	sequence     uint64        // the request's place in the order of arrival
	grantedAt    time.Duration // time of the grant
	heapIndex    int           // index in the organisation's heap of waiting tickets
	expiryIndex  int           // index in the queue's expiry heap
}

// State returns the ticket's state.
func (t *Ticket) State() State {
	return t.state
}

// before reports whether the ticket has an earlier deadline than u. Of two tickets with the same deadline, the one that
// arrived first comes before the other.
func (t *Ticket) before(u *Ticket) bool {
	if t.deadline != u.deadline {
		return t.deadline < u.deadline
	}

	return t.sequence < u.sequence
}

// ticketHeap orders the tickets of one organisation and class by deadline.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *ticketHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]

	return t
}

// expiryHeap orders all waiting tickets of a queue by deadline.
type expiryHeap []*Ticket

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.expiryIndex = len(*h)
	*h = append(*h, t)
}

func (h *expiryHeap) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]

	return t
}
