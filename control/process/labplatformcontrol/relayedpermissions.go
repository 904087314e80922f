package labplatformcontrol

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpermissionholders"
)

// relayedPermissions is the list of commit permissions that the leader has granted to this instance, which grants it to
// the proxies that watch it. It outlives changes of the leader.
type relayedPermissions struct {
	revision  lab.PermissionRevision
	list      []lab.CommitPermission
	changes   permissionChanges
	end       time.Duration          // end of the leader's grant
	confirmed lab.PermissionRevision // newest list that all proxies have confirmed
	holders   labpermissionholders.Holders
}

// begin takes into account the grants that a former run of this process has given to proxies, under the same identity.
func (p *relayedPermissions) begin(startedAt time.Duration) {
	p.holders.Margin = grantMargin
	p.holders.Granted(formerLeader, startedAt+grantDuration)
}

// apply applies a grant of the leader in the response to a request that was sent at the given time.
func (p *relayedPermissions) apply(g lab.PermissionGrant, sentAt time.Duration) {
	switch {
	case g.Revision.IsZero() || g.Revision.Before(p.revision):
	case g.Revision == p.revision:
		p.end = max(p.end, sentAt+g.ValidFor)
	case !g.Base.IsZero() && g.Base != p.revision:
	default:
		list := g.Permissions

		if g.Base.IsZero() {
			p.changes.begin(g.Revision)
		} else {
			list = changedPermissions(p.list, g.Permissions)
			p.changes.add(g.Permissions, g.Revision)
		}

		p.revision, p.list, p.end = g.Revision, list, sentAt+g.ValidFor
	}
}

// grant returns a grant for the sender of a watch, which ends with that of the leader. Another relay gets none: it has to
// get it from the leader.
func (p *relayedPermissions) grant(r lab.WatchRequest, receivedAt time.Duration) lab.PermissionGrant {
	if r.Relay || p.revision.IsZero() || p.revision.Before(r.Permissions.Applied) {
		return lab.PermissionGrant{}
	}

	p.holders.Granted(r.Proxy.ID, p.end)

	return newGrant(p.revision, p.list, &p.changes, r, p.end-receivedAt)
}

// record records what a proxy reports and returns whether the leader must learn that all proxies have confirmed the list.
func (p *relayedPermissions) record(r lab.WatchRequest, now time.Duration) bool {
	p.holders.Record(r.Proxy.ID, r.Permissions, now)

	before := p.confirmed

	return p.report(now).Confirmed != before
}

// report returns the report for the leader. Once confirmed, a list stays confirmed: the proxies get no earlier one.
func (p *relayedPermissions) report(now time.Duration) lab.PermissionReport {
	if p.confirmed != p.revision && p.holders.Confirmed(p.revision, now) {
		p.confirmed = p.revision
	}

	return lab.PermissionReport{Applied: p.revision, Confirmed: p.confirmed}
}
