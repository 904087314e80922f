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
	// maxPendingBytes bounds the bytes of a caller that sends more than it waits for: two of the largest messages.
	maxPendingBytes = 2 << 20
	// startupTimeout is how long a connection may take to say what it wants.
	startupTimeout    = 5 * time.Second
	sweepInterval     = time.Second
	stopTimeout       = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Listener serves callers; exported fields are set before Run.
type Listener struct {
	Address    string // host:port
	Codec      func() lab.ClientCodec
	Directory  *labdirectory.Directory
	Clock      lab.Clock
	Log        zerolog.Logger
	RequestLog zerolog.Logger // for lines about single requests
	Counters   *labtypedsession.Counters
	// StartupWait is how long a startup waits for the first document.
	StartupWait time.Duration

	OpenConnections expvar.Int
	RefusedStartups expvar.Int

	gnet.BuiltinEventEngine

	engine             gnet.Engine
	started            chan struct{}
	draining           atomic.Bool
	closeInTransaction atomic.Bool // transactions are ended too
	mutex              sync.Mutex
	connections        map[*connection]struct{}
}

// Run serves until the context ends.
func (l *Listener) Run(ctx context.Context) error {
	// gnet shares ports, so a port in use would go unnoticed.
	probe, err := (&net.ListenConfig{}).Listen(ctx, "tcp", l.Address)
	if err != nil {
		return errors.Newf("listen for callers: %w", err)
	}

	if err := probe.Close(); err != nil {
		return errors.Newf("release caller address: %w", err)
	}

	l.started = make(chan struct{})
	l.connections = map[*connection]struct{}{}

	stop := context.AfterFunc(ctx, func() {
		<-l.started

		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()

		_ = l.engine.Stop(limited) // what is left closes with the process
	})
	defer stop()

	err = gnet.Run(l, "tcp://"+l.Address,
		gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(readBufferBytes), gnet.WithWriteBufferCap(readBufferBytes), gnet.WithTicker(true),
		gnet.WithLogLevel(logging.ErrorLevel),
	)

	return errors.Wrap(err, "serve callers")
}

// OnBoot keeps the engine.
func (l *Listener) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	close(l.started)

	return gnet.None
}

// OnOpen starts a caller's connection.
func (l *Listener) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	n := &connection{listener: l, socket: c, codec: l.Codec(), opened: time.Now()}
	c.SetContext(n)
	l.OpenConnections.Add(1)

	l.mutex.Lock()
	l.connections[n] = struct{}{}
	l.mutex.Unlock()

	return nil, gnet.None
}

// OnTraffic passes received bytes to the caller's session.
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

// OnClose ends the caller's session.
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

// OnTick closes connections that have not said what they want.
func (l *Listener) OnTick() (time.Duration, gnet.Action) {
	for _, n := range l.connectionList() {
		if n.startupTimedOut() {
			n.closeAfterWrites()
		}
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

// Drain closes each session as soon as no operation and no transaction is open, and from hurry on also those whose
// transaction waits for the caller. It returns when no session is left or the context ends.
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
