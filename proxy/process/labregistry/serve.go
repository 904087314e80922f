package labregistry

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// entriesPerPage is the number of entries in one response of a transfer, about 500 kB.
const entriesPerPage = 5000

// lateCallTimeouts is the number of call timeouts after which a reservation can no longer arrive at a replica: its sender
// waits for one, and the replica may hold the call for half of another.
const lateCallTimeouts = 2

// Handle executes a call of another process. It is the lab.CallHandler of lab.MethodRegistry.
func (r *Registry) Handle(ctx context.Context, _ lab.InstanceID, decode func(any) error) (any, error) {
	var c call
	if err := decode(&c); err != nil {
		return nil, errors.Newf("decode registry call: %w", err)
	}

	// The calling process gives up after CallTimeout and withdraws its reservation. The call waits here for at most
	// half of CallTimeout, so that the key is not recorded after the withdrawal.
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout/2)
	defer cancel()

	resp := r.execute(ctx, &c)

	return &resp, nil
}

// execute runs a call at this replica.
func (r *Registry) execute(ctx context.Context, c *call) response {
	t := r.table(c.Database)
	p, _ := r.placement(c.Database)

	t.lock.Lock()
	defer t.lock.Unlock()

	now := r.Clock.Now()
	t.expire(now)
	t.learnPlacements(now, c.KnownPlacements...)
	t.learnPlacements(now, c.Placement, p)

	if r.closed.Load() {
		return response{Status: statusClosed}
	}

	switch c.Operation {
	case operationReserve:
		if s := r.awaitComplete(ctx, t, c); s != statusOK {
			return response{Status: s}
		}

		return t.reserve(r.Clock.Now(), c, r.MaxEntries)
	case operationWithdraw:
		t.withdraw(now, c, lateCallTimeouts*r.CallTimeout)
		return response{}
	case operationResolve:
		t.resolve(now, c)
		return response{}
	}

	// This replica learned the new placement above, before it reads the first page. It has rejected reservations under
	// earlier epochs since then, so the pages miss no entry of these epochs.
	resp := response{
		ID: r.Self.ID, IntactIncarnations: r.intactIncarnations, CompleteEpoch: t.completeEpoch,
		Placements: t.placements(),
	}
	resp.Entries, resp.More = t.page(now, c.Key, entriesPerPage)
	r.startTransfer(ctx, c.Database, t)

	return resp
}

// awaitComplete returns statusOK when this replica may record keys under the call's epoch. If entries of earlier epochs
// are missing, it starts a transfer, unless one is running, and waits for its end. The caller holds the table's lock,
// which is released during the wait.
func (r *Registry) awaitComplete(ctx context.Context, t *entryTable, c *call) status {
	for {
		switch {
		case c.Placement.Epoch < t.current.Epoch:
			return statusStaleEpoch
		case t.completeEpoch == t.current.Epoch:
			return statusOK
		}

		transferred := r.startTransfer(ctx, c.Database, t)
		t.lock.Unlock()

		select {
		case <-transferred:
		case <-ctx.Done():
		}

		t.lock.Lock()

		if ctx.Err() != nil || t.completeEpoch != t.current.Epoch {
			return statusIncomplete
		}
	}
}

// isIntactReplica reports whether a placement lists this process with an incarnation of which all entries are still
// stored.
func (r *Registry) isIntactReplica(p lab.RegistryPlacement) bool {
	return slices.ContainsFunc(p.Replicas, func(i lab.Instance) bool {
		return i.ID == r.Self.ID && slices.Contains(r.intactIncarnations, i.Incarnation)
	})
}
