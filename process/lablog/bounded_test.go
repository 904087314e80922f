package lablog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a log call that blocks because the reader of the log output has stopped.
func TestBounded(t *testing.T) {
	r, w := io.Pipe() // each write blocks until it is read
	b := NewNonBlockingWriter(w, func(int) {})
	line := []byte(strings.Repeat("x", 200) + "\n")
	done := make(chan struct{})

	go func() {
		for range 10 * maxBufferedLines {
			_, _ = b.Write(line)
		}

		close(done)
	}()

	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a log line blocked")
	}

	assert.NilError(t, r.Close())
}

// Guards against log output without limit when an overloaded proxy rejects many requests.
func TestRequests(t *testing.T) {
	var out bytes.Buffer

	l, err := New(&out, "info", "a")
	assert.NilError(t, err)

	l = NewRequestLogger(l)
	for range 10 * maxRequestLinesPerSecond {
		l.Info().Msg("failed")
	}

	n := bytes.Count(out.Bytes(), []byte("\n"))
	assert.Assert(t, n >= maxRequestLinesPerSecond && n <= 2*maxRequestLinesPerSecond, "%d lines", n)
}
