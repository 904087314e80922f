package labentry

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
	"laburnumlock.dev/lab/proxy/connection/labdialogue"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const (
	// readBuffer is the size of gnet's buffers; a statement has a few hundred bytes.
	readBuffer = 16 << 10
	// maxPending bounds the bytes of a caller that sends more than it waits for: two of the largest messages.
	maxPending = 2 << 20
	// startupLimit is how long a connection may take to say what it wants.
	startupLimit = 5 * time.Second
	sweepEvery   = time.Second
	stopLimit    = 2 * time.Second
	drainPoll    = 20 * time.Millisecond
)

// Entry serves callers; exported fields are set before Run.
type Entry struct {
	Listen    string // host:port
	Codec     func() lab.ClientCodec
	Directory *labdirectory.Directory
	Clock     lab.Clock
	Log       zerolog.Logger
	Requests  zerolog.Logger // for lines about single requests
	Sessions  *labdialogue.Counters
	// StartupWait is how long a startup waits for the first document.
	StartupWait time.Duration

	Open    expvar.Int
	Refused expvar.Int

	gnet.BuiltinEventEngine

	engine   gnet.Engine
	booted   chan struct{}
	draining atomic.Bool
	hurried  atomic.Bool // transactions are ended too
	mutex    sync.Mutex
	callers  map[*caller]struct{}
}

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	// gnet shares ports, so a port in use would go unnoticed.
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.Listen)
	if err != nil {
		return errors.Newf("listen for callers: %w", err)
	}

	if err := l.Close(); err != nil {
		return errors.Newf("release caller address: %w", err)
	}

	e.booted = make(chan struct{})
	e.callers = map[*caller]struct{}{}

	stop := context.AfterFunc(ctx, func() {
		<-e.booted

		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
		defer cancel()

		_ = e.engine.Stop(limited) // what is left closes with the process
	})
	defer stop()

	err = gnet.Run(e, "tcp://"+e.Listen,
		gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(readBuffer), gnet.WithWriteBufferCap(readBuffer), gnet.WithTicker(true),
		gnet.WithLogLevel(logging.ErrorLevel),
	)

	return errors.Wrap(err, "serve callers")
}

// OnBoot keeps the engine.
func (e *Entry) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	close(e.booted)

	return gnet.None
}

// OnOpen starts a caller's connection.
func (e *Entry) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	n := &caller{entry: e, socket: c, codec: e.Codec(), opened: time.Now()}
	c.SetContext(n)
	e.Open.Add(1)

	e.mutex.Lock()
	e.callers[n] = struct{}{}
	e.mutex.Unlock()

	return nil, gnet.None
}

// OnTraffic passes received bytes to the caller's session.
func (e *Entry) OnTraffic(c gnet.Conn) gnet.Action {
	n, ok := c.Context().(*caller)
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
func (e *Entry) OnClose(c gnet.Conn, _ error) gnet.Action {
	n, ok := c.Context().(*caller)
	if !ok {
		return gnet.None
	}

	e.Open.Add(-1)

	e.mutex.Lock()
	delete(e.callers, n)
	e.mutex.Unlock()

	n.close()

	return gnet.None
}

// OnTick closes connections that have not said what they want.
func (e *Entry) OnTick() (time.Duration, gnet.Action) {
	for _, n := range e.all() {
		if n.overdue() {
			n.hangUp()
		}
	}

	return sweepEvery, gnet.None
}

func (e *Entry) all() []*caller {
	e.mutex.Lock()
	defer e.mutex.Unlock()

	out := make([]*caller, 0, len(e.callers))
	for n := range e.callers {
		out = append(out, n)
	}

	return out
}

// Drain closes each session as soon as no operation and no transaction is open, and from hurry on also those whose
// transaction waits for the caller. It returns when no session is left or the context ends.
func (e *Entry) Drain(ctx context.Context, hurry time.Duration) {
	e.draining.Store(true)
	e.Log.Info().Int64("open", e.Open.Value()).Msg("drain_started")

	start := time.Now()

	for e.Open.Value() > 0 && ctx.Err() == nil {
		if time.Since(start) >= hurry {
			e.hurried.Store(true)
		}

		for _, n := range e.all() {
			n.leave()
		}

		time.Sleep(drainPoll)
	}

	e.Log.Info().Int64("open", e.Open.Value()).Dur("after", time.Since(start)).Msg("drain_ended")
}
