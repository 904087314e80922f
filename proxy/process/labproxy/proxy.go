package labproxy

import (
	"context"
	"expvar"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labhttp"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labtransport"
	"laburnumlock.dev/lab/proxy/connection/labsession"
	"laburnumlock.dev/lab/proxy/process/labagent"
	"laburnumlock.dev/lab/proxy/process/labcancel"
	"laburnumlock.dev/lab/proxy/process/labfront"
	"laburnumlock.dev/lab/proxy/process/labgateway"
	"laburnumlock.dev/lab/proxy/process/labobserver"
	"laburnumlock.dev/lab/proxy/process/labregistry"
	"laburnumlock.dev/lab/proxy/version/lablocalcatalog"
	"laburnumlock.dev/lab/version/labsettings"
)

const dataMode = 0o750

// Proxy is one proxy process. Settings.Control may still be changed between Listen and Run, so that a deployment on
// free ports can be started in one process.
type Proxy struct {
	Settings *labsettings.Proxy
	Logger   zerolog.Logger

	clock     *labclock.Clock
	identity  *labkeys.Identity
	transport *labtransport.Transport
	announce  *labhttp.Server
	metrics   *labhttp.Server
	routes    *lablocalcatalog.Catalog
	agent     *labagent.Agent
	observer  *labobserver.Observer
	gateway   *labgateway.Gateway
	registry  *labregistry.Registry
	sessions  *labsession.Server
	cancels   *labcancel.Cancels
	front     *labfront.Listener
	variables expvar.Map
}

// Listen loads the keys and opens the sockets for other processes; callers are accepted from Run on.
func (p *Proxy) Listen(ctx context.Context) error {
	s := p.Settings

	p.identity = &labkeys.Identity{Folder: s.KeysFolder, Name: s.Instance}
	if err := p.identity.Load(); err != nil {
		return errors.Newf("load identity: %w", err)
	}

	if s.DataFolder != "" {
		if err := os.MkdirAll(s.DataFolder, dataMode); err != nil {
			return errors.Newf("create data folder: %w", err)
		}
	}

	p.clock, p.routes = labclock.New(), lablocalcatalog.New()
	p.transport = &labtransport.Transport{Address: s.ProcessAddress, Identity: p.identity, Log: p.Logger}

	if err := p.transport.Listen(); err != nil {
		return err
	}

	if err := p.wire(); err != nil {
		return err
	}

	p.metrics = &labhttp.Server{Address: s.MetricsAddress, Handler: labmetrics.Handler(&p.variables)}

	for _, h := range []*labhttp.Server{p.announce, p.metrics} {
		if err := h.Listen(ctx); err != nil {
			return err
		}
	}

	return nil
}

// ProcessAddress returns the transport's host:port after Listen.
func (p *Proxy) ProcessAddress() string {
	return p.transport.BoundAddress()
}

// AnnounceAddress returns the host:port for upstreams' announcements after Listen.
func (p *Proxy) AnnounceAddress() string {
	return p.announce.BoundAddress()
}

// MetricsAddress returns the host:port of the metrics after Listen.
func (p *Proxy) MetricsAddress() string {
	return p.metrics.BoundAddress()
}

// CallerAddress returns the host:port for callers, empty until Run has opened it.
func (p *Proxy) CallerAddress() string {
	return p.front.BoundAddress()
}

// Run serves until the context ends and then stops gracefully: it takes no new callers, lets transactions in progress
// finish, hands its duties over and ends within the settings' drain time.
func (p *Proxy) Run(ctx context.Context) error {
	p.agent.Control = p.Settings.Control

	if err := p.registry.Open(); err != nil {
		return errors.Newf("open registry: %w", err)
	}

	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	g, work := errgroup.WithContext(work)

	for _, run := range []func(context.Context) error{
		p.transport.Run, p.announce.Run, p.metrics.Run, p.agent.Run, p.gateway.Run, p.front.Run, p.registry.Run,
	} {
		g.Go(func() error { return run(work) })
	}

	g.Go(func() error {
		defer cancel()

		select {
		case <-ctx.Done():
			p.drain(work)
		case <-work.Done():
		}

		return nil
	})

	p.Logger.Info().Str("process_address", p.ProcessAddress()).Str("announce_address", p.AnnounceAddress()).
		Str("metrics_address", p.MetricsAddress()).
		Msg("proxy_started")

	err := g.Wait()
	p.observer.Close()
	err = errors.CombineErrors(err, p.registry.Close())
	if err != nil {
		return errors.Newf("run proxy: %w", err)
	}

	p.Logger.Info().Msg("proxy_stopped")

	return nil
}

// drain ends callers' sessions and gives the duties back while running transactions finish.
func (p *Proxy) drain(ctx context.Context) {
	limit := time.Duration(p.Settings.DrainSeconds) * time.Second

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	p.agent.Drain()

	var g errgroup.Group

	g.Go(func() error { return p.front.Drain(ctx) })
	g.Go(func() error { return p.handOver(ctx) })

	if err := g.Wait(); err != nil {
		p.Logger.Warn().Err(err).Msg("drain_incomplete")
	}

	if err := p.gateway.Drain(ctx); err != nil {
		p.Logger.Warn().Err(err).Msg("gateway_drain_incomplete")
	}

	if err := p.transport.Drain(ctx); err != nil {
		p.Logger.Warn().Err(err).Msg("transport_drain_incomplete")
	}
}

// handOver waits until control has moved every duty to another proxy and this one has released it.
func (p *Proxy) handOver(ctx context.Context) error {
	const poll = 20 * time.Millisecond

	for len(p.agent.Grants()) > 0 || len(p.gateway.HeldGrants()) > 0 {
		p.agent.Wake()

		if err := p.clock.Sleep(ctx, poll); err != nil {
			return errors.Newf("hand over duties: %w", err)
		}
	}

	return nil
}

// Ready reports whether the lease is in force and each database has a primary and a gateway in every region with
// members.
func (p *Proxy) Ready(databases []string) bool {
	for _, name := range databases {
		d, ok := p.routes.Database(name)
		if !ok || d.Primary == "" {
			return false
		}

		for _, m := range d.Members {
			if _, placed := d.Placement(m.Region); !placed {
				return false
			}
		}
	}

	return p.agent.Valid()
}
