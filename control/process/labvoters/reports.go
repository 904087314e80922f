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
	Age time.Duration // how long a report counts

	heard map[lab.InstanceID]time.Duration
}

// Note records that an instance reported itself.
func (r *Reports) Note(id lab.InstanceID, now time.Duration) {
	if r.heard == nil {
		r.heard = map[lab.InstanceID]time.Duration{}
	}

	maps.DeleteFunc(r.heard, func(o lab.InstanceID, _ time.Duration) bool { return Address(o) == Address(id) })

	r.heard[id] = now
}

// Live returns the instances whose reports count, in ascending order.
func (r *Reports) Live(now time.Duration) []lab.InstanceID {
	maps.DeleteFunc(r.heard, func(_ lab.InstanceID, t time.Duration) bool { return now-t > r.Age })

	return slices.Sorted(maps.Keys(r.heard))
}
