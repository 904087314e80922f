package lablease

import (
	"time"

	"laburnumlock.dev/lab"
)

// ActiveGrant is a grant that its holder may still be using.
type ActiveGrant struct {
	Holder      lab.InstanceID `json:"holder"`
	Incarnation uint64         `json:"incarnation"`
	Grant       lab.Grant      `json:"grant"`
	Expiry      time.Duration  `json:"until_ns"` // leader's clock; includes the drift margin
	address     string
}

// released reports whether a heartbeat of the holder, newer than any answered before, proves that the right isn't used.
func (r *ActiveGrant) released(h *lab.Heartbeat) bool {
	if h.Instance.ID != r.Holder {
		return false
	}
	if h.Instance.Incarnation > r.Incarnation {
		return h.Instance.Address == r.address // the earlier process must have freed the address
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

// conflicts reports whether the right must end before the instance may get the grant.
func (r *ActiveGrant) conflicts(i *lab.Instance, g lab.Grant) bool {
	if r.Holder == i.ID && r.Incarnation == i.Incarnation {
		// Rights of one process exclude each other only when a write term changes.
		return g.Writable && r.Grant.Writable && r.Grant != g
	}

	return r.Grant.Role == g.Role || (r.Grant.Writable && g.Writable)
}
