package labplatformcontrol

import (
	"maps"
	"slices"
	"strings"

	"laburnumlock.dev/lab"
)

// recordAcknowledged records the acknowledged positions in a watch, as bounds for promotions by this instance and for
// those by other leaders.
func (k *Controller) recordAcknowledged(positions []lab.AcknowledgedPosition) {
	if len(positions) == 0 {
		return
	}

	for _, p := range positions {
		k.memberLogs.RecordAcknowledged(p.Service, p.Position)
	}

	k.relay.recordAcknowledged(positions, k.participation().state.Document().Version, k.configuredServices())
}

// recordAcknowledged adds positions to those that the leader has to learn. With each version of the document, it forgets
// services that are not configured. Positions of an unknown service are kept until then, since the sender may have a newer
// document.
func (y *relay) recordAcknowledged(positions []lab.AcknowledgedPosition, version uint64, configured map[string]bool) {
	y.mutex.Lock()
	defer y.mutex.Unlock()

	if version != y.acknowledgedVersion && configured != nil {
		maps.DeleteFunc(y.acknowledged, func(s string, _ lab.CommitPosition) bool { return !configured[s] })

		y.acknowledgedVersion = version
	}

	for _, p := range positions {
		if y.acknowledged[p.Service].Before(p.Position) {
			y.acknowledged[p.Service] = p.Position
		}
	}
}

// acknowledgedLocked returns the newest acknowledged positions, sorted by service. The mutex must be held.
func (y *relay) acknowledgedLocked() []lab.AcknowledgedPosition {
	out := make([]lab.AcknowledgedPosition, 0, len(y.acknowledged))

	for s, p := range y.acknowledged {
		out = append(out, lab.AcknowledgedPosition{Service: s, Position: p})
	}

	slices.SortFunc(out, func(a, b lab.AcknowledgedPosition) int { return strings.Compare(a.Service, b.Service) })

	return out
}
