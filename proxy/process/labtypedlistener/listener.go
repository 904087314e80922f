package labtypedlistener

import (
	"container/list"
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
	// messagePauseTimeout bounds the time in which no byte of a message that has begun arrives. A client that sends a message
	// pauses only while its packets are lost and sent again.
	messagePauseTimeout = time.Minute
	// messageTimeout bounds the time for one message: 1 MiB in 10 minutes is 14 kbit/s.
	messageTimeout = 10 * time.Minute
	// operationCopies is the number of copies of a message that its operation takes: the decoded text, the statement
	// for the member, and two while it is encoded for another proxy.
	operationCopies = 4
	// unsentCopies is the memory for a byte of an unsent response: gnet keeps responses in buffers with a power of two.
	unsentCopies = 2
	// restartPause is the time before the listener is opened again after gnet has ended.
	restartPause = 100 * time.Millisecond
	// sweepInterval is the interval at which connections are checked for startupTimeout.
	sweepInterval     = time.Second
	stopTimeout       = 2 * time.Second // bounds the wait for gnet to stop
	drainPollInterval = 20 * time.Millisecond
	// unsentTimeout bounds the time for the last responses of a connection that closes: 1 MiB takes 4.2 s at 2 Mbit/s.
	unsentTimeout      = 5 * time.Second
	unsentPollInterval = 10 * time.Millisecond
	// finishTimeout bounds the wait for the last answers of a drain to be sent.
	finishTimeout = 200 * time.Millisecond
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

	// Memory bounds what is received from clients and not sent to them yet.
	Memory lab.MemoryBudget
	// MaxConnections bounds the open connections, 0 for no limit. Beyond it, connections without a session are closed, the
	// oldest first, and new ones are refused if all have a session.
	MaxConnections int

	OpenConnections    expvar.Int
	RefusedStartups    expvar.Int
	RefusedConnections expvar.Int // connections refused or closed because of MaxConnections
	ClosedForMemory    expvar.Int // connections closed because the memory budget was exceeded
	UnfinishedMessages expvar.Int // connections closed because a message did not end

	gnet.BuiltinEventEngine

	engine      gnet.Engine   // of the first run of gnet, or of a later one; mutex guards it
	started     chan struct{} // closed when engine is set
	start       sync.Once
	draining    atomic.Bool
	refusing    atomic.Bool // a drain closes sessions that are idle in a transaction, and refuses new statements
	mutex       sync.Mutex
	connections map[*connection]struct{}
	waiting     list.List // connections without a session, the oldest first
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

		l.mutex.Lock()
		e := l.engine
		l.mutex.Unlock()

		_ = e.Stop(limited) // connections that are still open are closed when the process exits
	})
	defer stop()

	// With the option for shared ports the event loop itself accepts connections. Otherwise another goroutine does, and a
	// burst takes descriptors before the event loop gets to closing connections beyond MaxConnections.
	for first := true; ; first = false {
		err = gnet.Run(l, "tcp://"+l.ListenAddress,
			gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithReusePort(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(readBufferBytes), gnet.WithTicker(true),
			gnet.WithLogLevel(logging.ErrorLevel),
		)
		if ctx.Err() != nil || (first && err != nil) {
			return errors.Wrap(err, "serve clients")
		}

		// gnet closes all connections and returns without an error when it can't accept one since no descriptor is left.
		l.Log.Error().AnErr("error", err).Msg("client_listener_restarted")
		time.Sleep(restartPause)
	}
}

// OnBoot stores the engine, which Run needs to stop it.
func (l *Listener) OnBoot(engine gnet.Engine) gnet.Action {
	l.mutex.Lock()
	l.engine = engine
	l.mutex.Unlock()

	l.start.Do(func() { close(l.started) })

	return gnet.None
}

// OnOpen registers a new client connection.
func (l *Listener) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !l.makeRoom() {
		return l.Codec().AppendRefusal(nil, lab.FaultTooManyConnections, "the proxy has too many clients"), gnet.Close
	}

	n := &connection{listener: l, socket: c, codec: l.Codec(), opened: time.Now()}
	n.account = l.Memory.Open(n.evict)
	c.SetContext(n)
	l.OpenConnections.Add(1)

	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.connections[n] = struct{}{}
	n.waiting = l.waiting.PushBack(n)

	return nil, gnet.None
}

// makeRoom reports whether a new connection may be opened. At the limit it closes the oldest connection without a session.
func (l *Listener) makeRoom() bool {
	l.mutex.Lock()

	full := l.MaxConnections > 0 && len(l.connections) >= l.MaxConnections
	first := l.waiting.Front()

	if full && first != nil {
		l.waiting.Remove(first)
	}

	l.mutex.Unlock()

	if !full {
		return true
	}

	l.RefusedConnections.Add(1)
	l.RequestLog.Warn().Int("limit", l.MaxConnections).Bool("closed_other", first != nil).Msg("too_many_clients")

	if first == nil {
		return false
	}

	if n, ok := first.Value.(*connection); ok {
		n.closeNow()
	}

	return true
}

// sessionStarted records that a connection has a session.
func (l *Listener) sessionStarted(n *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if n.waiting != nil {
		l.waiting.Remove(n.waiting)
		n.waiting = nil
	}
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

	l.sessionStarted(n) // it no longer waits for one
	n.close()

	return gnet.None
}

// OnTick closes the connections that have sent no startup message within startupTimeout or don't go on with a message, and
// idle ones whose client's key was removed from the configuration.
func (l *Listener) OnTick() (time.Duration, gnet.Action) {
	for _, n := range l.connectionList() {
		n.countUnsentLater()

		switch {
		case n.startupTimedOut():
			n.closeNow()
		case n.messageTimedOut():
			l.UnfinishedMessages.Add(1)
			l.RequestLog.Info().Msg("message_not_finished")
			n.closeNow()
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

// Drain closes each session as soon as the session runs no operation and has no open transaction, together with the answer to
// its last request. Once the time refuseAfter has passed, Drain also closes sessions that are idle in a transaction, and the
// sessions refuse further statements, so that those of clients that send requests ahead come to rest as well. It returns when
// no connection is left or the context ends. Operations that run then are answered with an unknown outcome.
func (l *Listener) Drain(ctx context.Context, refuseAfter time.Duration) {
	l.draining.Store(true)
	l.Log.Info().Int64("open", l.OpenConnections.Value()).Msg("drain_started")

	start := time.Now()

	for l.OpenConnections.Value() > 0 && ctx.Err() == nil {
		if time.Since(start) >= refuseAfter {
			l.refusing.Store(true)
		}

		for _, n := range l.connectionList() {
			n.closeIfIdle()
		}

		time.Sleep(drainPollInterval)
	}

	l.Log.Info().Int64("open", l.OpenConnections.Value()).Dur("after", time.Since(start)).Msg("drain_ended")
	l.finish()
}

// finish closes the connections that are left at the end of a drain. Each request that was read gets an answer.
func (l *Listener) finish() {
	for _, n := range l.connectionList() {
		n.finish()
	}

	for end := time.Now().Add(finishTimeout); l.OpenConnections.Value() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}
