package labregistry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxTransferRounds bounds how often a transfer asks holders that it learned of from the answers before.
const maxTransferRounds = 4

var errWrongInstance = errors.New("another instance answers at the holder's address")

// transfer gathers the names of earlier epochs for one placement.
type transfer struct {
	registry  *Registry
	database  string
	table     *entryTable
	target    lab.RegistryPlacement
	responses map[lab.InstanceID]response // the first answer of each holder whose names are merged
}

// startTransfer starts a transfer when the current epoch is not complete and lists this process. It returns a channel that is
// closed when the running transfer ends. The book's lock is held.
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
		unanswered := t.unansweredReplicas()
		if t.tryComplete() || len(unanswered) == 0 || !t.fetchAll(ctx, unanswered) {
			return
		}
	}
}

// tryComplete marks the target as complete when everything needed was gathered.
func (t *transfer) tryComplete() bool {
	table := t.table
	table.lock.Lock()
	defer table.lock.Unlock()

	if table.current.Epoch != t.target.Epoch {
		return false
	}

	// After the longest retention, nothing of the earlier epochs is needed any more.
	expired := t.registry.Clock.Now()-table.incompleteSince >= t.registry.MaxRetention
	if !expired && !t.allCovered(table.placements()) {
		return false
	}

	table.markComplete(t.target.Epoch)

	return true
}

// ownState is what this process itself contributes.
func (t *transfer) ownState() response {
	t.table.lock.Lock()
	defer t.table.lock.Unlock()

	return response{IntactIncarnations: t.registry.intactIncarnations, CompleteEpoch: t.table.completeEpoch}
}

// unansweredReplicas returns the holders of the target and of earlier epochs that have not answered yet.
func (t *transfer) unansweredReplicas() []lab.Instance {
	t.table.lock.Lock()
	defer t.table.lock.Unlock()

	var unanswered []lab.Instance

	// The latest placement comes first, since it has the current address of a holder.
	for _, p := range slices.Backward(t.table.placements()) {
		for _, i := range p.Replicas {
			listed := slices.ContainsFunc(unanswered, func(u lab.Instance) bool { return u.ID == i.ID })
			if _, responded := t.responses[i.ID]; !responded && !listed && p.Epoch <= t.target.Epoch {
				unanswered = append(unanswered, i)
			}
		}
	}

	return unanswered
}

// fetchAll asks holders in parallel until the transfer can finish or all of them have answered or failed. It reports
// whether any of them answered.
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

// fetchPages merges all pages of one holder. It returns the first answer, since names that the holder adds while it is asked
// may be missing from the pages.
func (t *transfer) fetchPages(ctx context.Context, replica lab.Instance) (*response, error) {
	c := &call{Operation: operationTransfer, Database: t.database, Placement: t.target}

	var first *response

	for {
		r, err := t.registry.callReplica(ctx, replica, c)
		if err != nil {
			return nil, errors.Newf("fetch names: %w", err)
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

// allCovered reports whether no name of an earlier epoch can be missing that still exists anywhere: the names before the
// latest complete epoch that was heard of came from the holder that is complete, and of each epoch since, every pair of
// holders is covered. When no holder that answered is complete, all holders of the target must answer, since any of them
// may be complete or know of earlier epochs that the placement does not tell.
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

// pairsCovered reports whether for each pair of holders one answered with its memory of the epoch intact, or both
// answered that they lost it.
func (t *transfer) pairsCovered(replicas []lab.Instance) bool {
	for i, first := range replicas {
		for _, second := range replicas[:i] {
			firstResponse, firstResponded := t.responses[first.ID]
			secondResponse, secondResponded := t.responses[second.ID]
			intact := firstResponded && slices.Contains(firstResponse.IntactIncarnations, first.Incarnation) || secondResponded && slices.Contains(secondResponse.IntactIncarnations, second.Incarnation)

			if !intact && (!firstResponded || !secondResponded) {
				return false
			}
		}
	}

	return true
}
