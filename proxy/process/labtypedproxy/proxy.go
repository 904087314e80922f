package labtypedproxy

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/lablog"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labtransport"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
	"laburnumlock.dev/lab/proxy/process/labreachability"
	"laburnumlock.dev/lab/proxy/process/labrelay"
	"laburnumlock.dev/lab/proxy/process/labsubscriber"
	"laburnumlock.dev/lab/proxy/process/labtypedlistener"
)

const (
	// startupWait is below the 2 s after which callers give a startup up.
	startupWait = 1500 * time.Millisecond
	// readinessNotice is how long a stopping proxy serves on as usual, until the balancer has seen that it is not ready:
	// two of its questions, one a second, and a little.
	readinessNotice = 2300 * time.Millisecond
	// exitMargin is kept of the grace time for closing connections.
	exitMargin = 700 * time.Millisecond
)

// Proxy is one proxy process; exported fields are set before Run.
type Proxy struct {
	Self    lab.Instance
	Address string // host:port for callers

	Seeds            func() []string // process addresses of some control instances
	DrainGracePeriod time.Duration   // from a stop to its end by force
	Transport        *labtransport.Transport
	Clock            lab.Clock
	Random           lab.Random
	Configurations   lab.ConfigurationReader
	Dialer           lab.MemberDialer
	Codec            func() lab.ClientCodec
	Log              zerolog.Logger

	directory  *labdirectory.Directory
	subscriber *labsubscriber.Subscriber
	listener   *labtypedlistener.Listener
	counters   labtypedsession.Counters
	stopping   atomic.Bool
}

// Prepare connects the parts; it is called once, before all other methods.
func (p *Proxy) Prepare() {
	p.directory = &labdirectory.Directory{
		Self: p.Self.ID, AvailabilityZone: p.Self.AvailabilityZone, Region: p.Self.Region, Peers: p.Transport, Dialer: p.Dialer,
		Reachability: &labreachability.Tracker{Clock: p.Clock}, Random: p.Random, Clock: p.Clock, Log: p.Log,
	}

	relay := &labrelay.Server{Directory: p.directory, Clock: p.Clock, Log: lablog.NewRequestLogger(p.Log)}
	p.Transport.HandleStream(labrelay.Method, relay.Serve)

	p.subscriber = &labsubscriber.Subscriber{
		Proxy: p.Self, Peers: p.Transport, Seeds: p.Seeds, Directory: p.directory, Configurations: p.Configurations, Log: p.Log,
	}
	p.directory.OnPrimaryUnreachable = p.subscriber.ReportNow
	p.counters.Latency = labmetrics.NewHistogram()
	p.listener = &labtypedlistener.Listener{
		Address: p.Address, Codec: p.Codec, Directory: p.directory, Clock: p.Clock, Log: p.Log,
		RequestLog: lablog.NewRequestLogger(p.Log), Counters: &p.counters,
		StartupWait: startupWait,
	}
}

// Ready reports whether new callers should come here.
func (p *Proxy) Ready() bool {
	return !p.stopping.Load() && p.directory.Ready()
}

// Publish adds the process's counters to a map.
func (p *Proxy) Publish(m *expvar.Map) {
	p.counters.Publish(m)
	m.Set("callers", &p.listener.OpenConnections)
	m.Set("startups_refused", &p.listener.RefusedStartups)
}

// Run serves until the context ends, then stops gracefully.
func (p *Proxy) Run(ctx context.Context) error {
	// Serving goes on while a stop drains.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return p.listener.Run(serving) })
	g.Go(func() error { return p.subscriber.Run(serving) })
	g.Go(func() error { return p.maintain(serving) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}

		p.drain(serving)
		stop()

		return nil
	})

	return errors.Wrap(g.Wait(), "run proxy")
}

// drain lets the balancer notice, then ends the sessions: those between transactions first, in the last part of the
// first half of the grace time also those that rest inside one.
func (p *Proxy) drain(ctx context.Context) {
	p.stopping.Store(true)
	p.Log.Info().Msg("stop_started")

	notice := min(readinessNotice, p.DrainGracePeriod*2/5)
	start := time.Now()

	select {
	case <-ctx.Done():
		return
	case <-time.After(notice):
	}

	p.subscriber.AnnounceDraining()

	ctx, cancel := context.WithTimeout(ctx, p.DrainGracePeriod-exitMargin-time.Since(start))
	defer cancel()

	p.listener.Drain(ctx, p.DrainGracePeriod/2-notice)
}
