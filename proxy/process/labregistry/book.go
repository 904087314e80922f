package labregistry

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlock.dev/lab"
)

// name is one recorded request name.
type name struct {
	key    string
	tokens []token // more than one after a transfer from holders that recorded different ones
	done   bool
	tag    string
	expiry time.Duration
	index  int // in the expiry heap
}

func (n *name) record() lab.IdempotencyRecord {
	if n.done {
		return lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: n.tag}
	}

	return lab.IdempotencyRecord{State: lab.IdempotencyPending}
}

// nameHeap orders names by expiry.
type nameHeap []*name

func (h nameHeap) Len() int           { return len(h) }
func (h nameHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }
func (h nameHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *nameHeap) Push(x any) {
	n := x.(*name)
	n.index = len(*h)
	*h = append(*h, n)
}

func (h *nameHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]

	return n
}

// book is what a holder keeps of one database. Time is passed in.
type book struct {
	count *atomic.Int64 // names in all books of the holder

	lock     sync.Mutex
	names    map[string]*name
	expiries nameHeap
	current  lab.RegistryPlacement            // of the latest epoch seen; requests of earlier ones are refused
	complete uint64                           // last epoch for which all earlier names are here
	settled  uint64                           // a quorum of other holders has all names of epochs before this one
	known    map[uint64]lab.RegistryPlacement // placements from the complete epoch on
	lacking  time.Duration                    // since when the current epoch is not complete
	filling  chan struct{}                    // closed when the running transfer ends; nil when none runs
}

func newBook(count *atomic.Int64) *book {
	return &book{count: count, names: map[string]*name{}, known: map[uint64]lab.RegistryPlacement{}}
}

// learn notes placements and moves to the latest.
func (b *book) learn(now time.Duration, placements ...lab.RegistryPlacement) {
	for _, p := range placements {
		for i, holders := range p.FormerReplicas {
			b.note(lab.RegistryPlacement{Epoch: p.Epoch - uint64(i) - 1, Replicas: holders})
		}

		b.note(p)

		if p.Epoch > b.current.Epoch {
			if b.current.Epoch == b.complete {
				b.lacking = now
			}

			b.current = p
		}
	}
}

// note keeps a placement that may matter for a transfer. One that names its former holders is preferred.
func (b *book) note(p lab.RegistryPlacement) {
	if p.Epoch < max(b.complete, b.settled) || p.Epoch == 0 {
		return
	}

	if old, ok := b.known[p.Epoch]; !ok || len(old.FormerReplicas) == 0 {
		b.known[p.Epoch] = p
	}
}

// placements returns the known placements, oldest first.
func (b *book) placements() []lab.RegistryPlacement {
	all := make([]lab.RegistryPlacement, 0, len(b.known))
	for _, p := range b.known {
		all = append(all, p)
	}

	slices.SortFunc(all, func(p, q lab.RegistryPlacement) int { return int(p.Epoch) - int(q.Epoch) })

	return all
}

// finish marks an epoch as complete and forgets earlier placements.
func (b *book) finish(epoch uint64) {
	b.complete = epoch
	b.forget(epoch)
}

// settle forgets placements before an epoch that other holders have completed.
func (b *book) settle(epoch uint64) {
	b.settled = max(b.settled, epoch)
	b.forget(epoch)
}

func (b *book) forget(epoch uint64) {
	for e := range b.known {
		if e < epoch {
			delete(b.known, e)
		}
	}
}

func (b *book) expire(now time.Duration) {
	for len(b.expiries) > 0 && b.expiries[0].expiry <= now {
		b.remove(b.expiries[0])
	}
}

func (b *book) add(n *name) {
	b.names[n.key] = n
	heap.Push(&b.expiries, n)
	b.count.Add(1)
}

func (b *book) remove(n *name) {
	delete(b.names, n.key)
	heap.Remove(&b.expiries, n.index)
	b.count.Add(-1)
}

// reserve records a token for a key unless another one is there.
func (b *book) reserve(now time.Duration, c *call, limit int64) answer {
	if n := b.names[c.Key]; n != nil {
		if len(n.tokens) == 1 && n.tokens[0] == c.Token && !n.done {
			return answer{}
		}

		return answer{Verdict: verdictKnown, Record: n.record()}
	}

	if b.count.Load() >= limit {
		return answer{Verdict: verdictFull}
	}

	b.add(&name{key: c.Key, tokens: []token{c.Token}, expiry: now + c.Retention})

	return answer{}
}

// withdraw frees a name of the token, unless another token has it too.
func (b *book) withdraw(c *call) {
	n := b.names[c.Key]
	if n == nil || n.done || !slices.Contains(n.tokens, c.Token) {
		return
	}

	n.tokens = slices.DeleteFunc(n.tokens, func(t token) bool { return t == c.Token })
	if len(n.tokens) == 0 {
		b.remove(n)
	}
}

// resolve stores that a name's request ran. It adds a name that is missing, whatever the limit.
func (b *book) resolve(now time.Duration, c *call) {
	n := b.names[c.Key]
	if n == nil {
		n = &name{key: c.Key, tokens: []token{c.Token}, expiry: now + c.Retention}
		b.add(n)
	}

	if !n.done {
		n.done, n.tag = true, c.Record.CommandTag
	}
}

// merge adds names of another holder. An outcome wins over none. The tokens of both are kept, since one of them may be
// withdrawn while the other is of a request that ran.
func (b *book) merge(now time.Duration, names []savedName) {
	for _, s := range names {
		n := b.names[s.Key]
		if n == nil {
			n = &name{key: s.Key, expiry: now + s.Remain}
			b.add(n)
		}

		for _, t := range s.Tokens {
			if !slices.Contains(n.tokens, t) {
				n.tokens = append(n.tokens, t)
			}
		}

		if s.Done && !n.done {
			n.done, n.tag = true, s.Tag
		}
	}
}

// page returns up to limit names with keys after the given one, in order, and whether more follow.
func (b *book) page(now time.Duration, after string, limit int) ([]savedName, bool) {
	var keys []string

	for k := range b.names {
		if k > after {
			keys = append(keys, k)
		}
	}

	slices.Sort(keys)

	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}

	names := make([]savedName, 0, len(keys))
	for _, k := range keys {
		n := b.names[k]
		names = append(names, savedName{k, slices.Clone(n.tokens), n.done, n.tag, n.expiry - now})
	}

	return names, more
}
