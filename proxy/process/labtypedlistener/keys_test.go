package labtypedlistener

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// startupCodec starts a session with its fields and reads operations like fakeCodec. It records the faults in answers.
type startupCodec struct {
	fakeCodec

	database, key string

	mutex  sync.Mutex
	faults []lab.Fault // faults of refusals and results
	ready  bool        // whether the startup was accepted
}

func (c *startupCodec) Startup(b []byte) (database, key string, size int, err error) {
	return c.database, c.key, len(b), nil
}

func (c *startupCodec) AppendReady(out []byte) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.ready = true

	return out
}

func (c *startupCodec) AppendRefusal(out []byte, f lab.Fault, _ string) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.faults = append(c.faults, f)

	return out
}

func (c *startupCodec) AppendResult(out []byte, r lab.OperationResult) []byte {
	return c.AppendRefusal(out, r.Fault, r.Detail)
}

// answers returns the faults in answers, and whether the startup was accepted.
func (c *startupCodec) answers() ([]lab.Fault, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return slices.Clone(c.faults), c.ready
}

// install activates a configuration with a public route, and with another route for the keys of one organisation.
func install(t *testing.T, d *labdirectory.Directory, version uint64, keys ...string) {
	t.Helper()

	c := &lab.Configuration{
		Version: version, KeysRequired: true, Organisations: []lab.OrganisationPolicy{{Name: "o", Keys: keys}},
		Routes: []lab.Route{{Database: "db"}, {Database: "open", Public: true}},
	}
	assert.NilError(t, c.IndexOrganisations())
	d.Install(c)
}

// startClient connects a client that sends its startup to a proxy on which the key k is valid.
func startClient(t *testing.T, database, key string) (*connection, *fakeSocket, *startupCodec) {
	t.Helper()

	codec := &startupCodec{database: database, key: key}
	n, socket, _ := newConnection(t, codec)
	clock := labclock.NewBootClock()
	n.session = nil
	n.listener.Directory = &labdirectory.Directory{Clock: clock, Log: zerolog.Nop()}
	n.listener.Clock, n.listener.Counters = clock, &labtypedsession.Counters{}
	n.listener.connections = map[*connection]struct{}{n: {}}
	install(t, n.listener.Directory, 1, "k")

	assert.Assert(t, n.receive([]byte("s")))
	awaitIdle(t, n)

	return n, socket, codec
}

func awaitIdle(t *testing.T, n *connection) {
	t.Helper()

	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n.mutex.Lock()
		processing := n.processing
		n.mutex.Unlock()

		if !processing {
			return
		}
	}

	t.Fatal("still processing")
}

// TestStartupKeys guards against sessions without a valid key on routes that aren't public.
func TestStartupKeys(t *testing.T) {
	for _, c := range []struct {
		name, database, key string
		faults              []lab.Fault
	}{
		{"valid key", "db", "k", nil},
		{"unknown key", "db", "x", []lab.Fault{lab.FaultUnauthorized}},
		{"no key", "db", "", []lab.Fault{lab.FaultUnauthorized}},
		{"unknown database is reported first", "none", "x", []lab.Fault{lab.FaultNoDatabase}},
		{"public route", "open", "x", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, socket, codec := startClient(t, c.database, c.key)
			socket.runLoop()

			faults, ready := codec.answers()
			assert.DeepEqual(t, faults, c.faults)
			assert.Equal(t, ready, len(c.faults) == 0)
			assert.Equal(t, socket.isClosed(), len(c.faults) > 0)
		})
	}
}

// TestRemovedKey guards against sessions that outlive their key, and against sessions that end without the answer to a
// request.
func TestRemovedKey(t *testing.T) {
	remove := func(t *testing.T, n *connection) {
		t.Helper()
		install(t, n.listener.Directory, 2)
	}

	t.Run("next operation", func(t *testing.T) {
		n, socket, codec := startClient(t, "db", "k")
		remove(t, n)
		assert.Assert(t, n.receive([]byte("x")))
		awaitIdle(t, n)
		socket.runLoop()

		faults, _ := codec.answers()
		assert.DeepEqual(t, faults, []lab.Fault{lab.FaultUnauthorized})
		assert.Assert(t, socket.isClosed())
	})

	t.Run("idle session is closed by the sweep", func(t *testing.T) {
		n, socket, _ := startClient(t, "db", "k")
		n.listener.OnTick()
		socket.runLoop()
		assert.Assert(t, !socket.isClosed(), "the key is valid")

		remove(t, n)
		n.listener.OnTick()
		socket.runLoop()
		assert.Assert(t, socket.isClosed())
	})

	t.Run("session of a public route stays", func(t *testing.T) {
		n, socket, _ := startClient(t, "open", "k")
		remove(t, n)
		n.listener.OnTick()
		socket.runLoop()
		assert.Assert(t, !socket.isClosed())
	})

	t.Run("open transaction ends with its next operation", func(t *testing.T) {
		n, socket, _ := startClient(t, "db", "k")
		assert.Equal(t, n.session.Do(lab.Operation{Kind: lab.OperationBegin}).Fault, lab.FaultNone)
		remove(t, n)
		n.listener.OnTick()
		socket.runLoop()
		assert.Assert(t, !socket.isClosed())
		assert.Equal(t, n.session.Do(lab.Operation{Kind: lab.OperationCommit}).Fault, lab.FaultUnauthorized)
		n.listener.OnTick()
		socket.runLoop()
		assert.Assert(t, socket.isClosed())
	})

	t.Run("request that was read before the close", func(t *testing.T) {
		n, socket, _ := startClient(t, "db", "k")
		remove(t, n)
		n.listener.OnTick()

		// The handling of the request has begun but not ended when the event loop gets to the close.
		n.mutex.Lock()
		n.processing = true
		n.mutex.Unlock()

		socket.runLoop()
		assert.Assert(t, !socket.isClosed())
	})
}
