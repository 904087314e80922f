package labhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	readTimeout     = 10 * time.Second
	shutdownTimeout = 5 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Server serves one handler at one address; exported fields are set before Listen.
type Server struct {
	Address string // host:port; port 0 picks one
	Handler http.Handler
	TLS     *tls.Config // nil for plain HTTP

	listener net.Listener
}

// Listen opens the listener, so that Bound is known before Run.
func (s *Server) Listen(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return errors.Newf("listen for HTTP: %w", err)
	}

	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}

	s.listener = l

	return nil
}

// BoundAddress returns the host:port in use after Listen.
func (s *Server) BoundAddress() string {
	return s.listener.Addr().String()
}

// Run serves until the context ends; requests in progress are answered first.
func (s *Server) Run(ctx context.Context) error {
	h := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}

	stopped := make(chan struct{})

	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)

		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()

		_ = h.Shutdown(late) // what is still open then is closed with the process
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
