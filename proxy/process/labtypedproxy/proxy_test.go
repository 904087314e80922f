package labtypedproxy

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labtransport"
	"laburnumlock.dev/lab/proxy/process/labrelay"
)

// TestPrepare checks that control learns at once when the commits have ended that it waits for.
func TestPrepare(t *testing.T) {
	p := &Proxy{
		Self: lab.Instance{ID: "p"}, Clock: labclock.NewBootClock(), Log: zerolog.Nop(), Transport: &labtransport.Transport{},
	}
	p.Prepare()
	assert.Assert(t, p.directory.OnCommitsDrained != nil)
	assert.Assert(t, p.directory.Permissions().Drained != nil)
}

// TestDrainOfRelayedStatements guards against a proxy that stops while it runs statements for other proxies, whose clients then get
// an unknown outcome.
func TestDrainOfRelayedStatements(t *testing.T) {
	listen := func() *labtransport.Transport {
		e := &labkeys.SelfSignedIdentity{Name: "proxy"}
		assert.NilError(t, e.Generate())

		x := &labtransport.Transport{Address: "127.0.0.1:0", Identity: e, Log: zerolog.Nop()}
		assert.NilError(t, x.Listen())

		return x
	}

	p := &Proxy{
		Self: lab.Instance{ID: "p"}, Clock: labclock.NewBootClock(), Log: zerolog.Nop(), Transport: listen(), DrainGracePeriod: 3 * time.Second,
	}
	p.Prepare()

	go func() { assert.Check(t, p.Transport.Run(t.Context())) }()

	sender := listen()

	go func() { assert.Check(t, sender.Run(t.Context())) }()

	s, err := sender.Open(t.Context(), p.Transport.BoundAddress(), labrelay.Method, struct{}{})
	assert.NilError(t, err)

	ended := make(chan struct{})

	go func() {
		p.drain(t.Context())
		close(ended)
	}()

	select {
	case <-ended:
		t.Fatal("the drain ended while a stream was open")
	case <-time.After(p.DrainGracePeriod/2 + p.DrainGracePeriod/10):
	}

	// The statement isn't bound to a member yet, so that it can still run elsewhere.
	var r struct {
		NotRun bool `msgpack:"n"`
	}

	assert.NilError(t, msgpack.NewEncoder(s).Encode(map[string]any{"o": []lab.Operation{{Kind: lab.OperationRead}}}))
	assert.NilError(t, msgpack.NewDecoder(s).Decode(&r))
	assert.Assert(t, r.NotRun)
	s.Cancel()

	select {
	case <-ended:
	case <-time.After(p.DrainGracePeriod / 5):
		t.Fatal("the drain goes on")
	}
}
