package labkeeper

import "expvar"

// Counters count the decisions of a keeper.
type Counters struct {
	Watches       expvar.Int // answered
	Announcements expvar.Int // accepted
	Documents     expvar.Int // that took effect
	Promotions    expvar.Int // confirmed
	Failures      expvar.Int // replacements of a primary that were given up
	Memberships   expvar.Int // changes of the control group
}

// Publish adds the counters to a map.
func (c *Counters) Publish(m *expvar.Map) {
	m.Set("watches", &c.Watches)
	m.Set("announcements", &c.Announcements)
	m.Set("documents", &c.Documents)
	m.Set("promotions", &c.Promotions)
	m.Set("promotions_failed", &c.Failures)
	m.Set("membership_changes", &c.Memberships)
}
