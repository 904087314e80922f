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

// Defaults for the limits of a Listener.
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
	drainPollInterval = 5 * time.Millisecond
	stopTimeout       = 5 * time.Second
)

// ErrNotRunning is returned by Drain when the listener has not started to listen.
var ErrNotRunning = errors.New("listener is not running")

// Listener accepts client connections and opens a session for each. Its exported fields are set before Run.
type Listener struct {
	ListenAddress string             // host:port; port 0 chooses a free port
	Server        *labsession.Server // opens the sessions
	Log           zerolog.Logger
	EventLoops    int // number of event loops; 0 means one per CPU

	// Limits; zero values mean the defaults.
	MaxConnections   int           // number of open connections above which new ones are refused
	StartupDeadline  time.Duration // longest time from accept to the end of authentication
	ProgressDeadline time.Duration // a client that reads nothing of a pending response for this time is disconnected
	OutboundLimit    int           // unsent bytes above which Write blocks, unless the organisation sets its own limit
	KeepAlive        time.Duration // idle time after which TCP keepalive probes are sent

	Counters Counters

	engine       gnet.Engine
	boundAddress atomic.Pointer[string]
	draining     atomic.Bool
	shards       [shardCount]shard
}

// Run listens until the context ends and then closes the connections that are still open.
func (l *Listener) Run(ctx context.Context) error {
	if err := checkAddress(ctx, l.ListenAddress); err != nil {
		return err
	}

	l.setDefaults()

	stopped := make(chan struct{})
	defer close(stopped)

	h := &handler{listener: l, started: make(chan struct{})}

	go func() {
		select {
		case <-stopped:
			return
		case <-h.started:
		}

		select {
		case <-stopped:
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer cancel()

			_ = l.engine.Stop(stopCtx)
		}
	}()

	err := gnet.Run(h, "tcp://"+l.ListenAddress,
		gnet.WithMulticore(true),
		gnet.WithNumEventLoop(l.EventLoops),
		gnet.WithTicker(true),
		gnet.WithReuseAddr(true), // closed connections of an earlier process may still occupy the port
		gnet.WithTCPKeepAlive(l.KeepAlive),
		gnet.WithTCPKeepInterval(keepAliveInterval),
		gnet.WithTCPKeepCount(keepAliveProbes),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(logger{log: l.Log}),
	)
	if err != nil {
		return errors.Newf("listen on %s: %w", l.ListenAddress, err)
	}

	return nil
}

func (l *Listener) setDefaults() {
	for i := range l.shards {
		l.shards[i].reset()
	}

	if l.MaxConnections == 0 {
		l.MaxConnections = DefaultMaxConnections
	}

	if allowed := descriptorLimit(); l.MaxConnections > allowed {
		l.Log.Warn().Int("max_connections", l.MaxConnections).Int("possible", allowed).Msg("too_few_descriptors")
		l.MaxConnections = allowed
	}

	if l.StartupDeadline == 0 {
		l.StartupDeadline = DefaultStartupDeadline
	}

	if l.ProgressDeadline == 0 {
		l.ProgressDeadline = DefaultProgressDeadline
	}

	if l.OutboundLimit == 0 {
		l.OutboundLimit = DefaultOutboundLimit
	}

	if l.KeepAlive == 0 {
		l.KeepAlive = DefaultKeepAlive
	}
}

// BoundAddress returns the host:port that the listener is bound to. It is empty before Run has started to listen.
func (l *Listener) BoundAddress() string {
	if address := l.boundAddress.Load(); address != nil {
		return *address
	}

	return ""
}

// Drain refuses new connections and closes each session when its current transaction has ended. It returns nil when all
// connections are closed, or an error when the context ends before.
func (l *Listener) Drain(ctx context.Context) error {
	if l.BoundAddress() == "" {
		return ErrNotRunning
	}

	l.draining.Store(true)
	l.Log.Info().Str("address", l.BoundAddress()).Int64("open", l.Counters.Open.Value()).Msg("drain_started")

	for i := range l.shards {
		for _, c := range l.shards[i].openConnections() {
			c.session.Drain()
		}
	}

	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()

	for l.Counters.Open.Value() > 0 {
		select {
		case <-ctx.Done():
			return errors.Newf("drain with %d connections open: %w", l.Counters.Open.Value(), ctx.Err())
		case <-ticker.C:
		}
	}

	l.Log.Info().Str("address", l.BoundAddress()).Msg("drain_done")

	return nil
}

// listenAddress returns the host:port that the engine listens on.
func listenAddress(e gnet.Engine) (string, error) {
	fd, err := e.Dup()
	if err != nil {
		return "", errors.Newf("duplicate listener descriptor: %w", err)
	}

	listener, err := fileListener(fd)
	if err != nil {
		return "", err
	}

	defer func(l net.Listener) { _ = l.Close() }(listener)

	return listener.Addr().String(), nil
}
