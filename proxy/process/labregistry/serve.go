package labregistry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// pageNames is the number of names in one answer of a transfer, about 500 kB.
const pageNames = 5000

// Handle answers a call of another process; it is the lab.CallHandler of lab.MethodRegistry.
func (r *Registry) Handle(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var c call
	if err := decode(&c); err != nil {
		return nil, errors.Newf("decode registry call: %w", err)
	}

	// Answering well before the caller gives up keeps a name from being recorded after it was withdrawn.
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout/2)
	defer cancel()

	a := r.serve(ctx, &c)

	return &a, nil
}

// serve executes a call at this holder.
func (r *Registry) serve(ctx context.Context, c *call) answer {
	b := r.book(c.Database)
	p, _ := r.placement(c.Database)

	b.lock.Lock()
	defer b.lock.Unlock()

	now := r.Clock.Now()
	b.expire(now)
	b.learn(now, c.Known...)
	b.learn(now, c.Placement, p)

	if r.closed.Load() {
		return answer{Verdict: verdictClosed}
	}

	switch c.Operation {
	case operationReserve:
		if v := r.ready(ctx, b, c); v != verdictDone {
			return answer{Verdict: v}
		}

		return b.reserve(r.Clock.Now(), c, r.Limit)
	case operationWithdraw:
		b.withdraw(c)
		return answer{}
	case operationResolve:
		b.resolve(now, c)
		return answer{}
	}

	// The first page comes after learning the new placement, so no name of an earlier epoch can be added behind it.
	a := answer{ID: r.Self.ID, Intact: r.intact, Complete: b.complete, Known: b.placements()}
	a.Names, a.More = b.page(now, c.Key, pageNames)
	r.fill(ctx, c.Database, b)

	return a
}

// ready reports whether this holder may record names under the call's epoch. It waits for a transfer that runs.
func (r *Registry) ready(ctx context.Context, b *book, c *call) verdict {
	for {
		switch {
		case c.Placement.Epoch < b.current.Epoch:
			return verdictStale
		case b.complete == b.current.Epoch:
			return verdictDone
		}

		wait := r.fill(ctx, c.Database, b)
		b.lock.Unlock()

		select {
		case <-wait:
		case <-ctx.Done():
		}

		b.lock.Lock()

		if ctx.Err() != nil || b.complete != b.current.Epoch {
			return verdictIncomplete
		}
	}
}

// listed reports whether a placement names this process in a life since which its memory is intact.
func (r *Registry) listed(p lab.RegistryPlacement) bool {
	return slices.ContainsFunc(p.Replicas, func(h lab.Instance) bool {
		return h.ID == r.Self.ID && slices.Contains(r.intact, h.Incarnation)
	})
}
