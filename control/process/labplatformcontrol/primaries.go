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
	p, _ := k.participation().state.Promotion(service)

	return choosePrimary(k.registry.Service(service), p)
}

// choosePrimary returns the primary among the members of a service, given the newest promotion, which is empty if there is none.
func choosePrimary(members []labmembers.Entry, p labgroupstate.Promotion) (best labmembers.Entry, found bool) {
	for _, e := range members {
		a := e.Announcement

		switch {
		case a.Terminated:
		case p.Confirmed:
			if a.Member == p.Member {
				return e, true
			}
		case a.Primary && (!found || e.RoleSince > best.RoleSince):
			best, found = e, true
		}
	}

	return best, found
}

// formerPrimary returns the present or last primary, as the replicated state names it, and the address at which it led.
// While an order is unconfirmed, it is the primary before the order. The name is empty if it is unknown.
func (k *Controller) formerPrimary(service string) (lab.Announcement, string) {
	l := k.participation().state.Primary(service)

	for _, e := range k.registry.Service(service) {
		a := e.Announcement

		// A member that has announced itself as the first primary may not be recorded yet.
		if !a.Terminated && ((l.Member != "" && a.Member == l.Member) || (l.Member == "" && a.Primary)) {
			return a, a.Address
		}
	}

	for _, h := range k.participation().state.Holders()[service] {
		if h.Member == l.Member && h.Address == l.Address {
			return lab.Announcement{Database: service, Member: h.Member, Address: h.Address, Region: h.Region}, h.Address
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
