package labregistry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// maxRounds bounds how often a transfer asks holders that it learned of from the answers before.
const maxRounds = 4

var errReused = errors.New("another instance answers at the holder's address")

// transfer gathers the names of earlier epochs for one placement.
type transfer struct {
	registry *Registry
	database string
	book     *book
	target   lab.RegistryPlacement
	heard    map[lab.InstanceID]answer // the first answer of each holder whose names are merged
}

// fill starts a transfer when the current epoch is not complete and lists this process. It returns a channel that is
// closed when the running transfer ends. The book's lock is held.
func (r *Registry) fill(ctx context.Context, database string, b *book) <-chan struct{} {
	if b.filling != nil {
		return b.filling
	}

	done := make(chan struct{})

	if b.complete == b.current.Epoch || !r.listed(b.current) || r.closed.Load() {
		close(done)
		return done
	}

	b.filling = done
	t := &transfer{r, database, b, b.current, map[lab.InstanceID]answer{}}

	go func() {
		t.run(context.WithoutCancel(ctx))

		b.lock.Lock()
		b.filling = nil
		b.lock.Unlock()
		close(done)
	}()

	return done
}

func (t *transfer) run(ctx context.Context) {
	t.heard[t.registry.Self.ID] = t.own()

	for range maxRounds {
		missing := t.missing()
		if t.finish() || len(missing) == 0 || !t.gather(ctx, missing) {
			return
		}
	}
}

// finish marks the target as complete when everything needed was gathered.
func (t *transfer) finish() bool {
	b := t.book
	b.lock.Lock()
	defer b.lock.Unlock()

	if b.current.Epoch != t.target.Epoch {
		return false
	}

	// After the longest retention, nothing of the earlier epochs is needed any more.
	late := t.registry.Clock.Now()-b.lacking >= t.registry.MaxRetention
	if !late && !t.covered(b.placements()) {
		return false
	}

	b.finish(t.target.Epoch)

	return true
}

// own is what this process itself contributes.
func (t *transfer) own() answer {
	t.book.lock.Lock()
	defer t.book.lock.Unlock()

	return answer{Intact: t.registry.intact, Complete: t.book.complete}
}

// missing returns the holders of the target and of earlier epochs that have not answered yet.
func (t *transfer) missing() []lab.Instance {
	t.book.lock.Lock()
	defer t.book.lock.Unlock()

	var missing []lab.Instance

	// The latest placement comes first, since it has the current address of a holder.
	for _, p := range slices.Backward(t.book.placements()) {
		for _, h := range p.Replicas {
			known := slices.ContainsFunc(missing, func(m lab.Instance) bool { return m.ID == h.ID })
			if _, heard := t.heard[h.ID]; !heard && !known && p.Epoch <= t.target.Epoch {
				missing = append(missing, h)
			}
		}
	}

	return missing
}

// gather asks holders in parallel until the transfer can finish or all of them have answered or failed. It reports
// whether any of them answered.
func (t *transfer) gather(ctx context.Context, holders []lab.Instance) bool {
	type reply struct {
		holder lab.InstanceID
		answer *answer
	}

	replies := make(chan reply, len(holders))

	for _, h := range holders {
		go func() {
			a, err := t.fetch(ctx, h)
			if err != nil {
				a = nil
			}

			replies <- reply{h.ID, a}
		}()
	}

	heard := false

	for range holders {
		a := <-replies
		if a.answer == nil {
			continue
		}

		t.heard[a.holder] = *a.answer
		heard = true

		if t.finish() {
			return false
		}
	}

	return heard
}

// fetch merges all pages of one holder. It returns the first answer, since names that the holder adds while it is asked
// may be missing from the pages.
func (t *transfer) fetch(ctx context.Context, holder lab.Instance) (*answer, error) {
	c := &call{Operation: operationTransfer, Database: t.database, Placement: t.target}

	var first *answer

	for {
		a, err := t.registry.send(ctx, holder, c)
		if err != nil {
			return nil, errors.Newf("fetch names: %w", err)
		}

		if a.ID != holder.ID {
			return nil, errReused
		}

		if first == nil {
			first = &answer{Intact: a.Intact, Complete: a.Complete}
		}

		t.book.lock.Lock()
		now := t.registry.Clock.Now()
		t.book.merge(now, a.Names)
		t.book.learn(now, a.Known...)
		t.book.lock.Unlock()

		if !a.More || len(a.Names) == 0 {
			return first, nil
		}

		c.Key = a.Names[len(a.Names)-1].Key
	}
}

// covered reports whether no name of an earlier epoch can be missing that still exists anywhere: the names before the
// latest complete epoch that was heard of came from the holder that is complete, and of each epoch since, every pair of
// holders is covered. When no holder that answered is complete, all holders of the target must answer, since any of them
// may be complete or know of earlier epochs that the placement does not tell.
func (t *transfer) covered(placements []lab.RegistryPlacement) bool {
	var base uint64
	for _, a := range t.heard {
		base = max(base, a.Complete)
	}

	if base == 0 && t.target.Epoch > 1 && !t.heardAll() {
		return false
	}

	for _, p := range placements {
		if p.Epoch >= base && p.Epoch < t.target.Epoch && !t.pairsCovered(p.Replicas) {
			return false
		}
	}

	return true
}

func (t *transfer) heardAll() bool {
	for _, h := range t.target.Replicas {
		if _, heard := t.heard[h.ID]; !heard {
			return false
		}
	}

	return true
}

// pairsCovered reports whether for each pair of holders one answered with its memory of the epoch intact, or both
// answered that they lost it.
func (t *transfer) pairsCovered(holders []lab.Instance) bool {
	for i, h := range holders {
		for _, j := range holders[:i] {
			a, heardH := t.heard[h.ID]
			b, heardJ := t.heard[j.ID]
			intact := heardH && slices.Contains(a.Intact, h.Incarnation) || heardJ && slices.Contains(b.Intact, j.Incarnation)

			if !intact && (!heardH || !heardJ) {
				return false
			}
		}
	}

	return true
}
