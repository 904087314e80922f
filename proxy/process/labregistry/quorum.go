package labregistry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// tally counts the replicas' responses to one call.
type tally struct {
	executed      int                     // number of replicas that executed the call
	zones         map[string]bool         // availability zones of the replicas that executed the call
	requiredZones int                     // number of availability zones that a quorum must span
	duplicates    []lab.IdempotencyRecord // records of the replicas that already had an entry for the key
	full          bool                    // a replica has no room for new entries
	pending       *sync.WaitGroup         // calls that may still run after callReplicas returns
}

// callReplicas calls all replicas. It returns when a quorum has executed the call, when all calls have ended, or when
// the context ends.
func (r *Registry) callReplicas(ctx context.Context, c *call) tally {
	type result struct {
		replica  lab.Instance
		response response
		err      error
	}

	results := make(chan result, len(c.Placement.Replicas))

	t := tally{zones: map[string]bool{}, requiredZones: requiredZones(c.Placement.Replicas), pending: &sync.WaitGroup{}}

	for _, i := range c.Placement.Replicas {
		t.pending.Go(func() {
			// The call is not cancelled when the quorum is reached, so that the remaining replica records the key too.
			resp, err := r.callReplica(context.WithoutCancel(ctx), i, c)
			results <- result{i, resp, err}
		})
	}

	for range c.Placement.Replicas {
		select {
		case res := <-results:
			if res.err == nil {
				t.add(res.replica, res.response)
			}
		case <-ctx.Done():
			return t
		}

		if t.reached() {
			return t
		}
	}

	return t
}

// requiredZones returns the number of availability zones that a quorum must span: two, or one when all replicas are in
// the same zone.
func requiredZones(replicas []lab.Instance) int {
	for _, i := range replicas {
		if i.AvailabilityZone != replicas[0].AvailabilityZone {
			return quorum
		}
	}

	return 1
}

func (t *tally) add(replica lab.Instance, r response) {
	switch r.Status {
	case statusOK:
		t.executed++
		t.zones[replica.AvailabilityZone] = true
	case statusDuplicate:
		t.duplicates = append(t.duplicates, r.Record)
	case statusFull:
		t.full = true
	}
}

func (t *tally) reached() bool {
	return t.executed >= quorum && len(t.zones) >= t.requiredZones
}

// result returns the state of a key after an attempt to reserve it. IdempotencyNew means that the reservation
// succeeded.
func (t *tally) result() (lab.IdempotencyRecord, error) {
	for _, d := range t.duplicates {
		if d.State == lab.IdempotencyDone {
			return d, nil
		}
	}

	switch {
	case t.reached():
		return lab.IdempotencyRecord{State: lab.IdempotencyNew}, nil
	case len(t.duplicates) > 0:
		return t.duplicates[0], nil
	case t.full:
		return lab.IdempotencyRecord{}, errRegistryFull
	}

	return lab.IdempotencyRecord{}, errNoQuorum
}

// callReplica sends a call to one replica. A call to this process itself is executed directly.
func (r *Registry) callReplica(ctx context.Context, replica lab.Instance, c *call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()

	if replica.ID == r.Self.ID {
		return r.execute(ctx, c), nil
	}

	var resp response
	if err := r.Peers.Call(ctx, replica.Address, lab.MethodRegistry, c, &resp); err != nil {
		return response{}, errors.Newf("call registry replica: %w", err)
	}

	return resp, nil
}
