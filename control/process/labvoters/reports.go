package labvoters

import (
	"maps"
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// Reports remembers which instances were heard of lately. An address has one instance at a time: the newest one to
// report has taken the place of the others.
type Reports struct {
	MaxAge time.Duration // how long a report counts

	reportedAt map[lab.InstanceID]time.Duration
}

// Record records that an instance reported itself.
func (r *Reports) Record(id lab.InstanceID, now time.Duration) {
	if r.reportedAt == nil {
		r.reportedAt = map[lab.InstanceID]time.Duration{}
	}

	maps.DeleteFunc(r.reportedAt, func(o lab.InstanceID, _ time.Duration) bool { return Address(o) == Address(id) })

	r.reportedAt[id] = now
}

// Live returns the instances whose reports count, in ascending order.
func (r *Reports) Live(now time.Duration) []lab.InstanceID {
	maps.DeleteFunc(r.reportedAt, func(_ lab.InstanceID, t time.Duration) bool { return now-t > r.MaxAge })

	return slices.Sorted(maps.Keys(r.reportedAt))
}
