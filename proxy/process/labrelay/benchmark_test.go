package labrelay

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labtransport"
)

// BenchmarkRelayedStatements relays reads between two transports, and reports by how much the heap of both grows for each. The
// growth stays near 0 however many there are: go test -bench RelayedStatements -benchtime 100000x.
func BenchmarkRelayedStatements(b *testing.B) {
	g := newFakeGateway()
	server := &Server{Directory: g, Clock: labclock.NewBootClock(), Log: zerolog.Nop()}
	gateway, sender := startTransport(b, server.Serve), startTransport(b, nil)

	s := newSource(nil, gateway.BoundAddress())
	s.Peers = sender

	run := func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()

		c, err := s.Acquire(ctx, lab.AcquireRequest{})
		assert.NilError(b, err)

		_, err = c.Run(testDeadline(), nil, lab.Operation{Kind: lab.OperationRead, Text: "FETCH x"})
		assert.NilError(b, err)
		c.Release()

		g.mutex.Lock()
		defer g.mutex.Unlock()

		g.received, g.ended = nil, nil
	}

	sender.Connect(gateway.BoundAddress())

	for end := time.Now().Add(5 * time.Second); !sender.Connected(gateway.BoundAddress()) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}

	for range 100 {
		run()
	}

	before := heapBytes()

	for b.Loop() {
		run()
	}

	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap-B/op")
	b.Logf("streams open at the gateway: %s, at the sender: %s",
		gateway.Variables().Get("served_streams_open"), sender.Variables().Get("opened_streams_open"))
}

func heapBytes() int64 {
	var m runtime.MemStats

	time.Sleep(100 * time.Millisecond) // the last streams end
	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}

// startTransport starts a transport that serves relayed statements if there is a handler.
func startTransport(b *testing.B, handler lab.StreamHandler) *labtransport.Transport {
	b.Helper()

	e := &labkeys.SelfSignedIdentity{Name: "proxy"}
	assert.NilError(b, e.Generate())

	x := &labtransport.Transport{Address: "127.0.0.1:0", Identity: e, Log: zerolog.Nop()}
	if handler != nil {
		x.HandleStream(Method, handler)
	}

	assert.NilError(b, x.Listen())

	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)

	go func() { _ = x.Run(ctx) }()

	return x
}
