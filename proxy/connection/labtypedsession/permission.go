package labtypedsession

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labpermission"
)

// noPermission is the detail of the result of a commit that was not sent.
const noPermission = "no permission to commit at the member"

// awaitPermission reports whether commits may be sent to the primary. If not, it pauses: a write that waits holds no
// connection, which reads could use in the meantime. It leaves it to acquirePrimary to wait for a primary.
func (a *attempt) awaitPermission() bool {
	p, ok := a.session.Directory.PrimarySource(a.route.Service)

	a.notPermitted = ok && !a.session.Directory.Permissions().Allows(a.route.Service, p.Member().Member)
	if a.notPermitted {
		a.pause(retryDelay)
	}

	return !a.notPermitted
}

// beginCommit begins a commit on the connection. It returns false if the commit must not be sent.
func (a *attempt) beginCommit(c lab.PooledConnection) (*labpermission.Commit, bool) {
	commit, ok := a.session.Directory.Permissions().Begin(a.route.Service, c.Member().Member)
	a.notPermitted = !ok

	return commit, ok
}

// commitResult returns the result of a commit that succeeded at the member. If the permission has ended in the meantime,
// another member may lead without the commit; its position then says nothing about the service.
func (a *attempt) commitResult(
	m lab.Announcement, r lab.OperationResult, sentAt time.Duration, permitted bool,
) lab.OperationResult {
	if permitted {
		a.recordCommit(m, sentAt, r.Position)

		return r
	}

	s := a.session
	applied := s.Directory.Permissions().Report().Applied

	s.Counters.PermissionEnded.Add(1)
	s.Log.Warn().Str("request", a.requestID).Str("database", s.Database).Str("service", a.route.Service).
		Str("member", m.Member).Uint64("term", applied.Term).Uint64("number", applied.Number).Msg("commit_unconfirmed")

	return lab.OperationResult{
		Fault: lab.FaultUnknown, Detail: "the member may have lost the lead", Status: r.Status,
	}
}
