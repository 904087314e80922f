package labmetrics

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 5 * time.Second

// Server serves one process's variables as JSON at /debug/vars; set Address and Variables before Run.
type Server struct {
	Address   string      // host:port, a loopback address by default settings
	Variables *expvar.Map // not registered globally, so that several instances can live in one process

	listener net.Listener
}

// Listen opens the listener, so that Address with port 0 can be read by Bound before Run.
func (s *Server) Listen(ctx context.Context) error {
	var c net.ListenConfig

	l, err := c.Listen(ctx, "tcp", s.Address)
	if err != nil {
		return errors.Newf("listen for metrics: %w", err)
	}

	s.listener = l

	return nil
}

// Bound returns the address in use after Listen.
func (s *Server) Bound() string {
	return s.listener.Addr().String()
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.Variables.String())) // the reader may have gone
	})

	h := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}

	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()

	err := h.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Newf("serve metrics: %w", err)
	}

	return nil
}
