package labhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labmemorybudget"
)

const testTimeout = 5 * time.Second

func startServer(t *testing.T, memory int64, connections int) *Server {
	t.Helper()

	s := &Server{
		Address: "127.0.0.1:0", Memory: &labmemorybudget.Budget{Limit: memory, Clock: labclock.New()}, MaxConnections: connections,
		Log: zerolog.Nop(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "ok")
		}),
	}
	assert.NilError(t, s.Listen(t.Context()))

	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan struct{})

	go func() { defer close(stopped); _ = s.Run(ctx) }()

	t.Cleanup(func() { stop(); <-stopped })

	return s
}

func connect(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", s.BoundAddress())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))

	_, err = io.WriteString(c, text)
	assert.NilError(t, err)

	return c
}

func assertEnded(t *testing.T, c net.Conn) {
	t.Helper()

	_, err := io.Copy(io.Discard, c)
	if n, ok := err.(net.Error); ok { //nolint:errorlint // the connection returns it as it is
		assert.Assert(t, !n.Timeout(), "the connection is open")
	}
}

func assertAnswered(t *testing.T, c net.Conn) {
	t.Helper()

	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusOK)

	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
}

// TestLimits guards against clients that use up the descriptors or the memory of a process, and against ordinary clients
// that are closed in their place.
func TestLimits(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

	t.Run("connections", func(t *testing.T) {
		s := startServer(t, 0, 2)
		silent := connect(t, s, "GET /")
		kept := connect(t, s, request)
		assertAnswered(t, kept)
		assertAnswered(t, connect(t, s, request))
		assertEnded(t, silent)

		_, err := io.WriteString(kept, request)
		assert.NilError(t, err)
		assertAnswered(t, kept)
		assert.Equal(t, s.OverLimit.Value(), int64(1))
	})

	t.Run("memory", func(t *testing.T) {
		s := startServer(t, 256<<10, 0)
		kept := connect(t, s, request)
		assertAnswered(t, kept)

		large := connect(t, s, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 200<<10))
		assertEnded(t, large)

		_, err := io.WriteString(kept, request)
		assert.NilError(t, err)
		assertAnswered(t, kept)
		assert.Equal(t, s.ClosedForMemory.Value(), int64(1))
	})
}
