package labagent

import (
	"time"

	"laburnumlock.dev/lab"
)

// lease holds the grants of the last accepted response. They are valid until the deadline, a time of the proxy's
// monotonic clock.
type lease struct {
	expiry time.Duration
	grants map[lab.GatewayRole]lab.Grant
}

func newLease(sentAt time.Duration, response lab.HeartbeatResponse) *lease {
	l := &lease{expiry: sentAt + response.TTL, grants: make(map[lab.GatewayRole]lab.Grant, len(response.Grants))}
	for _, g := range response.Grants {
		l.grants[g.Role] = g
	}

	return l
}

func (l *lease) valid(now time.Duration) bool {
	return l != nil && now < l.expiry
}
