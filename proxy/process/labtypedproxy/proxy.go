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
	"laburnumlock.dev/lab/process/labquotarecorder"
	"laburnumlock.dev/lab/process/labtransport"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
	"laburnumlock.dev/lab/proxy/process/labquotaclient"
	"laburnumlock.dev/lab/proxy/process/labreachability"
	"laburnumlock.dev/lab/proxy/process/labrelay"
	"laburnumlock.dev/lab/proxy/process/labsubscriber"
	"laburnumlock.dev/lab/proxy/process/labtypedlistener"
)

const (
	// startupWait is how long the startup of a client waits for the first configuration. It is shorter than the 2 s
	// after which clients abandon a startup.
	startupWait = 1500 * time.Millisecond
	// notReadyPeriod is how long a stopping proxy still accepts and serves clients while it reports that it is not
	// ready, so that the load balancer notices. The load balancer checks the readiness once a second; the period covers
	// two checks and a margin.
	notReadyPeriod = 2300 * time.Millisecond
	// exitMargin is the part of the drain grace period that is reserved for closing connections.
	exitMargin = 700 * time.Millisecond
	// relayMargin is the part of the drain grace period that is reserved for the end of the process once no statement of
	// another proxy runs here. It is shorter than exitMargin, so that these can end if sessions take the whole drain.
	relayMargin = 400 * time.Millisecond
)

// Proxy is one proxy process; exported fields are set before Run.
type Proxy struct {
	Self          lab.Instance
	RegionByZone  map[string]string // name of the region by availability zone
	ListenAddress string            // host:port that the proxy listens on for clients

	Seeds               func() []string // returns the process addresses of some control instances
	DrainGracePeriod    time.Duration   // time from the start of a stop until the process is killed
	LeavingPeriod       time.Duration   // time in which new requests may reach a member that is leaving; 0 for no limit
	Transport           *labtransport.Transport
	Clock               lab.Clock
	Random              lab.Random
	ConfigurationReader lab.ConfigurationReader
	Dialer              lab.MemberDialer
	Codec               func() lab.ClientCodec // creates the codec of a client connection
	Memory              lab.MemoryBudget       // bounds what is held for clients
	MaxClients          int                    // maximum number of client connections, 0 for no limit
	Log                 zerolog.Logger
	FixedCosts          bool // places reads by fixed costs and learns no limits, see labdirectory.Directory

	directory  *labdirectory.Directory
	subscriber *labsubscriber.Subscriber
	listener   *labtypedlistener.Listener
	relay      *labrelay.Server
	quota      *labquotaclient.Client
	counters   labtypedsession.Counters
	stopping   atomic.Bool
}

// Prepare creates the components of the process. It must be called once, before all other methods.
func (p *Proxy) Prepare() {
	p.directory = &labdirectory.Directory{
		Self: p.Self.ID, AvailabilityZone: p.Self.AvailabilityZone, Region: p.Self.Region, Peers: p.Transport, Dialer: p.Dialer,
		Reachability: &labreachability.Tracker{Clock: p.Clock}, Random: p.Random, Clock: p.Clock, Log: p.Log,
		LeavingPeriod: p.LeavingPeriod, FixedCosts: p.FixedCosts, Memory: p.Memory,
	}

	p.relay = &labrelay.Server{Directory: p.directory, Clock: p.Clock, Log: lablog.NewRequestLogger(p.Log), Memory: p.Memory}
	p.Transport.HandleStream(labrelay.Method, p.relay.Serve)

	p.subscriber = &labsubscriber.Subscriber{
		Proxy: p.Self, Peers: p.Transport, Seeds: p.Seeds, Directory: p.directory, ConfigurationReader: p.ConfigurationReader, Clock: p.Clock,
		RegionByZone: p.RegionByZone, Random: p.Random, Log: p.Log,
	}
	p.directory.OnPrimaryUnreachable = p.subscriber.ReportNow
	p.directory.OnCommitsDrained = p.subscriber.ReportNow
	p.counters.Latency = labmetrics.NewHistogram()
	p.quota = &labquotaclient.Client{
		Instance: p.Self.ID, Peers: p.Transport, Instances: p.subscriber.ControlInstances, Clock: p.Clock,
		Recorder: &labquotarecorder.Recorder{Clock: p.Clock, Log: p.Log},
	}
	p.quota.Prepare()
	p.listener = &labtypedlistener.Listener{
		ListenAddress: p.ListenAddress, Codec: p.Codec, Directory: p.directory, Clock: p.Clock, Log: p.Log,
		RequestLog: lablog.NewRequestLogger(p.Log), Counters: &p.counters,
		Quota: p.quota, StartupWait: startupWait, Memory: p.Memory, MaxConnections: p.MaxClients,
	}
}

// Ready reports whether the proxy accepts new clients.
func (p *Proxy) Ready() bool {
	return !p.stopping.Load() && p.directory.Ready()
}

// Publish adds the process's counters to a map.
func (p *Proxy) Publish(m *expvar.Map) {
	p.counters.Publish(m)
	p.quota.Recorder.Publish(m)
	p.directory.Permissions().Publish(m)
	m.Set("members", expvar.Func(func() any { return p.directory.Measurements() }))
	m.Set("callers", &p.listener.OpenConnections)
	m.Set("startups_refused", &p.listener.RefusedStartups)
	m.Set("clients_over_limit", &p.listener.RefusedConnections)
	m.Set("clients_closed_for_memory", &p.listener.ClosedForMemory)
	m.Set("messages_not_finished", &p.listener.UnfinishedMessages)
}

// Run serves until the context ends, then stops gracefully.
func (p *Proxy) Run(ctx context.Context) error {
	// The components run until the drain has finished, so their context isn't cancelled with ctx.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return p.listener.Run(serving) })
	g.Go(func() error { return p.subscriber.Run(serving) })
	g.Go(func() error { return p.maintain(serving) })
	g.Go(func() error { return p.quota.Run(serving) })
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

// drain reports the proxy as not ready, waits for notReadyPeriod or two fifths of the drain grace period, whichever is
// shorter, and then closes the sessions. In the first half of the drain grace period it closes only sessions outside a
// transaction, afterwards also those that are idle in a transaction. Statements of other proxies run on until there are no
// sessions or that half is over; drain then waits for those that have begun.
func (p *Proxy) drain(ctx context.Context) {
	p.stopping.Store(true)
	p.Log.Info().Msg("stop_started")

	notReady := min(notReadyPeriod, p.DrainGracePeriod*2/5)
	refuseAfter := p.DrainGracePeriod/2 - notReady
	start := time.Now()

	select {
	case <-ctx.Done():
		return
	case <-time.After(notReady):
	}

	p.subscriber.AnnounceDraining()
	defer time.AfterFunc(refuseAfter, p.relay.Stop).Stop()

	p.drainSessions(ctx, start, refuseAfter)
	p.relay.Stop()

	ctx, cancel := context.WithTimeout(ctx, p.DrainGracePeriod-relayMargin-time.Since(start))
	defer cancel()

	if err := p.Transport.Drain(ctx); err != nil {
		p.Log.Warn().Err(err).Msg("relayed_statements_cut")
	}
}

func (p *Proxy) drainSessions(ctx context.Context, start time.Time, refuseAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, p.DrainGracePeriod-exitMargin-time.Since(start))
	defer cancel()

	p.listener.Drain(ctx, refuseAfter)
}
