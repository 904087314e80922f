package labagent

import (
	"time"

	"laburnumlock.dev/lab"
)

// lease is what the last accepted answer allows, until the deadline on this instance's monotonic clock.
type lease struct {
	deadline time.Duration
	grants   map[lab.GatewayRole]lab.Grant
}

func newLease(sent time.Duration, answer lab.HeartbeatResponse) *lease {
	l := &lease{deadline: sent + answer.TTL, grants: make(map[lab.GatewayRole]lab.Grant, len(answer.Grants))}
	for _, g := range answer.Grants {
		l.grants[g.Role] = g
	}

	return l
}

func (l *lease) alive(now time.Duration) bool {
	return l != nil && now < l.deadline
}
