package labregistry

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumlock.dev/lab"
)

// entry is one recorded idempotency key.
type entry struct {
	key        string        // organisation and idempotency key, joined by entryKey
	tokens     []token       // reservations of the key; a transfer can merge several from different replicas
	done       bool          // the request ran
	commandTag string        // command tag of the request if it ran
	expiry     time.Duration // value of Clock.Now at which the entry is dropped
	heapIndex  int           // index in entryTable.expiries
}

func (e *entry) record() lab.IdempotencyRecord {
	if e.done {
		return lab.IdempotencyRecord{State: lab.IdempotencyDone, CommandTag: e.commandTag}
	}

	return lab.IdempotencyRecord{State: lab.IdempotencyPending}
}

// expiryHeap is a heap of entries, ordered by expiry.
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

// entryTable holds the entries of one database at one replica. Its callers hold the lock and pass in the time.
// Reservations under an epoch before that of the current placement are rejected. A table is complete for an epoch when
// it has all entries of earlier epochs.
type entryTable struct {
	total *atomic.Int64 // number of entries in all tables of the replica

	lock            sync.Mutex
	entries         map[string]*entry
	expiries        expiryHeap
	current         lab.RegistryPlacement            // placement with the latest known epoch
	completeEpoch   uint64                           // latest epoch for which this table is complete
	settledEpoch    uint64                           // latest epoch for which a quorum of replicas is complete
	knownPlacements map[uint64]lab.RegistryPlacement // by epoch; starts at the later of completeEpoch and settledEpoch
	incompleteSince time.Duration                    // time at which a placement after completeEpoch became known
	transferDone    chan struct{}                    // closed when the running transfer ends; nil when no transfer runs
	withdrawn       []withdrawnToken                 // ordered by expiry
}

// withdrawnToken is a token whose withdrawal arrived before its reservation.
type withdrawnToken struct {
	token  token
	expiry time.Duration // value of Clock.Now after which the reservation can no longer arrive
}

func newEntryTable(total *atomic.Int64) *entryTable {
	return &entryTable{total: total, entries: map[string]*entry{}, knownPlacements: map[uint64]lab.RegistryPlacement{}}
}

// learnPlacements adds placements, and the placements of earlier epochs that their FormerReplicas list. The placement
// with the latest epoch becomes the current one.
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

// addPlacement adds a placement, unless it is so early that no transfer needs it any more. It replaces a known
// placement of the same epoch only if the known placement has no list of former replicas.
func (t *entryTable) addPlacement(p lab.RegistryPlacement) {
	if p.Epoch < max(t.completeEpoch, t.settledEpoch) || p.Epoch == 0 {
		return
	}

	if known, ok := t.knownPlacements[p.Epoch]; !ok || len(known.FormerReplicas) == 0 {
		t.knownPlacements[p.Epoch] = p
	}
}

// placements returns the known placements, ordered by epoch.
func (t *entryTable) placements() []lab.RegistryPlacement {
	all := make([]lab.RegistryPlacement, 0, len(t.knownPlacements))
	for _, p := range t.knownPlacements {
		all = append(all, p)
	}

	slices.SortFunc(all, func(p, q lab.RegistryPlacement) int { return int(p.Epoch) - int(q.Epoch) })

	return all
}

// markComplete records that the table has all entries from before an epoch, and drops earlier placements.
func (t *entryTable) markComplete(epoch uint64) {
	t.completeEpoch = epoch
	t.dropPlacementsBefore(epoch)
}

// markSettled records that other replicas have all entries from before an epoch, and drops earlier placements.
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

	for len(t.withdrawn) > 0 && t.withdrawn[0].expiry <= now {
		t.withdrawn = t.withdrawn[1:]
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

// reserve adds an entry with the call's key and token. If the key already has an entry, the call is a duplicate. The
// only exception is a repeated call: the entry then has just the call's token, and its request has not run. A call whose
// token has been withdrawn adds no entry.
func (t *entryTable) reserve(now time.Duration, c *call, limit int64) response {
	if slices.ContainsFunc(t.withdrawn, func(w withdrawnToken) bool { return w.token == c.Token }) {
		return response{Status: statusWithdrawn}
	}

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

// withdraw removes the call's token from a key, and removes the entry if it has no other token. An entry whose request
// ran stays. A reservation is complete before all replicas have received it, so its withdrawal can arrive first. The
// token is then remembered for lateCallTime. Otherwise the key would stay reserved until its retention ends.
func (t *entryTable) withdraw(now time.Duration, c *call, lateCallTime time.Duration) {
	e := t.entries[c.Key]
	if e != nil && e.done {
		return
	}

	if e == nil || !slices.Contains(e.tokens, c.Token) {
		t.withdrawn = append(t.withdrawn, withdrawnToken{c.Token, now + lateCallTime})

		return
	}

	e.tokens = slices.DeleteFunc(e.tokens, func(tk token) bool { return tk == c.Token })
	if len(e.tokens) == 0 {
		t.remove(e)
	}
}

// resolve records that a key's request ran. A missing entry is added even if the replica is full.
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

// merge adds the entries of another replica. For a key at both replicas, the outcome is kept if either replica knows
// that the request ran. The tokens of both replicas are kept too: one token may be withdrawn later, while another token
// belongs to a request that ran.
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

// page returns up to limit entries with keys greater than after, ordered by key, and whether more entries follow.
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
