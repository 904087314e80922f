package labtransport_test

import (
	"context"
	"expvar"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labtransport"

	"github.com/rs/zerolog"
)

const methodEnds lab.Method = "ends"

// startEndingTransport serves streams whose handler reads one message and then ends in the way that the header names.
func startEndingTransport(t *testing.T, folder string) *labtransport.Transport {
	t.Helper()

	tr := &labtransport.Transport{Address: "127.0.0.1:0", Identity: &labkeys.Identity{Folder: folder, Name: "b"}, Log: zerolog.Nop()}
	tr.HandleStream(methodEnds, func(_ context.Context, _ lab.InstanceID, decode func(any) error, s lab.Stream) error {
		var way string
		if err := decode(&way); err != nil {
			return err
		}

		_, _ = s.Read(make([]byte, 1))
		_, _ = s.Write([]byte("y"))

		switch way {
		case "error":
			return errors.New("handler fails")
		case "panic":
			panic("malformed message")
		case "wait":
			_, _ = s.Read(make([]byte, 1)) // until the peer has cancelled
		}

		return nil
	})
	tr, _ = startTransportWith(t, tr)

	return tr
}

// openStreams returns the number of open streams of a kind, served or opened, by a transport's metrics.
func openStreams(tr *labtransport.Transport, kind string) int64 {
	m, _ := tr.Variables().Get(kind + "_streams_open").(*expvar.Map)
	if v, ok := m.Get(string(methodEnds)).(*expvar.Int); ok {
		return v.Value()
	}

	return 0
}

// TestStreamsEnd guards against streams that stay at one of the two processes after their handler has returned or their sender has
// ended them. Each relayed statement left one at the gateway, until the gateway was out of memory.
func TestStreamsEnd(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	sender, gateway := startTransport(t, folder, "a"), startEndingTransport(t, folder)

	play := func(way string, cancels bool) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()

		s, err := sender.Open(ctx, gateway.BoundAddress(), methodEnds, way)
		assert.NilError(t, err)

		_, _ = s.Write([]byte("x"))
		_, _ = s.Read(make([]byte, 1))

		if cancels {
			s.Cancel()
		} else {
			_ = s.Close() // fails if the handler has returned already
		}
	}

	heap := func() int64 {
		var m runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&m)

		return int64(m.HeapAlloc)
	}

	for _, way := range []string{"return", "error", "panic", "wait"} {
		for _, cancels := range []bool{true, false} {
			t.Run(fmt.Sprint(way, " cancelled ", cancels), func(t *testing.T) {
				const maxBytes = 500 // a stream that stays takes 2 KB at the two processes

				streams := 1000
				if testing.Short() {
					streams = 300 // with the race detector
				}

				for range streams {
					play(way, cancels)
				}

				before := heap()

				for range streams {
					play(way, cancels)
				}

				for end := time.Now().Add(5 * time.Second); openStreams(gateway, "served") > 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}

				assert.Equal(t, openStreams(gateway, "served"), int64(0))
				assert.Equal(t, openStreams(sender, "opened"), int64(0))

				grown := (heap() - before) / int64(streams)
				assert.Assert(t, grown < maxBytes, "%d bytes for each stream", grown)
			})
		}
	}
}
