package labedge

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labbackend"
)

const (
	tendInterval = 100 * time.Millisecond
	// pingInterval is how often the primary's position is asked for when no statement brings it. Reads that accept an
	// age of 1.5 s find a position that is old enough for replicas that lag and new enough for the read.
	pingInterval = 300 * time.Millisecond
	// pingTimeout is the time without an answer after which a primary is suspected; a ping needs no slot, so only the
	// way of 24 ms between regions and a busy instance delay it.
	pingTimeout = 300 * time.Millisecond
)

// tend keeps a connection to each member open and asks primaries for their positions.
func (e *Edge) tend(ctx context.Context) error {
	pinging := map[string]*ping{}

	for e.Clock.Sleep(ctx, tendInterval) == nil {
		e.directory.WarmRelays()

		for name, pools := range e.directory.LocalPools() {
			for _, p := range pools {
				p.Maintain()
				e.look(p)
			}

			g, ok := pinging[name]
			if !ok {
				g = &ping{}
				pinging[name] = g
			}

			e.ping(name, g)
		}
	}

	return nil
}

// ping is the state of the pings of one service.
type ping struct {
	running chan struct{} // holds one element while a ping is under way
	last    time.Duration
}

func (e *Edge) ping(service string, g *ping) {
	if g.running == nil {
		g.running = make(chan struct{}, 1)
	}

	asked, _, ok := e.directory.PrimaryHistory(service).Newest()
	if now := e.Clock.Now(); (ok && now-asked < pingInterval) || now-g.last < pingInterval {
		return
	}

	p, ok := e.directory.LocalPrimaryPool(service)
	if !ok {
		return
	}

	select {
	case g.running <- struct{}{}:
	default:
		return
	}

	g.last = e.Clock.Now()

	go func() {
		e.askPosition(service, p)
		<-g.running
	}()
}

// look asks a member that seemed out of reach whether it answers again: while it does not, statements take other ways,
// so none of them would show it.
func (e *Edge) look(p *labbackend.Pool) {
	if !e.directory.Unreachable(p.Member()) {
		return
	}

	go func() {
		_, ok, err := p.Ping(time.Now().Add(pingTimeout))
		if ok && err == nil {
			e.directory.RecordResponse(p.Member())
		}
	}()
}

// askPosition begins and ends a transaction, which only the primary permits and which takes no slot.
func (e *Edge) askPosition(service string, p *labbackend.Pool) {
	asked := e.Clock.Now()

	r, ok, err := p.Ping(time.Now().Add(pingTimeout))
	if !ok {
		return
	}

	if err != nil {
		e.directory.RecordUnreachable(p.Member())

		return
	}

	e.directory.RecordResponse(p.Member())

	if r.Fault == lab.FaultNone {
		e.directory.PrimaryHistory(service).Record(asked, r.Position)
	}
}
