package labplatformcontrol

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labmembers"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

// primary returns the primary of a service. This is the member of the newest promotion, if the promotion is confirmed.
// Otherwise it is the member that announces itself as the primary and whose announced role changed last. A former primary
// that control can't hear from may still be known as one, so it counts only while no promotion is confirmed.
func (k *Controller) primary(service string) (labmembers.Entry, bool) {
	if p := k.viewService(nil, service).primary; p != nil {
		return *p, true
	}

	return labmembers.Entry{}, false
}

// choosePrimary returns the primary among the members of a service, given the newest promotion, which is empty if there is
// none. It returns nil if no primary is known.
func choosePrimary(members []labmembers.Entry, p labgroupstate.Promotion) *labmembers.Entry {
	var best *labmembers.Entry

	for i := range members {
		e := &members[i]

		switch {
		case e.Announcement.Terminated:
		case p.Confirmed:
			if e.Announcement.Member == p.Member {
				return e
			}
		case e.Announcement.Primary && (best == nil || e.RoleSince > best.RoleSince):
			best = e
		}
	}

	return best
}

// serviceView is what is known of a service at one time.
type serviceView struct {
	name    string
	members []labmembers.Entry // including terminated ones
	state   labgroupstate.Service
	primary *labmembers.Entry // element of members; nil if none is known
}

// viewService returns what is known of a service. Its members are appended to the given slice.
func (k *Controller) viewService(members []labmembers.Entry, name string) serviceView {
	v := serviceView{name: name, members: k.registry.AppendService(members, name), state: k.participation().state.Service(name)}
	v.primary = choosePrimary(v.members, v.state.Promotion)

	return v
}

// formerPrimary returns the present or last primary, as the replicated state names it, and the address at which it led.
// While an order is unconfirmed, it is the primary before the order. The name is empty if it is unknown.
func formerPrimary(v serviceView) (lab.Announcement, string) {
	l := &v.state.Primary

	for i := range v.members {
		a := &v.members[i].Announcement

		// A member that has announced itself as the first primary may not be recorded yet.
		if !a.Terminated && ((l.Member != "" && a.Member == l.Member) || (l.Member == "" && a.Primary)) {
			return *a, a.Address
		}
	}

	for _, h := range v.state.Holders {
		if h.Member == l.Member && h.Address == l.Address {
			return lab.Announcement{Database: v.name, Member: h.Member, Address: h.Address, Region: h.Region}, h.Address
		}
	}

	return lab.Announcement{}, l.Address
}

// silentFor returns the time since a member last announced itself.
func (k *Controller) silentFor(e labmembers.Entry) time.Duration {
	return k.Clock.Now() - e.LastHeard
}

// recordPositions records positions of the primaries. Their times are on this process's clock.
func (k *Controller) recordPositions(reports []lab.PositionReport, now time.Duration) {
	k.positions.Record(reports, now)

	for _, r := range reports {
		k.memberLogs.RecordPrimary(r.Service, r.Position, r.RequestedAt)
	}
}
