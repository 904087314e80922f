package labpool

import (
	"slices"
	"time"

	"laburnumlock.dev/lab/proxy/request/labsample"
)

// startTime is the start of the time that is passed to the limits, on the monotonic clock.
var startTime = time.Now()

// atLimitLocked reports whether the member already runs as many statements of this proxy as it handles well. A further
// one waits as if no connection were free.
func (p *Pool) atLimitLocked() bool {
	if p.Limit == nil {
		return false
	}

	maximum := p.limitLocked()
	limit := p.Limit.Current(time.Since(startTime), maximum)

	return limit < maximum && p.active >= limit
}

// setActiveLocked records whether a statement runs on a connection or is about to. A connection is not active while its
// transaction is idle, so that idle transactions do not use up the limit.
func (p *Pool) setActiveLocked(c *Conn, active bool) {
	if c.active == active {
		return
	}

	c.active = active

	if active {
		p.active++
	} else {
		p.active--
	}
}

// admitLocked passes idle connections to the requests that wait because of the learned limit, in their order, as far as it
// allows now. If grow is set, it also opens connections for the requests whose organisation has no idle one; otherwise a
// connection is about to be released. An idle connection is replaced rather than used if an overdue request needs that.
func (p *Pool) admitLocked(grow bool) {
	if !p.held {
		return
	}

	for i := 0; i < len(p.waiters) && !p.atLimitLocked(); {
		w := p.waiters[i]

		if p.hasIdleLocked(w.organisation) && p.open <= p.limitLocked() {
			if o, ok := p.overdueLocked(i); ok {
				if !grow {
					break
				}

				p.growLocked(o)

				continue
			}
		}

		c := p.takeAliveLocked(w.organisation)
		if c == nil {
			i++

			continue
		}

		p.waiters = slices.Delete(p.waiters, i, i+1)
		w.conn <- c
	}

	p.held = len(p.waiters) > 0

	if grow {
		p.growWaitingLocked()
	}
}

// startStatement counts a connection as active that runs a further statement of its transaction.
func (p *Pool) startStatement(c *Conn) {
	if p.Limit == nil || c.active {
		return
	}

	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.setActiveLocked(c, true)
}

// endStatement records the sample of an exchange. The connection is no longer active, so that a waiting request may be
// admitted. After a timeout the statement may still run, but the response may as well be lost: if the connection stayed
// active until it was drained, lost responses would use up the limit. If the connection stays bound to a transaction, the
// request may need a new one.
func (p *Pool) endStatement(c *Conn, s labsample.Sample, bound bool) {
	if p.Limit != nil {
		p.mutex.Lock()
		p.Limit.Add(time.Since(startTime), s, p.active, p.limitLocked())
		p.setActiveLocked(c, false)
		p.admitLocked(bound)
		p.mutex.Unlock()
	}

	if p.OnSample != nil {
		p.OnSample(s)
	}
}

// LearnedLimit returns the number of statements that may run at a time, and the number of connections without a learned
// limit.
func (p *Pool) LearnedLimit() (limit, maximum int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	maximum = p.limitLocked()
	if p.Limit == nil {
		return maximum, maximum
	}

	return p.Limit.Current(time.Since(startTime), maximum), maximum
}
