package labtypedsession

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labwaitlimit"
)

// acquirePrimary returns a connection to the primary. It returns false, after a pause, when no primary is known, and
// also when acquire returns false. If the primary is about to end, a wait would be in vain: its replacement has failed
// for seconds.
func (a *attempt) acquirePrimary() (lab.PooledConnection, bool) {
	p, ok := a.session.Directory.PrimarySource(a.route.Service)
	if !ok {
		if a.session.Directory.PrimaryAboutToEnd(a.route.Service) {
			a.gaveUpWaiting = true

			return nil, false
		}

		a.pause(retryDelay)

		return nil, false
	}

	return a.acquire(p, false)
}

// acquire returns a connection from the pool. If the statement is optional, another member can run it. It waits for at most
// the time that labwaitlimit allows, and returns false when it gets no connection. It sets gaveUpWaiting when the statement
// can no longer finish in time.
func (a *attempt) acquire(p lab.ConnectionPool, optional bool) (lab.PooledConnection, bool) {
	statement := labwaitlimit.Statement{
		TimeLeft: time.Until(a.deadline), TargetLatency: a.route.TargetLatency, TypicalLatency: p.TypicalLatency(),
		Unreachable: a.session.Directory.Unreachable(p.Member()),
	}

	a.typicalLatency = statement.TypicalLatency

	limit := statement.ConnectionWait()
	if limit <= 0 {
		a.gaveUpWaiting = true

		return nil, false
	}

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	c, err := p.Acquire(ctx, lab.AcquireRequest{
		Organisation: a.session.organisation.Name, Priority: a.route.Priority, Deadline: a.deadline, TargetLatency: a.route.TargetLatency,
		Optional: optional,
	})
	if err != nil {
		if ctx.Err() != nil {
			a.gaveUpWaiting = true
		} else {
			a.pause(retryDelay)
		}

		return nil, false
	}

	if time.Until(a.deadline) < p.TypicalLatency() {
		a.gaveUpWaiting = true

		c.Release()

		return nil, false
	}

	return c, true
}

// acquireReader returns a connection for a read, the position that the member must have reached, and whether the member
// is the primary.
func (a *attempt) acquireReader() (c lab.PooledConnection, minPosition lab.CommitPosition, primary, ok bool) {
	minPosition, fresh := a.requiredPosition()

	if fresh {
		p, isPrimary := a.session.Directory.ReadSource(a.route.Service, minPosition, a.triedMembers)
		if p != nil {
			// After one refusal the next member must run the statement: at least half of the members remain.
			c, ok = a.acquire(p, !a.refusedEjected)

			return c, minPosition, isPrimary, ok
		}
	}

	// Either every suitable replica was tried, or no recent position of the primary is known. The read then runs at the
	// primary, which is the only member that is certain to have every commit.
	a.triedMembers = nil
	c, ok = a.acquirePrimary()

	return c, minPosition, true, ok
}

// requiredPosition returns the position that a member must have reached to serve the read. It returns false when no
// position of the primary is known that is recent enough for the maximum staleness.
func (a *attempt) requiredPosition() (lab.CommitPosition, bool) {
	a.session.Directory.RecordRead(a.route.Service)

	history, since := a.session.Directory.PrimaryHistory(a.route.Service), a.started-a.route.MaxStaleness+stalenessMargin

	position, ok := history.MinPosition(since)
	if !ok && a.session.Directory.RefreshPosition(a.route.Service) {
		position, ok = history.MinPosition(since)
	}

	if !ok {
		return lab.CommitPosition{}, false
	}

	a.maxStaleness = a.route.MaxStaleness

	if a.route.Consistency == lab.ConsistencySession && position.Before(a.session.lastCommit) {
		position, a.maxStaleness = a.session.lastCommit, 0
	}

	a.minPosition = position

	return position, true
}

// responseDeadline returns the deadline for the response to a read, or to a statement of an open transaction. Neither
// has an effect if it is abandoned: the read writes nothing, and the transaction is not committed.
func (a *attempt) responseDeadline() time.Time {
	return time.Now().Add(labwaitlimit.ResponseWait(a.typicalLatency, time.Until(a.deadline)))
}
