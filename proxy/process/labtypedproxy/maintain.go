package labtypedproxy

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labpool"
)

const (
	maintainInterval = 100 * time.Millisecond
	// pingInterval is how often the primary's position is asked for when no statement brings it. Reads that accept an
	// age of 1.5 s find a position that is old enough for replicas that lag and new enough for the read.
	pingInterval = 300 * time.Millisecond
	// pingTimeout is the time without an answer after which a primary is suspected; a ping needs no slot, so only the
	// way of 24 ms between regions and a busy instance delay it.
	pingTimeout = 300 * time.Millisecond
)

// maintain keeps a connection to each member open and asks primaries for their positions.
func (p *Proxy) maintain(ctx context.Context) error {
	pinging := map[string]*pingState{}

	for p.Clock.Sleep(ctx, maintainInterval) == nil {
		p.directory.WarmRelays()

		for name, pools := range p.directory.LocalPools() {
			for _, pool := range pools {
				pool.Maintain()
				p.checkUnreachable(pool)
			}

			g, ok := pinging[name]
			if !ok {
				g = &pingState{}
				pinging[name] = g
			}

			p.ping(name, g)
		}
	}

	return nil
}

// pingState is the state of the pings of one service.
type pingState struct {
	running chan struct{} // holds one element while a ping is under way
	last    time.Duration
}

func (p *Proxy) ping(service string, g *pingState) {
	if g.running == nil {
		g.running = make(chan struct{}, 1)
	}

	sentAt, _, ok := p.directory.PrimaryHistory(service).Newest()
	if now := p.Clock.Now(); (ok && now-sentAt < pingInterval) || now-g.last < pingInterval {
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

	g.last = p.Clock.Now()

	go func() {
		p.queryPosition(service, pool)
		<-g.running
	}()
}

// checkUnreachable asks a member that seemed out of reach whether it answers again: while it does not, statements take other ways,
// so none of them would show it.
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

// queryPosition begins and ends a transaction, which only the primary permits and which takes no slot.
func (p *Proxy) queryPosition(service string, pool *labpool.Pool) {
	sentAt := p.Clock.Now()

	r, ok, err := pool.Ping(time.Now().Add(pingTimeout))
	if !ok {
		return
	}

	if err != nil {
		p.directory.RecordUnreachable(pool.Member())

		return
	}

	p.directory.RecordResponse(pool.Member())

	if r.Fault == lab.FaultNone {
		p.directory.PrimaryHistory(service).Record(sentAt, r.Position)
	}
}
