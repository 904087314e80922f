package labregistry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxTransferRounds bounds the rounds of a transfer. Each round calls the replicas that became known from the responses
// of the previous round.
const maxTransferRounds = 4

var errWrongInstance = errors.New("another instance responds at the replica's address")

// transfer fetches the entries of earlier epochs from other replicas, so that this replica can serve a new placement.
type transfer struct {
	registry  *Registry
	database  string
	table     *entryTable
	target    lab.RegistryPlacement       // placement for which the entries are fetched
	responses map[lab.InstanceID]response // own state, and first response of each replica whose pages are all merged
}

// startTransfer starts a transfer if none is running and one is needed. None is needed if the table is complete for the
// current epoch, if the current placement doesn't list this process, or if the registry is closed. startTransfer
// returns a channel that is closed when the running transfer ends; without a transfer, the channel is already closed.
// The caller holds the table's lock.
func (r *Registry) startTransfer(ctx context.Context, database string, table *entryTable) <-chan struct{} {
	if table.transferDone != nil {
		return table.transferDone
	}

	done := make(chan struct{})

	if table.completeEpoch == table.current.Epoch || !r.isIntactReplica(table.current) || r.closed.Load() {
		close(done)
		return done
	}

	table.transferDone = done
	t := &transfer{r, database, table, table.current, map[lab.InstanceID]response{}}

	go func() {
		t.run(context.WithoutCancel(ctx))

		table.lock.Lock()
		table.transferDone = nil
		table.lock.Unlock()
		close(done)
	}()

	return done
}

func (t *transfer) run(ctx context.Context) {
	t.responses[t.registry.Self.ID] = t.ownState()

	for range maxTransferRounds {
		pending := t.pendingReplicas()
		if t.tryComplete() || len(pending) == 0 || !t.fetchAll(ctx, pending) {
			return
		}
	}
}

// tryComplete marks the target epoch as complete if no entry of an earlier epoch can be missing.
func (t *transfer) tryComplete() bool {
	table := t.table
	table.lock.Lock()
	defer table.lock.Unlock()

	if table.current.Epoch != t.target.Epoch {
		return false
	}

	// After MaxRetention, all entries of earlier epochs have expired.
	expired := t.registry.Clock.Now()-table.incompleteSince >= t.registry.MaxRetention
	if !expired && !t.allCovered(table.placements()) {
		return false
	}

	table.markComplete(t.target.Epoch)

	return true
}

// ownState returns the intact incarnations and the complete epoch of this process in the form of a response.
func (t *transfer) ownState() response {
	t.table.lock.Lock()
	defer t.table.lock.Unlock()

	return response{IntactIncarnations: t.registry.intactIncarnations, CompleteEpoch: t.table.completeEpoch}
}

// pendingReplicas returns the replicas of the target and of earlier epochs that have not responded yet.
func (t *transfer) pendingReplicas() []lab.Instance {
	t.table.lock.Lock()
	defer t.table.lock.Unlock()

	var pending []lab.Instance

	// The latest placement comes first: if several placements list a replica, the latest one has its current address.
	for _, p := range slices.Backward(t.table.placements()) {
		for _, i := range p.Replicas {
			listed := slices.ContainsFunc(pending, func(u lab.Instance) bool { return u.ID == i.ID })
			if _, responded := t.responses[i.ID]; !responded && !listed && p.Epoch <= t.target.Epoch {
				pending = append(pending, i)
			}
		}
	}

	return pending
}

// fetchAll fetches the entries of all given replicas in parallel. It returns false when the transfer is complete or no
// replica responded, and true when another round may find further replicas.
func (t *transfer) fetchAll(ctx context.Context, replicas []lab.Instance) bool {
	type result struct {
		replica  lab.InstanceID
		response *response
	}

	results := make(chan result, len(replicas))

	for _, i := range replicas {
		go func() {
			r, err := t.fetchPages(ctx, i)
			if err != nil {
				r = nil
			}

			results <- result{i.ID, r}
		}()
	}

	responded := false

	for range replicas {
		r := <-results
		if r.response == nil {
			continue
		}

		t.responses[r.replica] = *r.response
		responded = true

		if t.tryComplete() {
			return false
		}
	}

	return responded
}

// fetchPages fetches all pages of one replica and merges their entries. It returns the state in the first response. The
// state in a later response could cover entries that the replica added between two pages and that are in no page.
func (t *transfer) fetchPages(ctx context.Context, replica lab.Instance) (*response, error) {
	c := &call{Operation: operationTransfer, Database: t.database, Placement: t.target}

	var first *response

	for {
		r, err := t.registry.callReplica(ctx, replica, c)
		if err != nil {
			return nil, errors.Newf("fetch registry entries: %w", err)
		}

		if r.ID != replica.ID {
			return nil, errWrongInstance
		}

		if first == nil {
			first = &response{IntactIncarnations: r.IntactIncarnations, CompleteEpoch: r.CompleteEpoch}
		}

		t.table.lock.Lock()
		now := t.registry.Clock.Now()
		t.table.merge(now, r.Entries)
		t.table.learnPlacements(now, r.Placements...)
		t.table.lock.Unlock()

		if !r.More || len(r.Entries) == 0 {
			return first, nil
		}

		c.Key = r.Entries[len(r.Entries)-1].Key
	}
}

// allCovered reports whether the transfer has fetched every entry of earlier epochs that any replica still has. The
// variable base is the latest complete epoch in the responses. The replica that is complete for base has sent all
// entries from before base, so pairsCovered must hold only for the epochs from base on. If no response has a complete
// epoch, all replicas of the target must have responded. Any of them may be complete, or know of earlier epochs that
// the placement doesn't list.
func (t *transfer) allCovered(placements []lab.RegistryPlacement) bool {
	var base uint64
	for _, r := range t.responses {
		base = max(base, r.CompleteEpoch)
	}

	if base == 0 && t.target.Epoch > 1 && !t.allResponded() {
		return false
	}

	for _, p := range placements {
		if p.Epoch >= base && p.Epoch < t.target.Epoch && !t.pairsCovered(p.Replicas) {
			return false
		}
	}

	return true
}

func (t *transfer) allResponded() bool {
	for _, i := range t.target.Replicas {
		if _, responded := t.responses[i.ID]; !responded {
			return false
		}
	}

	return true
}

// pairsCovered reports whether the transfer has fetched every entry that a quorum recorded under one epoch, except for
// entries that both replicas of a pair have lost. The parameter replicas lists the replicas of that epoch. Any two of
// them may have recorded an entry, so every pair must be covered. A pair is covered if both replicas have responded,
// even if neither is intact, since the pair has no further entries then. It is also covered if one has responded and is
// intact, which means that it still has all entries of the incarnation that the placement states.
func (t *transfer) pairsCovered(replicas []lab.Instance) bool {
	for i, a := range replicas {
		for _, b := range replicas[:i] {
			responseA, respondedA := t.responses[a.ID]
			responseB, respondedB := t.responses[b.ID]
			intact := respondedA && slices.Contains(responseA.IntactIncarnations, a.Incarnation) ||
				respondedB && slices.Contains(responseB.IntactIncarnations, b.Incarnation)

			if !intact && (!respondedA || !respondedB) {
				return false
			}
		}
	}

	return true
}
