package labdialogue

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labpatience"
)

// primary returns a connection to the primary, or waits a moment and returns false.
func (a *attempt) primary() (lab.PooledConnection, bool) {
	p, ok := a.session.Directory.Primary(a.route.Service)
	if !ok {
		a.pause(retryPause)

		return nil, false
	}

	return a.acquire(p)
}

// acquire waits for a connection as long as it makes sense under the member's load.
func (a *attempt) acquire(p lab.ConnectionPool) (lab.PooledConnection, bool) {
	w := labpatience.Statement{
		TimeLeft: time.Until(a.deadline), TargetLatency: a.route.TargetLatency, TypicalLatency: p.TypicalLatency(),
		Unreachable: a.session.Directory.Failing(p.Member()),
	}

	a.typical = w.TypicalLatency

	limit := w.ConnectionWait()
	if limit <= 0 {
		a.hopeless = true

		return nil, false
	}

	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()

	c, err := p.Acquire(ctx, a.route.Priority)
	if err != nil {
		if ctx.Err() != nil {
			a.hopeless = true
		} else {
			a.pause(retryPause)
		}

		return nil, false
	}

	if time.Until(a.deadline) < p.TypicalLatency() {
		a.hopeless = true

		c.Release()

		return nil, false
	}

	return c, true
}

// reader returns a connection to a member for a read and the position that the member's log must have.
func (a *attempt) reader() (c lab.PooledConnection, after lab.CommitPosition, primary, ok bool) {
	after, fresh := a.floor()

	if fresh {
		p, leads := a.session.Directory.Reader(a.route.Service, after, a.tried)
		if p != nil {
			c, ok = a.acquire(p)

			return c, after, leads, ok
		}
	}

	// Every replica was tried, or nothing is known of the primary's position: only the primary is sure to have all.
	a.tried = nil
	c, ok = a.primary()

	return c, after, true, ok
}

// floor returns the position that a read must see, and false when it is not known.
func (a *attempt) floor() (lab.CommitPosition, bool) {
	frontier, since := a.session.Directory.Frontier(a.route.Service), a.started-a.route.MaxStaleness+agingMargin

	f, ok := frontier.MinPosition(since)
	if !ok && a.session.Directory.Refresh(a.route.Service) {
		f, ok = frontier.MinPosition(since)
	}

	if !ok {
		return lab.CommitPosition{}, false
	}

	a.aged = a.route.MaxStaleness

	if a.route.Consistency == lab.ConsistencySession && f.Before(a.session.floor) {
		f, a.aged = a.session.floor, 0
	}

	a.after = f

	return f, true
}

// patience is until when a statement that can be given up waits for its answer.
func (a *attempt) patience() time.Time {
	return time.Now().Add(labpatience.ResponseWait(a.typical, time.Until(a.deadline)))
}
