package labtypedlistener

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const (
	// readBufferBytes is the size of gnet's buffers; a statement has a few hundred bytes.
	readBufferBytes = 16 << 10
	// maxPendingBytes bounds the unhandled bytes of a client that sends messages without waiting for the responses: two
	// messages of the maximum size.
	maxPendingBytes = 2 << 20
	// maxUnreadBytes bounds the responses that are kept for a client which has sent further requests since. A client that
	// waits for each response keeps none; 120 clients that never read need 31 MB in all.
	maxUnreadBytes = 256 << 10
	// startupTimeout bounds the time from the opening of a connection until its startup message.
	startupTimeout = 5 * time.Second
	// sweepInterval is the interval at which connections are checked for startupTimeout.
	sweepInterval     = time.Second
	stopTimeout       = 2 * time.Second // bounds the wait for gnet to stop
	drainPollInterval = 20 * time.Millisecond
)

// Listener serves client connections; exported fields are set before Run.
type Listener struct {
	ListenAddress string                 // host:port that clients connect to
	Codec         func() lab.ClientCodec // creates the codec of a connection
	Directory     *labdirectory.Directory
	Clock         lab.Clock
	Log           zerolog.Logger
	RequestLog    zerolog.Logger // receives the log lines about single requests
	Counters      *labtypedsession.Counters
	Quota         lab.OperationQuota // quotas of the organisations
	// StartupWait is how long a startup waits for the first configuration.
	StartupWait time.Duration

	OpenConnections expvar.Int
	RefusedStartups expvar.Int

	gnet.BuiltinEventEngine

	engine             gnet.Engine
	started            chan struct{} // closed when engine is set
	draining           atomic.Bool
	closeInTransaction atomic.Bool // whether a drain also closes sessions that are idle in a transaction
	mutex              sync.Mutex
	connections        map[*connection]struct{}
}

// Run serves until the context ends.
func (l *Listener) Run(ctx context.Context) error {
	// gnet opens its socket in a way that lets several processes share the port, so it wouldn't report a port that is
	// already in use. The test listener reports it.
	probe, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.ListenAddress)
	if err != nil {
		return errors.Newf("listen for clients: %w", err)
	}

	if err := probe.Close(); err != nil {
		return errors.Newf("close the test listener of the client address: %w", err)
	}

	l.started = make(chan struct{})
	l.connections = map[*connection]struct{}{}

	stop := context.AfterFunc(ctx, func() {
		<-l.started

		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()

		_ = l.engine.Stop(limited) // connections that are still open are closed when the process exits
	})
	defer stop()

	err = gnet.Run(l, "tcp://"+l.ListenAddress,
		gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(readBufferBytes), gnet.WithTicker(true),
		gnet.WithLogLevel(logging.ErrorLevel),
	)

	return errors.Wrap(err, "serve clients")
}

// OnBoot stores the engine, which Run needs to stop it.
func (l *Listener) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	close(l.started)

	return gnet.None
}

// OnOpen registers a new client connection.
func (l *Listener) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	n := &connection{listener: l, socket: c, codec: l.Codec(), opened: time.Now()}
	c.SetContext(n)
	l.OpenConnections.Add(1)

	l.mutex.Lock()
	l.connections[n] = struct{}{}
	l.mutex.Unlock()

	return nil, gnet.None
}

// OnTraffic passes received bytes to the connection.
func (l *Listener) OnTraffic(c gnet.Conn) gnet.Action {
	n, ok := c.Context().(*connection)
	if !ok {
		return gnet.Close
	}

	b, err := c.Next(-1)
	if err != nil || !n.receive(b) {
		return gnet.Close
	}

	return gnet.None
}

// OnClose removes a closed connection and ends its session.
func (l *Listener) OnClose(c gnet.Conn, _ error) gnet.Action {
	n, ok := c.Context().(*connection)
	if !ok {
		return gnet.None
	}

	l.OpenConnections.Add(-1)

	l.mutex.Lock()
	delete(l.connections, n)
	l.mutex.Unlock()

	n.close()

	return gnet.None
}

// OnTick closes the connections that have sent no startup message within startupTimeout, and idle ones whose client's key
// was removed from the configuration.
func (l *Listener) OnTick() (time.Duration, gnet.Action) {
	for _, n := range l.connectionList() {
		if n.startupTimedOut() {
			n.closeAfterWrites()
		}

		n.closeIfUnauthorised()
	}

	return sweepInterval, gnet.None
}

func (l *Listener) connectionList() []*connection {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	out := make([]*connection, 0, len(l.connections))
	for n := range l.connections {
		out = append(out, n)
	}

	return out
}

// Drain closes each session as soon as the session runs no operation and has no open transaction. Once the time
// transactionsAfter has passed, Drain also closes sessions that are idle in a transaction. It returns when no
// connection is left or the context ends.
func (l *Listener) Drain(ctx context.Context, transactionsAfter time.Duration) {
	l.draining.Store(true)
	l.Log.Info().Int64("open", l.OpenConnections.Value()).Msg("drain_started")

	start := time.Now()

	for l.OpenConnections.Value() > 0 && ctx.Err() == nil {
		if time.Since(start) >= transactionsAfter {
			l.closeInTransaction.Store(true)
		}

		for _, n := range l.connectionList() {
			n.closeIfIdle()
		}

		time.Sleep(drainPollInterval)
	}

	l.Log.Info().Int64("open", l.OpenConnections.Value()).Dur("after", time.Since(start)).Msg("drain_ended")
}
