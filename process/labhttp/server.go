package labhttp

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

const (
	readTimeout     = 10 * time.Second
	shutdownTimeout = 5 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Server serves one handler at one address. Its exported fields must be set before Listen is called.
type Server struct {
	Address string // host:port; with port 0 a free port is chosen
	Handler http.Handler
	TLS     *tls.Config // nil for plain HTTP

	// Memory bounds the bytes of requests that are being read; nil for no limits at all.
	Memory lab.MemoryBudget
	// MaxConnections bounds the open connections if Memory is set, 0 for no limit. Beyond it, the connection that has
	// waited longest for a complete request is closed.
	MaxConnections int
	Log            zerolog.Logger // receives a line for each connection that is closed because of a limit

	ClosedForMemory expvar.Int // connections closed because the memory budget was exceeded
	OverLimit       expvar.Int // connections closed because of MaxConnections

	listener net.Listener
	limited  *limitedListener // nil without limits
}

// Listen opens the listener. It must be called before BoundAddress and Run.
func (s *Server) Listen(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return errors.Newf("listen for HTTP: %w", err)
	}

	if s.Memory != nil {
		s.limited = &limitedListener{Listener: l, server: s}
		l = s.limited
	}

	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}

	s.listener = l

	return nil
}

// BoundAddress returns the host:port that the server listens on; it must be called after Listen.
func (s *Server) BoundAddress() string {
	return s.listener.Addr().String()
}

// Run serves until the context ends. It then lets the requests in progress complete, for at most shutdownTimeout.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}

	if s.limited != nil {
		h.WriteTimeout, h.ConnState = writeTimeout, s.limited.observe
	}

	stopped := make(chan struct{})

	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)

		shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()

		_ = h.Shutdown(shutdown) // connections that are still open afterwards are closed when the process exits
	})

	err := h.Serve(s.listener)
	if !stop() {
		<-stopped
	}

	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Newf("serve HTTP: %w", err)
	}

	return nil
}
