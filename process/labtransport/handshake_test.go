package labtransport_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labtransport"
)

// countingRelay forwards datagrams between one client and the target and counts their bytes.
func countingRelay(t *testing.T, target string) (address string, transferred *atomic.Int64) {
	t.Helper()

	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)

	back, err := net.Dial("udp", target)
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = front.Close(), back.Close() })

	var client atomic.Pointer[net.Addr]

	transferred = &atomic.Int64{}

	go func() {
		b := make([]byte, 1<<16)

		for {
			n, from, err := front.ReadFrom(b)
			if err != nil {
				return
			}

			client.Store(&from)
			transferred.Add(int64(n))
			_, _ = back.Write(b[:n])
		}
	}()

	go func() {
		b := make([]byte, 1<<16)

		for {
			n, err := back.Read(b)
			if err != nil {
				return
			}

			transferred.Add(int64(n))
			_, _ = front.WriteTo(b[:n], *client.Load())
		}
	}()

	return front.LocalAddr().String(), transferred
}

// TestConnectionBytes guards against connections whose setup costs more than their use. At the start of 300 proxies, each
// connected to ten others, handshakes and probes for larger packets were most of the bytes between the regions.
func TestConnectionBytes(t *testing.T) {
	// Two datagrams of 1,280 bytes in each direction carry the handshake, and the calls and acknowledgements need less
	// than another two.
	const maxBytes = 6 * 1280

	transport := func(name string) *labtransport.Transport {
		i := &labkeys.SelfSignedIdentity{Name: name}
		assert.NilError(t, i.Generate())

		tr := &labtransport.Transport{Address: "127.0.0.1:0", Identity: i, Log: zerolog.Nop()}
		tr.HandleCall(lab.MethodPing, func(context.Context, lab.InstanceID, func(any) error) (any, error) { return echo{}, nil })
		assert.NilError(t, tr.Listen())

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- tr.Run(ctx) }()

		t.Cleanup(func() { cancel(); <-ended })

		return tr
	}

	server, client := transport("server"), transport("client")
	address, transferred := countingRelay(t, server.BoundAddress())

	for range 5 {
		assert.NilError(t, client.Call(t.Context(), address, lab.MethodPing, echo{}, &echo{}))
		time.Sleep(100 * time.Millisecond)
	}

	assert.Assert(t, transferred.Load() <= maxBytes, "%d bytes", transferred.Load())
}
