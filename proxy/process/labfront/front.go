package labfront

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab/proxy/connection/labsession"
)

// Defaults of the limits.
const (
	DefaultMaxConnections   = 20_000
	DefaultStartupDeadline  = 10 * time.Second
	DefaultProgressDeadline = 30 * time.Second
	DefaultOutboundLimit    = 256 << 10 // bytes
	DefaultKeepAlive        = 60 * time.Second
)

const (
	keepAliveProbes   = 3
	keepAliveInterval = 5 * time.Second
	drainPoll         = 5 * time.Millisecond
	stopLimit         = 5 * time.Second
)

// ErrNotRunning is returned when the front has not started to listen or has stopped.
var ErrNotRunning = errors.New("front is not running")

// Front accepts callers. Its fields are set before Run.
type Front struct {
	Listen     string // host:port; port 0 chooses a free one
	Server     *labsession.Server
	Log        zerolog.Logger
	EventLoops int // 0 for one per CPU

	// Limits; zero values mean the defaults.
	MaxConnections   int
	StartupDeadline  time.Duration // from accept to the end of authentication
	ProgressDeadline time.Duration // during which a caller must read a part of its answer
	OutboundLimit    int           // bytes of answer held per connection whose organisation states no limit
	KeepAlive        time.Duration // idle time before TCP keepalive probes

	Counters Counters

	engine   gnet.Engine
	address  atomic.Pointer[string]
	draining atomic.Bool
	shards   [shardCount]shard
}

// Run listens until the context ends; connections still open then are cut.
func (f *Front) Run(ctx context.Context) error {
	if err := probe(ctx, f.Listen); err != nil {
		return err
	}

	f.setDefaults()

	stopped := make(chan struct{})
	defer close(stopped)

	h := &handler{front: f, booted: make(chan struct{})}

	go func() {
		select {
		case <-stopped:
			return
		case <-h.booted:
		}

		select {
		case <-stopped:
		case <-ctx.Done():
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
			defer cancel()

			_ = f.engine.Stop(limited)
		}
	}()

	err := gnet.Run(h, "tcp://"+f.Listen,
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(f.EventLoops),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true), // connections closed by a former process may still occupy the port
		gnet.WithTCPKeepAlive(f.KeepAlive),
		gnet.WithTCPKeepInterval(keepAliveInterval),
		gnet.WithTCPKeepCount(keepAliveProbes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(logger{log: f.Log}),
	)
	if err != nil {
		return errors.Newf("listen on %s: %w", f.Listen, err)
	}

	return nil
}

func (f *Front) setDefaults() {
	for i := range f.shards {
		f.shards[i].reset()
	}

	if f.MaxConnections == 0 {
		f.MaxConnections = DefaultMaxConnections
	}

	if n := descriptorLimit(); f.MaxConnections > n {
		f.Log.Warn().Int("max_connections", f.MaxConnections).Int("possible", n).Msg("too_few_descriptors")
		f.MaxConnections = n
	}

	if f.StartupDeadline == 0 {
		f.StartupDeadline = DefaultStartupDeadline
	}

	if f.ProgressDeadline == 0 {
		f.ProgressDeadline = DefaultProgressDeadline
	}

	if f.OutboundLimit == 0 {
		f.OutboundLimit = DefaultOutboundLimit
	}

	if f.KeepAlive == 0 {
		f.KeepAlive = DefaultKeepAlive
	}
}

// Address returns the host:port listened on, empty before Run has started to listen.
func (f *Front) Address() string {
	if a := f.address.Load(); a != nil {
		return *a
	}

	return ""
}

// Drain refuses new connections and closes each session when its current transaction has ended. It returns when all
// connections are closed, or with the context's error.
func (f *Front) Drain(ctx context.Context) error {
	if f.Address() == "" {
		return ErrNotRunning
	}

	f.draining.Store(true)
	f.Log.Info().Str("address", f.Address()).Int64("open", f.Counters.Open.Value()).Msg("drain_started")

	for i := range f.shards {
		for _, c := range f.shards[i].all() {
			c.session.Drain()
		}
	}

	t := time.NewTicker(drainPoll)
	defer t.Stop()

	for f.Counters.Open.Value() > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("drain with %d connections open: %w", f.Counters.Open.Value(), ctx.Err())
		case <-t.C:
		}
	}

	f.Log.Info().Str("address", f.Address()).Msg("drain_done")

	return nil
}

// listenAddress returns the address of the engine's listener.
func listenAddress(e gnet.Engine) (string, error) {
	fd, err := e.Dup()
	if err != nil {
		return "", errors.Newf("duplicate listener: %w", err)
	}

	l, err := fileListener(fd)
	if err != nil {
		return "", err
	}

	defer func(l net.Listener) { _ = l.Close() }(l)

	return l.Addr().String(), nil
}
