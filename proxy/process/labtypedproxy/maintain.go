package labtypedproxy

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
)

const (
	maintainInterval = 100 * time.Millisecond
	// pingInterval is the interval at which an observer requests the primary's position while no statement returns it. At
	// this interval, a read with a maximum staleness of 1.5 s finds a position that is recent enough for the read, and that
	// lagging replicas have already reached.
	pingInterval = 300 * time.Millisecond
	// unobservedInterval is the age of the newest known position after which another proxy requests one itself for the
	// reads that it serves. It normally receives the observers' positions from the control group within this time: an
	// observer's interval, and half a second each for the observer's next report and this proxy's next watch.
	unobservedInterval = 1100 * time.Millisecond
	// pingTimeout is how long a ping waits for the response. A primary that does not respond in this time counts as
	// unreachable. A ping needs no slot of the member, so its response is delayed only by the round trip between
	// regions, which takes 24 ms, and by a member or proxy that is busy.
	pingTimeout = 300 * time.Millisecond
)

// maintain periodically adjusts the pools of direct connections, checks unreachable members and requests the positions
// of primaries.
func (p *Proxy) maintain(ctx context.Context) error {
	states := map[string]*pingState{}

	for p.Clock.Sleep(ctx, maintainInterval) == nil {
		p.maintainOnce(states)
	}

	return nil
}

// maintainOnce visits the services that are needed, not all of the deployment.
func (p *Proxy) maintainOnce(states map[string]*pingState) {
	p.directory.StopAwaitingProxies()
	p.directory.CloseUnused()
	p.directory.WarmRelays()

	for name, pools := range p.directory.LocalPools() {
		for _, pool := range pools {
			pool.Maintain()
			p.checkUnreachable(pool)
		}

		g, ok := states[name]
		if !ok {
			g = &pingState{}
			states[name] = g
		}

		p.ping(name, g)
	}
}

// pingState is the state of the pings of one service.
type pingState struct {
	running   chan struct{} // holds one element while a ping runs
	lastStart time.Duration // time at which the last ping started
}

// ping requests the primary's position in the background if the newest recorded position is too old. An observer's
// positions reach the other proxies through the control group, so that these rarely need a ping. ping does nothing if
// the last one started less than pingInterval ago or is still running.
func (p *Proxy) ping(service string, g *pingState) {
	if g.running == nil {
		g.running = make(chan struct{}, 1)
	}

	maxAge := unobservedInterval

	switch {
	case p.directory.Observes(service):
		maxAge = pingInterval
	case !p.directory.InUse(service):
		return
	}

	sentAt, _, ok := p.directory.PrimaryHistory(service).Newest()
	if now := p.Clock.Now(); (ok && now-sentAt < maxAge) || now-g.lastStart < pingInterval {
		return
	}

	pool, ok := p.directory.LocalPrimaryPool(service)
	if !ok {
		return
	}

	select {
	case g.running <- struct{}{}:
	default:
		return
	}

	g.lastStart = p.Clock.Now()

	go func() {
		p.queryPosition(service, pool)
		<-g.running
	}()
}

// checkUnreachable pings an unreachable member and records when it responds again. Statements for an unreachable member
// are relayed, so none of them would show that the member can be reached directly again.
func (p *Proxy) checkUnreachable(pool *labpool.Pool) {
	if !p.directory.Unreachable(pool.Member()) {
		return
	}

	go func() {
		_, ok, err := pool.Ping(time.Now().Add(pingTimeout))
		if ok && err == nil {
			p.directory.RecordResponse(pool.Member())
		}
	}()
}

// queryPosition begins and rolls back a transaction at the primary. It records the position that the member returns, or
// that the member is unreachable. Only a primary accepts the begin, and the transaction needs no slot.
func (p *Proxy) queryPosition(service string, pool *labpool.Pool) {
	sentAt := p.Clock.Now()

	r, ok, err := pool.Ping(time.Now().Add(pingTimeout))
	if !ok {
		return
	}

	if err != nil {
		// A member that is out of step on one connection does respond.
		if _, reason := lab.OutcomeOf(err); reason != lab.ReasonOutOfStep {
			p.directory.RecordUnreachable(pool.Member())
		}

		return
	}

	p.directory.RecordResponse(pool.Member())

	if r.Fault == lab.FaultNone {
		p.directory.PrimaryHistory(service).Record(sentAt, r.Position)
	}
}
