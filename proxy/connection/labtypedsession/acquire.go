package labtypedsession

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labwaitlimit"
)

// acquirePrimary returns a connection to the primary, or waits a moment and returns false.
func (a *attempt) acquirePrimary() (lab.PooledConnection, bool) {
	p, ok := a.session.Directory.PrimarySource(a.route.Service)
	if !ok {
		a.pause(retryDelay)

		return nil, false
	}

	return a.acquire(p)
}

// acquire waits for a connection as long as it makes sense under the member's load.
func (a *attempt) acquire(p lab.ConnectionPool) (lab.PooledConnection, bool) {
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

	c, err := p.Acquire(ctx, a.route.Priority)
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

// acquireReader returns a connection to a member for a read and the position that the member's log must have.
func (a *attempt) acquireReader() (c lab.PooledConnection, minPosition lab.CommitPosition, primary, ok bool) {
	minPosition, fresh := a.requiredPosition()

	if fresh {
		p, isPrimary := a.session.Directory.ReadSource(a.route.Service, minPosition, a.triedMembers)
		if p != nil {
			c, ok = a.acquire(p)

			return c, minPosition, isPrimary, ok
		}
	}

	// Every replica was tried, or nothing is known of the primary's position: only the primary is sure to have all.
	a.triedMembers = nil
	c, ok = a.acquirePrimary()

	return c, minPosition, true, ok
}

// requiredPosition returns the position that a read must see, and false when it is not known.
func (a *attempt) requiredPosition() (lab.CommitPosition, bool) {
	history, since := a.session.Directory.PrimaryHistory(a.route.Service), a.started-a.route.MaxStaleness+stalenessMargin

	position, ok := history.MinPosition(since)
	if !ok && a.session.Directory.RefreshPosition(a.route.Service) {
		position, ok = history.MinPosition(since)
	}

	if !ok {
		return lab.CommitPosition{}, false
	}

	a.acceptedAge = a.route.MaxStaleness

	if a.route.Consistency == lab.ConsistencySession && position.Before(a.session.lastCommit) {
		position, a.acceptedAge = a.session.lastCommit, 0
	}

	a.minPosition = position

	return position, true
}

// responseDeadline is until when a statement that can be given up waits for its answer.
func (a *attempt) responseDeadline() time.Time {
	return time.Now().Add(labwaitlimit.ResponseWait(a.typicalLatency, time.Until(a.deadline)))
}
