package labplatformcontrol

import "expvar"

// Counters counts the events of a controller.
type Counters struct {
	Watches       expvar.Int // watches received as the leader
	Announcements expvar.Int // announcements received as the leader
	Documents     expvar.Int // documents that became the newest one
	Promotions    expvar.Int // confirmed primary replacements
	Failures      expvar.Int // failed primary replacements
	Memberships   expvar.Int // attempted changes of the control group's membership
}

// Publish adds the counters to a metrics map.
func (c *Counters) Publish(m *expvar.Map) {
	m.Set("watches", &c.Watches)
	m.Set("announcements", &c.Announcements)
	m.Set("documents", &c.Documents)
	m.Set("promotions", &c.Promotions)
	m.Set("promotions_failed", &c.Failures)
	m.Set("membership_changes", &c.Memberships)
}

// Publish adds the counters of the controller to a metrics map. It is called after Prepare.
func (k *Controller) Publish(m *expvar.Map) {
	k.Counters.Publish(m)
	k.quota.recorder.Publish(m)
}
