package labplatformcontrol

import (
	"time"

	"laburnumlock.dev/lab/control/process/labmembers"
)

// primaries returns the primary of each service that has a known one.
func (k *Controller) primaries() map[string]string {
	out := map[string]string{}

	for _, s := range k.services() {
		if e, ok := k.primary(s); ok {
			out[s] = e.Announcement.Member
		}
	}

	return out
}

// primary returns the primary of a service. This is the member of the newest confirmed promotion. Without a confirmed
// promotion, or if that member is unknown or terminated, the primary is chosen among the members that announce
// themselves as the primary: it is the one whose announced role changed last, because an isolated former primary never
// changes its announced role.
func (k *Controller) primary(service string) (labmembers.Entry, bool) {
	var (
		best  labmembers.Entry
		found bool
	)

	p, promoted := k.participation().state.Promotion(service)

	for _, e := range k.registry.Entries() {
		a := e.Announcement
		if a.Database != service || a.Terminated {
			continue
		}

		if promoted && p.Confirmed && a.Member == p.Member {
			return e, true
		}

		if a.Primary && (!found || e.RoleSince > best.RoleSince) {
			best, found = e, true
		}
	}

	return best, found
}

// silentFor returns the time since a member last announced itself.
func (k *Controller) silentFor(e labmembers.Entry) time.Duration {
	return k.Clock.Now() - e.LastHeard
}
