package labfloor

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// choose returns the candidate with the highest hash and the next one in another zone, or any next one when all
// candidates are in one zone. It returns nil when there are fewer than two.
func choose(candidates []lab.Instance, session string) []lab.Instance {
	if len(candidates) < copies {
		return nil
	}

	first := best(candidates, session, func(lab.Instance) bool { return true })
	second := best(candidates, session, func(i lab.Instance) bool { return i.AvailabilityZone != first.AvailabilityZone })

	if second == nil {
		second = best(candidates, session, func(i lab.Instance) bool { return i.ID != first.ID })
	}

	if second == nil {
		return nil
	}

	return []lab.Instance{*first, *second}
}

func best(candidates []lab.Instance, session string, eligible func(lab.Instance) bool) *lab.Instance {
	var (
		found *lab.Instance
		most  uint64
	)

	for i, c := range candidates {
		if !eligible(c) {
			continue
		}

		rank := xxhash.Sum64String(session + "\x00" + string(c.ID))
		if found == nil || rank > most || rank == most && c.ID > found.ID {
			found, most = &candidates[i], rank
		}
	}

	return found
}

// same reports whether two choices name the same processes.
func same(a, b []lab.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y lab.Instance) bool { return x.ID == y.ID && x.Address == y.Address })
}
