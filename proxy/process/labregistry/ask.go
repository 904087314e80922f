package labregistry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// votes collects what the holders answered to one call.
type votes struct {
	recorded int
	zones    map[string]bool
	needed   int // zones that must be among those that recorded
	known    []lab.IdempotencyRecord
	full     bool
	ended    *sync.WaitGroup // waits for the calls that were not awaited
}

// ask calls all holders and returns once a quorum has recorded the call or all have answered.
func (r *Registry) ask(ctx context.Context, c *call) votes {
	type reply struct {
		holder lab.Instance
		answer answer
		err    error
	}

	replies := make(chan reply, len(c.Placement.Replicas))

	v := votes{zones: map[string]bool{}, needed: zonesNeeded(c.Placement.Replicas), ended: &sync.WaitGroup{}}

	for _, h := range c.Placement.Replicas {
		v.ended.Go(func() {
			// A holder that answers after the quorum still records the name.
			a, err := r.send(context.WithoutCancel(ctx), h, c)
			replies <- reply{h, a, err}
		})
	}

	for range c.Placement.Replicas {
		select {
		case a := <-replies:
			if a.err == nil {
				v.count(a.holder, a.answer)
			}
		case <-ctx.Done():
			return v
		}

		if v.enough() {
			return v
		}
	}

	return v
}

// zonesNeeded is two unless all holders are in one zone.
func zonesNeeded(holders []lab.Instance) int {
	for _, h := range holders {
		if h.AvailabilityZone != holders[0].AvailabilityZone {
			return quorum
		}
	}

	return 1
}

func (v *votes) count(holder lab.Instance, a answer) {
	switch a.Verdict {
	case verdictDone:
		v.recorded++
		v.zones[holder.AvailabilityZone] = true
	case verdictKnown:
		v.known = append(v.known, a.Record)
	case verdictFull:
		v.full = true
	}
}

func (v *votes) enough() bool {
	return v.recorded >= quorum && len(v.zones) >= v.needed
}

// result turns the votes on a reservation into what the caller may do.
func (v *votes) result() (lab.IdempotencyRecord, error) {
	for _, k := range v.known {
		if k.State == lab.IdempotencyDone {
			return k, nil
		}
	}

	switch {
	case v.enough():
		return lab.IdempotencyRecord{State: lab.IdempotencyNew}, nil
	case len(v.known) > 0:
		return v.known[0], nil
	case v.full:
		return lab.IdempotencyRecord{}, errFull
	}

	return lab.IdempotencyRecord{}, errNoHolders
}

// send calls one holder, itself locally.
func (r *Registry) send(ctx context.Context, holder lab.Instance, c *call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()

	if holder.ID == r.Self.ID {
		return r.serve(ctx, c), nil
	}

	var a answer
	if err := r.Peers.Call(ctx, holder.Address, lab.MethodRegistry, c, &a); err != nil {
		return answer{}, errors.Newf("call registry holder: %w", err)
	}

	return a, nil
}
