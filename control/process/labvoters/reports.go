package labvoters

import (
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// Reports holds the latest report of each instance that has reported recently. Only one instance per address is held: a
// report replaces the reports of other instances with the same address.
type Reports struct {
	MaxAge time.Duration // age after which a report is dropped

	// reportedAt holds the time of the last report of each instance.
	reportedAt map[lab.InstanceID]time.Duration
}

// Record stores a report of an instance and drops those of other instances with the same address.
func (r *Reports) Record(id lab.InstanceID, now time.Duration) {
	if r.reportedAt == nil {
		r.reportedAt = map[lab.InstanceID]time.Duration{}
	}

	maps.DeleteFunc(r.reportedAt, func(o lab.InstanceID, _ time.Duration) bool { return Address(o) == Address(id) })

	r.reportedAt[id] = now
}

// Live returns the instances that have reported within MaxAge, in ascending order.
func (r *Reports) Live(now time.Duration) []lab.InstanceID {
	maps.DeleteFunc(r.reportedAt, func(_ lab.InstanceID, t time.Duration) bool { return now-t > r.MaxAge })

	return slices.Sorted(maps.Keys(r.reportedAt))
}
