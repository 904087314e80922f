package labtransport

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

var errDial = errors.New("dial failed")

// Guards against restarting a handshake that takes longer than a statement waits for the connection. 20 statements in a
// row, each waiting 5 ms, must share one connection attempt.
func TestLink(t *testing.T) {
	var dials atomic.Int64

	finish := make(chan struct{})
	l := &link{address: "a", dial: func(ctx context.Context, _ string) (*quic.Conn, error) {
		dials.Add(1)

		select {
		case <-finish:
			return nil, errDial
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}

	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		_, err := l.connection(ctx)
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !l.connected())
		l.currentOrDial()
	}

	assert.Equal(t, dials.Load(), int64(1))

	waited := make(chan error, 1)

	go func() {
		_, err := l.connection(t.Context())
		waited <- err
	}()

	time.Sleep(10 * time.Millisecond)
	close(finish)
	assert.ErrorIs(t, <-waited, errDial)

	_, err := l.connection(t.Context())
	assert.ErrorIs(t, err, errDial)
	assert.Equal(t, dials.Load(), int64(2))
}
