package labregistry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// tally collects what the holders answered to one call.
type tally struct {
	recorded      int
	zones         map[string]bool
	requiredZones int // zones that must be among those that recorded
	duplicates    []lab.IdempotencyRecord
	full          bool
	pending       *sync.WaitGroup // waits for the calls that were not awaited
}

// callReplicas calls all holders and returns once a quorum has recorded the call or all have answered.
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
			// A holder that answers after the quorum still records the name.
			a, err := r.callReplica(context.WithoutCancel(ctx), i, c)
			results <- result{i, a, err}
		})
	}

	for range c.Placement.Replicas {
		select {
		case r := <-results:
			if r.err == nil {
				t.add(r.replica, r.response)
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

// requiredZones is two unless all holders are in one zone.
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
		t.recorded++
		t.zones[replica.AvailabilityZone] = true
	case statusDuplicate:
		t.duplicates = append(t.duplicates, r.Record)
	case statusFull:
		t.full = true
	}
}

func (t *tally) reached() bool {
	return t.recorded >= quorum && len(t.zones) >= t.requiredZones
}

// result turns the votes on a reservation into what the caller may do.
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

// callReplica calls one holder, itself locally.
func (r *Registry) callReplica(ctx context.Context, replica lab.Instance, c *call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()

	if replica.ID == r.Self.ID {
		return r.execute(ctx, c), nil
	}

	var resp response
	if err := r.Peers.Call(ctx, replica.Address, lab.MethodRegistry, c, &resp); err != nil {
		return response{}, errors.Newf("call registry holder: %w", err)
	}

	return resp, nil
}
