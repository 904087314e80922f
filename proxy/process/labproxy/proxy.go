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

const dataFolderMode = 0o750

// Proxy is one proxy process. Settings.Control may be changed between Listen and Run. A deployment that runs all its
// instances in one operating system process needs this, because it knows the ports of its control instances only after
// they listen.
type Proxy struct {
	Settings *labsettings.Proxy
	Logger   zerolog.Logger

	clock           *labclock.Clock
	identity        *labkeys.Identity
	transport       *labtransport.Transport
	announceServer  *labhttp.Server
	metricsServer   *labhttp.Server
	catalog         *lablocalcatalog.Catalog
	agent           *labagent.Agent
	observer        *labobserver.Observer
	gateway         *labgateway.Gateway
	registry        *labregistry.Registry
	sessions        *labsession.Server
	cancelForwarder *labcancel.Forwarder
	clientListener  *labfront.Listener
	variables       expvar.Map
}

// Listen loads the keys and opens the listening sockets of the transport and of the HTTP servers. Run opens the
// listening socket for clients.
func (p *Proxy) Listen(ctx context.Context) error {
	s := p.Settings

	p.identity = &labkeys.Identity{Folder: s.KeysFolder, Name: s.Instance}
	if err := p.identity.Load(); err != nil {
		return errors.Newf("load identity: %w", err)
	}

	if s.DataFolder != "" {
		if err := os.MkdirAll(s.DataFolder, dataFolderMode); err != nil {
			return errors.Newf("create data folder: %w", err)
		}
	}

	p.clock, p.catalog = labclock.New(), lablocalcatalog.New()
	p.transport = &labtransport.Transport{Address: s.ProcessAddress, Identity: p.identity, Log: p.Logger}

	if err := p.transport.Listen(); err != nil {
		return err
	}

	if err := p.build(); err != nil {
		return err
	}

	p.metricsServer = &labhttp.Server{Address: s.MetricsAddress, Handler: labmetrics.Handler(&p.variables)}

	for _, h := range []*labhttp.Server{p.announceServer, p.metricsServer} {
		if err := h.Listen(ctx); err != nil {
			return err
		}
	}

	return nil
}

// ProcessAddress returns the host:port of the transport. It may be called after Listen.
func (p *Proxy) ProcessAddress() string {
	return p.transport.BoundAddress()
}

// AnnounceAddress returns the host:port for announcements of upstreams. It may be called after Listen.
func (p *Proxy) AnnounceAddress() string {
	return p.announceServer.BoundAddress()
}

// MetricsAddress returns the host:port of the metrics server. It may be called after Listen.
func (p *Proxy) MetricsAddress() string {
	return p.metricsServer.BoundAddress()
}

// ClientAddress returns the host:port for clients. It is empty until Run has opened the listener.
func (p *Proxy) ClientAddress() string {
	return p.clientListener.BoundAddress()
}

// Run serves until the context ends and then drains: it accepts no new clients, lets running transactions finish and
// releases its gateway roles. Draining ends after Settings.DrainSeconds at the latest.
func (p *Proxy) Run(ctx context.Context) error {
	p.agent.ControlAddresses = p.Settings.Control

	if err := p.registry.Open(); err != nil {
		return errors.Newf("open registry: %w", err)
	}

	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	g, serveCtx := errgroup.WithContext(serveCtx)

	for _, run := range []func(context.Context) error{
		p.transport.Run, p.announceServer.Run, p.metricsServer.Run, p.agent.Run, p.gateway.Run, p.clientListener.Run,
		p.registry.Run,
	} {
		g.Go(func() error { return run(serveCtx) })
	}

	g.Go(func() error {
		defer cancel()

		select {
		case <-ctx.Done():
			p.drain(serveCtx)
		case <-serveCtx.Done():
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

// drain lets running transactions finish while it closes the client sessions and releases the gateway roles.
func (p *Proxy) drain(ctx context.Context) {
	drainTimeout := time.Duration(p.Settings.DrainSeconds) * time.Second

	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()

	p.agent.Drain()

	var g errgroup.Group

	g.Go(func() error { return p.clientListener.Drain(ctx) })
	g.Go(func() error { return p.waitForRelease(ctx) })

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

// waitForRelease waits until the control group has moved every gateway role to another proxy and this proxy has
// released its grants.
func (p *Proxy) waitForRelease(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond

	for len(p.agent.Grants()) > 0 || len(p.gateway.HeldGrants()) > 0 {
		p.agent.Wake()

		if err := p.clock.Sleep(ctx, pollInterval); err != nil {
			return errors.Newf("release gateway roles: %w", err)
		}
	}

	return nil
}

// Ready reports whether the lease is valid and each of the named databases has a primary, and a gateway in every region
// in which it has members.
func (p *Proxy) Ready(databases []string) bool {
	for _, name := range databases {
		d, ok := p.catalog.Database(name)
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
