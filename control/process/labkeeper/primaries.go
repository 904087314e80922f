package labkeeper

import (
	"time"

	"laburnumlock.dev/lab/control/process/labroster"
)

// primaries returns the primary of each service that has one.
func (k *Controller) primaries() map[string]string {
	out := map[string]string{}

	for _, s := range k.services() {
		if e, ok := k.primary(s); ok {
			out[s] = e.Announcement.Member
		}
	}

	return out
}

// primary returns the member that leads a service: the one of the newest confirmed promotion while it still says so,
// or the last one that began to say so. A former primary that cannot be heard says so forever.
func (k *Controller) primary(service string) (labroster.Entry, bool) {
	var (
		best  labroster.Entry
		found bool
	)

	p, promoted := k.membership().record.Promotion(service)

	for _, e := range k.registry.Entries() {
		a := e.Announcement
		if a.Database != service || a.Terminated {
			continue
		}

		if promoted && p.Done && a.Member == p.Member {
			return e, true
		}

		if a.Primary && (!found || e.RoleSince > best.RoleSince) {
			best, found = e, true
		}
	}

	return best, found
}

// silentFor returns how long a member has not announced itself.
func (k *Controller) silentFor(e labroster.Entry) time.Duration {
	return k.Clock.Now() - e.LastHeard
}
