package labgateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

const (
	defaultTick       = 50 * time.Millisecond
	defaultProbeAfter = time.Second
	defaultDeadline   = 30 * time.Second
	defaultRetention  = 24 * time.Hour
)

var (
	errNoLease    = errors.New("no lease for the duty")
	errMoved      = errors.New("the duty has moved")
	errNoPrimary  = errors.New("no primary may be written to")
	errSuperseded = errors.New("the primary's term has ended")
	errLeaving    = errors.New("the member is leaving")
	errDraining   = errors.New("the gateway is draining")
	errDivergent  = errors.New("the member's role or position does not follow the history")
	errConnection = errors.New("the upstream connection failed")
	errEnded      = errors.New("the transaction has ended")
)

// Gateway runs transactions on the members of the databases whose duties the proxy holds.
type Gateway struct {
	Self       lab.Instance
	Clock      lab.Clock
	Routes     lab.Catalog
	Lease      lab.Lease
	Admission  lab.Admission           // slots by "database/member"
	Once       lab.IdempotencyRegistry // without one, named requests are refused
	Observer   *labobserver.Observer
	Dialer     *labupstream.Dialer
	Logger     zerolog.Logger
	Tick       time.Duration // between checks of lease, catalog and members
	ProbeAfter time.Duration // of idleness, before a connection is reused

	mu       sync.RWMutex
	duties   map[lab.GatewayRole]*duty
	draining bool
}

// Assign takes over the grants of a renewed lease, which ends at until on Clock.Now. A duty that is missing gets no
// new work, and its connections are closed when its transactions have ended.
func (g *Gateway) Assign(grants []lab.Grant, until time.Duration) {
	missing := map[lab.GatewayRole]*duty{}

	g.mu.Lock()
	if g.duties == nil {
		g.duties = map[lab.GatewayRole]*duty{}
	}

	for k, d := range g.duties {
		missing[k] = d
	}

	var started []*duty

	for _, n := range grants {
		d, found := g.duties[n.Role]
		delete(missing, n.Role)

		switch {
		case !found && !g.draining:
			d = newDuty(g, hold{grant: n, until: until})
			g.duties[n.Role] = d
			started = append(started, d)
		case found:
			d.assign(hold{grant: n, until: until})
		}
	}
	g.mu.Unlock()

	for _, d := range missing {
		d.withdraw()
	}

	for _, d := range started {
		g.Logger.Info().Str("database", d.key.Database).Str("region", d.key.Region).
			Uint64("epoch", d.current.grant.Epoch).Msg("duty taken over")
		d.follow()
	}
}

// Held returns the grants in use, for heartbeats; a duty is missing only once its connections are closed.
func (g *Gateway) Held() []lab.Grant {
	g.mu.RLock()
	defer g.mu.RUnlock()

	held := make([]lab.Grant, 0, len(g.duties))
	for _, d := range g.duties {
		held = append(held, d.held()...)
	}

	return held
}

// Run follows lease and catalog until the context ends, and then closes all connections.
func (g *Gateway) Run(ctx context.Context) error {
	ticker := time.NewTicker(positive(g.Tick, defaultTick))
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			g.stop()

			return nil
		case <-ticker.C:
			g.step()
		}
	}
}

// step checks every duty and removes those that are released.
func (g *Gateway) step() {
	for _, d := range g.all() {
		if d.tick() {
			g.release(d)
		}
	}
}

func (g *Gateway) release(d *duty) {
	g.Observer.Unwatch(d.key.Database)

	g.mu.Lock()
	if g.duties[d.key] == d {
		delete(g.duties, d.key)
	}
	g.mu.Unlock()

	g.Logger.Info().Str("database", d.key.Database).Str("region", d.key.Region).Msg("duty released")
}

func (g *Gateway) all() []*duty {
	g.mu.RLock()
	defer g.mu.RUnlock()

	duties := make([]*duty, 0, len(g.duties))
	for _, d := range g.duties {
		duties = append(duties, d)
	}

	return duties
}

// Drain refuses new transactions, waits until the running ones have ended or the context ends, and closes all
// connections.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()

	for g.busy() {
		if err := g.Clock.Sleep(ctx, positive(g.Tick, defaultTick)); err != nil {
			g.stop()

			return errors.Newf("drain gateway: %w", err)
		}
	}

	g.stop()

	return nil
}

func (g *Gateway) busy() bool {
	for _, d := range g.all() {
		d.mu.Lock()
		count := len(d.transactions)
		d.mu.Unlock()

		if count > 0 {
			return true
		}
	}

	return false
}

// stop ends what runs and returns when all connections are closed.
func (g *Gateway) stop() {
	for _, d := range g.all() {
		d.force(errDraining, func(*transaction) bool { return true })
		d.close()
	}

	for _, d := range g.all() {
		for ; !d.empty(); d.forget() {
			time.Sleep(time.Millisecond)
		}

		g.release(d)
	}
}

func (g *Gateway) find(header lab.TransactionHeader) (*duty, error) {
	g.mu.RLock()
	defer g.mu.RUnlock()

	if g.draining {
		return nil, lab.NotRunError(lab.ReasonDraining, errDraining)
	}

	region := header.Region
	if region == "" {
		region = g.Self.Region
	}

	d, found := g.duties[lab.GatewayRole{Database: header.Database, Region: region}]
	if found {
		return d, nil
	}

	if database, known := g.Routes.Database(header.Database); known {
		if p, placed := database.Placement(region); placed && p.Instance == g.Self.ID {
			return nil, lab.NotRunError(lab.ReasonNoLease, errNoLease)
		}
	}

	return nil, lab.NotRunError(lab.ReasonMisrouted, errMoved)
}

func (g *Gateway) probeAfter() time.Duration {
	return positive(g.ProbeAfter, defaultProbeAfter)
}

func positive(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}

	return fallback
}
