package lablease

import (
	"time"

	"laburnumlock.dev/lab"
)

// ActiveGrant is a grant that its holder may still be using.
type ActiveGrant struct {
	Holder      lab.InstanceID `json:"holder"`      // proxy that received the grant
	Incarnation uint64         `json:"incarnation"` // incarnation of the holder
	Grant       lab.Grant      `json:"grant"`
	Expiry      time.Duration  `json:"until_ns"` // expiry on the leader's clock, with ClockDriftMargin included
	address     string         // address of the holder
}

// released reports whether a heartbeat proves that the holder no longer uses the grant. The heartbeat must be newer
// than all heartbeats of the holder processed before.
func (r *ActiveGrant) released(h *lab.Heartbeat) bool {
	if h.Instance.ID != r.Holder {
		return false
	}
	if h.Instance.Incarnation > r.Incarnation {
		// A new incarnation at the same address proves that the earlier process has stopped. At another address, the
		// earlier process may still be running.
		return h.Instance.Address == r.address
	}

	return h.Instance.Incarnation == r.Incarnation && !holds(h, r.Grant)
}

func holds(h *lab.Heartbeat, g lab.Grant) bool {
	for _, x := range h.Grants {
		if x == g {
			return true
		}
	}

	return false
}

// conflicts reports whether the active grant must end before the instance may get grant g.
func (r *ActiveGrant) conflicts(i *lab.Instance, g lab.Grant) bool {
	if r.Holder == i.ID && r.Incarnation == i.Incarnation {
		// Grants of the same incarnation conflict only if both allow writes and they differ, for example in the primary
		// term.
		return g.Writable && r.Grant.Writable && r.Grant != g
	}

	return r.Grant.Role == g.Role || (r.Grant.Writable && g.Writable)
}
