package labedge

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
	"laburnumlock.dev/lab/proxy/connection/labdialogue"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
	"laburnumlock.dev/lab/proxy/process/labentry"
	"laburnumlock.dev/lab/proxy/process/labreach"
	"laburnumlock.dev/lab/proxy/process/labrelay"
	"laburnumlock.dev/lab/proxy/process/labsubscriber"
)

const (
	// startupWait is below the 2 s after which callers give a startup up.
	startupWait = 1500 * time.Millisecond
	// noticeTime is how long a stopping proxy serves on as usual, until the balancer has seen that it is not ready:
	// two of its questions, one a second, and a little.
	noticeTime = 2300 * time.Millisecond
	// exitMargin is kept of the grace time for closing connections.
	exitMargin = 700 * time.Millisecond
)

// Edge is one proxy process; exported fields are set before Run.
type Edge struct {
	Self   lab.Instance
	Listen string // host:port for callers

	Seeds     func() []string // process addresses of some control instances
	Grace     time.Duration   // from a stop to its end by force
	Transport *labtransport.Transport
	Clock     lab.Clock
	Random    lab.Random
	Documents lab.ConfigurationReader
	Dialer    lab.MemberDialer
	Codec     func() lab.ClientCodec
	Log       zerolog.Logger

	directory  *labdirectory.Directory
	subscriber *labsubscriber.Subscriber
	entry      *labentry.Entry
	sessions   labdialogue.Counters
	stopping   atomic.Bool
}

// Prepare connects the parts; it is called once, before all other methods.
func (e *Edge) Prepare() {
	e.directory = &labdirectory.Directory{
		Self: e.Self.ID, AvailabilityZone: e.Self.AvailabilityZone, Region: e.Self.Region, Peers: e.Transport, Dialer: e.Dialer,
		Reachability: &labreach.Tracker{Clock: e.Clock}, Random: e.Random, Clock: e.Clock, Log: e.Log,
	}

	relay := &labrelay.Server{Directory: e.directory, Clock: e.Clock, Log: lablog.NewRequestLogger(e.Log)}
	e.Transport.HandleStream(labrelay.Method, relay.Serve)

	e.subscriber = &labsubscriber.Subscriber{
		Proxy: e.Self, Peers: e.Transport, Seeds: e.Seeds, Directory: e.directory, Documents: e.Documents, Log: e.Log,
	}
	e.directory.OnPrimaryUnreachable = e.subscriber.Kick
	e.sessions.Latency = labmetrics.NewHistogram()
	e.entry = &labentry.Entry{
		Listen: e.Listen, Codec: e.Codec, Directory: e.directory, Clock: e.Clock, Log: e.Log,
		Requests: lablog.NewRequestLogger(e.Log), Sessions: &e.sessions,
		StartupWait: startupWait,
	}
}

// Ready reports whether new callers should come here.
func (e *Edge) Ready() bool {
	return !e.stopping.Load() && e.directory.Ready()
}

// Publish adds the process's counters to a map.
func (e *Edge) Publish(m *expvar.Map) {
	e.sessions.Publish(m)
	m.Set("callers", &e.entry.Open)
	m.Set("startups_refused", &e.entry.Refused)
}

// Run serves until the context ends, then stops gracefully.
func (e *Edge) Run(ctx context.Context) error {
	// Serving goes on while a stop drains.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return e.entry.Run(serving) })
	g.Go(func() error { return e.subscriber.Run(serving) })
	g.Go(func() error { return e.tend(serving) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}

		e.drain(serving)
		stop()

		return nil
	})

	return errors.Wrap(g.Wait(), "run proxy")
}

// drain lets the balancer notice, then ends the sessions: those between transactions first, in the last part of the
// first half of the grace time also those that rest inside one.
func (e *Edge) drain(ctx context.Context) {
	e.stopping.Store(true)
	e.Log.Info().Msg("stop_started")

	notice := min(noticeTime, e.Grace*2/5)
	start := time.Now()

	select {
	case <-ctx.Done():
		return
	case <-time.After(notice):
	}

	e.subscriber.Leave()

	ctx, cancel := context.WithTimeout(ctx, e.Grace-exitMargin-time.Since(start))
	defer cancel()

	e.entry.Drain(ctx, e.Grace/2-notice)
}
