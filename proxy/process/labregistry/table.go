package labregistry

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlock.dev/lab"
)

// entry is one recorded request name.
type entry struct {
	key        string
	tokens     []token // more than one after a transfer from holders that recorded different ones
	done       bool
	commandTag string
	expiry     time.Duration
	heapIndex  int // in the expiry heap
}

func (e *entry) record() lab.IdempotencyRecord {
	if e.done {
		return lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: e.commandTag}
	}

	return lab.IdempotencyRecord{State: lab.IdempotencyPending}
}

// expiryHeap orders names by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry < h[j].expiry }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]

	return e
}

// entryTable is what a holder keeps of one database. Time is passed in.
type entryTable struct {
	total *atomic.Int64 // names in all books of the holder

	lock            sync.Mutex
	entries         map[string]*entry
	expiries        expiryHeap
	current         lab.RegistryPlacement            // of the latest epoch seen; requests of earlier ones are refused
	completeEpoch   uint64                           // last epoch for which all earlier names are here
	settledEpoch    uint64                           // a quorum of other holders has all names of epochs before this one
	knownPlacements map[uint64]lab.RegistryPlacement // placements from the complete epoch on
	incompleteSince time.Duration                    // since when the current epoch is not complete
	transferDone    chan struct{}                    // closed when the running transfer ends; nil when none runs
}

func newEntryTable(count *atomic.Int64) *entryTable {
	return &entryTable{total: count, entries: map[string]*entry{}, knownPlacements: map[uint64]lab.RegistryPlacement{}}
}

// learnPlacements notes placements and moves to the latest.
func (t *entryTable) learnPlacements(now time.Duration, placements ...lab.RegistryPlacement) {
	for _, p := range placements {
		for i, replicas := range p.FormerReplicas {
			t.addPlacement(lab.RegistryPlacement{Epoch: p.Epoch - uint64(i) - 1, Replicas: replicas})
		}

		t.addPlacement(p)

		if p.Epoch > t.current.Epoch {
			if t.current.Epoch == t.completeEpoch {
				t.incompleteSince = now
			}

			t.current = p
		}
	}
}

// addPlacement keeps a placement that may matter for a transfer. One that names its former holders is preferred.
func (t *entryTable) addPlacement(p lab.RegistryPlacement) {
	if p.Epoch < max(t.completeEpoch, t.settledEpoch) || p.Epoch == 0 {
		return
	}

	if known, ok := t.knownPlacements[p.Epoch]; !ok || len(known.FormerReplicas) == 0 {
		t.knownPlacements[p.Epoch] = p
	}
}

// placements returns the known placements, oldest first.
func (t *entryTable) placements() []lab.RegistryPlacement {
	all := make([]lab.RegistryPlacement, 0, len(t.knownPlacements))
	for _, p := range t.knownPlacements {
		all = append(all, p)
	}

	slices.SortFunc(all, func(p, q lab.RegistryPlacement) int { return int(p.Epoch) - int(q.Epoch) })

	return all
}

// markComplete marks an epoch as complete and forgets earlier placements.
func (t *entryTable) markComplete(epoch uint64) {
	t.completeEpoch = epoch
	t.dropPlacementsBefore(epoch)
}

// markSettled forgets placements before an epoch that other holders have completed.
func (t *entryTable) markSettled(epoch uint64) {
	t.settledEpoch = max(t.settledEpoch, epoch)
	t.dropPlacementsBefore(epoch)
}

func (t *entryTable) dropPlacementsBefore(epoch uint64) {
	for e := range t.knownPlacements {
		if e < epoch {
			delete(t.knownPlacements, e)
		}
	}
}

func (t *entryTable) expire(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].expiry <= now {
		t.remove(t.expiries[0])
	}
}

func (t *entryTable) add(e *entry) {
	t.entries[e.key] = e
	heap.Push(&t.expiries, e)
	t.total.Add(1)
}

func (t *entryTable) remove(e *entry) {
	delete(t.entries, e.key)
	heap.Remove(&t.expiries, e.heapIndex)
	t.total.Add(-1)
}

// reserve records a token for a key unless another one is there.
func (t *entryTable) reserve(now time.Duration, c *call, limit int64) response {
	if e := t.entries[c.Key]; e != nil {
		if len(e.tokens) == 1 && e.tokens[0] == c.Token && !e.done {
			return response{}
		}

		return response{Status: statusDuplicate, Record: e.record()}
	}

	if t.total.Load() >= limit {
		return response{Status: statusFull}
	}

	t.add(&entry{key: c.Key, tokens: []token{c.Token}, expiry: now + c.Retention})

	return response{}
}

// withdraw frees a name of the token, unless another token has it too.
func (t *entryTable) withdraw(c *call) {
	e := t.entries[c.Key]
	if e == nil || e.done || !slices.Contains(e.tokens, c.Token) {
		return
	}

	e.tokens = slices.DeleteFunc(e.tokens, func(tk token) bool { return tk == c.Token })
	if len(e.tokens) == 0 {
		t.remove(e)
	}
}

// resolve stores that a name's request ran. It adds a name that is missing, whatever the limit.
func (t *entryTable) resolve(now time.Duration, c *call) {
	e := t.entries[c.Key]
	if e == nil {
		e = &entry{key: c.Key, tokens: []token{c.Token}, expiry: now + c.Retention}
		t.add(e)
	}

	if !e.done {
		e.done, e.commandTag = true, c.Record.CommandTag
	}
}

// merge adds names of another holder. An outcome wins over none. The tokens of both are kept, since one of them may be
// withdrawn while the other is of a request that ran.
func (t *entryTable) merge(now time.Duration, entries []savedEntry) {
	for _, s := range entries {
		e := t.entries[s.Key]
		if e == nil {
			e = &entry{key: s.Key, expiry: now + s.TTL}
			t.add(e)
		}

		for _, tk := range s.Tokens {
			if !slices.Contains(e.tokens, tk) {
				e.tokens = append(e.tokens, tk)
			}
		}

		if s.Done && !e.done {
			e.done, e.commandTag = true, s.CommandTag
		}
	}
}

// page returns up to limit names with keys after the given one, in order, and whether more follow.
func (t *entryTable) page(now time.Duration, after string, limit int) ([]savedEntry, bool) {
	var keys []string

	for k := range t.entries {
		if k > after {
			keys = append(keys, k)
		}
	}

	slices.Sort(keys)

	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}

	entries := make([]savedEntry, 0, len(keys))
	for _, k := range keys {
		e := t.entries[k]
		entries = append(entries, savedEntry{k, slices.Clone(e.tokens), e.done, e.commandTag, e.expiry - now})
	}

	return entries, more
}
