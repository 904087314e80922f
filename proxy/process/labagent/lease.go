package labagent

import (
	"time"

	"laburnumlock.dev/lab"
)

// lease holds the grants of the last accepted response.
type lease struct {
	expiry time.Duration // value of Clock.Now until which the grants are valid; the clock is monotonic
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
