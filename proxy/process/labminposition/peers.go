package labminposition

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"laburnumlock.dev/lab"
)

// selectPeers returns the two peers of a session, which store its minimum position. The first peer is the candidate
// with the highest hash. The second peer is the candidate with the highest hash in another availability zone, or the
// one with the second highest hash if all candidates are in one zone. It returns nil when there are fewer than two
// candidates.
func selectPeers(candidates []lab.Instance, session string) []lab.Instance {
	if len(candidates) < peersPerSession {
		return nil
	}

	first := highestRanked(candidates, session, func(lab.Instance) bool { return true })
	second := highestRanked(candidates, session, func(i lab.Instance) bool {
		return i.AvailabilityZone != first.AvailabilityZone
	})

	if second == nil {
		second = highestRanked(candidates, session, func(i lab.Instance) bool { return i.ID != first.ID })
	}

	if second == nil {
		return nil
	}

	return []lab.Instance{*first, *second}
}

func highestRanked(candidates []lab.Instance, session string, eligible func(lab.Instance) bool) *lab.Instance {
	var (
		highest     *lab.Instance
		highestRank uint64
	)

	for i, c := range candidates {
		if !eligible(c) {
			continue
		}

		rank := xxhash.Sum64String(session + "\x00" + string(c.ID))
		if highest == nil || rank > highestRank || rank == highestRank && c.ID > highest.ID {
			highest, highestRank = &candidates[i], rank
		}
	}

	return highest
}

// samePeers reports whether two selections have the same instances at the same addresses.
func samePeers(a, b []lab.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y lab.Instance) bool { return x.ID == y.ID && x.Address == y.Address })
}
