package labtypedlistener

import (
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labmemorybudget"
	"laburnumlock.dev/lab/process/labmetrics"
	"laburnumlock.dev/lab/process/labrecovery"
	"laburnumlock.dev/lab/proxy/connection/labtypedsession"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

// fakeSocket is a client's socket whose event loop the test runs.
type fakeSocket struct {
	gnet.Conn

	fd int

	mutex     sync.Mutex
	callbacks []gnet.AsyncCallback
	unread    int // bytes that the client has not read
	closed    bool
}

func (s *fakeSocket) AsyncWrite(_ []byte, callback gnet.AsyncCallback) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}

	return nil
}

func (s *fakeSocket) Fd() int { return s.fd }

func (s *fakeSocket) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.closed = true

	return nil
}

// runLoop runs the callbacks that the event loop would run.
func (s *fakeSocket) runLoop() {
	s.mutex.Lock()
	all := s.callbacks
	s.callbacks = nil
	s.mutex.Unlock()

	for _, c := range all {
		_ = c(s, nil)
	}
}

func (s *fakeSocket) OutboundBuffered() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.unread
}

func (s *fakeSocket) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.closed
}

// fakeCodec reads each byte as an operation that sets a value.
type fakeCodec struct {
	lab.ClientCodec

	panics bool
}

func (fakeCodec) AppendResult(out []byte, _ lab.OperationResult) []byte { return append(out, '.') }

func (fakeCodec) MayEnd(int, []byte) bool { return true }

func (c fakeCodec) Next(b []byte) (o lab.Operation, end bool, size int, err error) {
	if c.panics {
		panic("malformed message")
	}

	if len(b) == 0 {
		return lab.Operation{}, false, 0, nil
	}

	return lab.Operation{Kind: lab.OperationSet, Name: "n"}, false, 1, nil
}

func newConnection(t *testing.T, codec lab.ClientCodec) (n *connection, socket *fakeSocket, client *os.File) {
	t.Helper()

	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)

	client = os.NewFile(uintptr(pair[1]), "client")
	t.Cleanup(func() { _ = client.Close(); _ = syscall.Close(pair[0]) })

	socket = &fakeSocket{fd: pair[0]}
	clock := labclock.NewBootClock()
	budget := &labmemorybudget.Budget{Clock: clock}
	n = &connection{
		listener: &Listener{Log: zerolog.Nop(), Memory: budget}, account: budget.Open(func() {}), socket: socket, codec: codec, opened: time.Now(),
		session: &labtypedsession.Session{
			Directory: &labdirectory.Directory{Clock: clock}, Clock: clock, Counters: &labtypedsession.Counters{},
		},
	}

	return n, socket, client
}

// TestDrain covers requests that arrive while a drain closes idle sessions. Such a request was read, and then its
// connection was closed without an answer.
func TestDrain(t *testing.T) {
	t.Run("idle session is closed", func(t *testing.T) {
		n, socket, _ := newConnection(t, fakeCodec{})
		n.closeIfIdle()
		socket.runLoop()
		assert.Assert(t, socket.isClosed())
	})

	t.Run("request that was read before the close", func(t *testing.T) {
		n, socket, _ := newConnection(t, fakeCodec{})
		n.closeIfIdle()

		// The handling of the request has begun but not ended when the event loop gets to the close.
		n.mutex.Lock()
		n.processing = true
		n.mutex.Unlock()

		socket.runLoop()
		assert.Assert(t, !socket.isClosed())
	})

	t.Run("request that has arrived but was not read", func(t *testing.T) {
		n, socket, client := newConnection(t, fakeCodec{})

		_, err := client.Write([]byte("x"))
		assert.NilError(t, err)

		n.closeIfIdle()
		socket.runLoop()
		assert.Assert(t, !socket.isClosed())
	})
}

// TestDrainOfBusySession guards against a session that a drain finds at rest too rarely: it stayed open until the end, which cut
// off the request that ran then.
func TestDrainOfBusySession(t *testing.T) {
	t.Run("closed with the answer", func(t *testing.T) {
		n, socket, _ := newConnection(t, fakeCodec{})
		n.listener.draining.Store(true)
		assert.Assert(t, n.receive([]byte("x")))
		awaitIdle(t, n)
		awaitClosed(t, socket)
	})

	t.Run("request that was sent ahead", func(t *testing.T) {
		codec := &startupCodec{}
		n, socket, _ := newConnection(t, codec)
		n.listener.draining.Store(true)
		n.listener.refusing.Store(true)
		n.session.Refusing, n.session.Counters.Latency = &n.listener.refusing, labmetrics.NewHistogram()
		n.codec = readCodec{codec}
		assert.Assert(t, n.receive([]byte("xy")))
		awaitIdle(t, n)
		awaitClosed(t, socket)

		faults, _ := codec.answers()
		assert.DeepEqual(t, faults, []lab.Fault{lab.FaultBusy, lab.FaultBusy})
	})

	t.Run("end of the drain", func(t *testing.T) {
		codec := &startupCodec{}
		n, socket, _ := newConnection(t, codec)

		// An operation runs, and another one has been received.
		n.processing, n.unanswered = true, true
		assert.Assert(t, n.receive([]byte("x")))
		n.finish()
		awaitClosed(t, socket)

		faults, _ := codec.answers()
		assert.DeepEqual(t, faults, []lab.Fault{lab.FaultUnknown, lab.FaultBusy})
		assert.Assert(t, !n.takeAnswer(), "the operation is answered once")
	})
}

// TestCloseAfterWrites guards against a close that drops the part of an answer that the client has not received yet.
func TestCloseAfterWrites(t *testing.T) {
	for name, closeWith := range map[string]func(*connection){
		"idle session in a drain": func(n *connection) { n.closeIfIdle() },
		"end of the drain":        func(n *connection) { n.finish() },
		"end of the session":      func(n *connection) { n.closeAfterWrites() },
	} {
		t.Run(name, func(t *testing.T) {
			n, socket, _ := newConnection(t, fakeCodec{})
			socket.unread = 1
			closeWith(n)
			socket.runLoop()
			assert.Assert(t, !socket.isClosed())

			socket.mutex.Lock()
			socket.unread = 0
			socket.mutex.Unlock()
			closeWith(n)
			awaitClosed(t, socket)
		})
	}

	t.Run("client that doesn't read", func(t *testing.T) {
		n, socket, _ := newConnection(t, fakeCodec{})
		socket.unread, n.closeBy = 1, time.Now()
		n.closeAfterWrites()
		awaitClosed(t, socket)
	})
}

// readCodec reads each byte as a read.
type readCodec struct{ *startupCodec }

func (readCodec) Next(b []byte) (o lab.Operation, end bool, size int, err error) {
	return lab.Operation{Kind: lab.OperationRead}, false, min(len(b), 1), nil
}

func awaitClosed(t *testing.T, socket *fakeSocket) {
	t.Helper()

	for end := time.Now().Add(5 * time.Second); !socket.isClosed() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		socket.runLoop()
	}

	assert.Assert(t, socket.isClosed())
}

// TestPanic checks that a message whose handling panics ends its own connection only.
func TestPanic(t *testing.T) {
	before := labrecovery.Recovered.Value()
	n, socket, _ := newConnection(t, fakeCodec{panics: true})

	assert.Assert(t, n.receive([]byte("x")))

	awaitClosed(t, socket)
	assert.Equal(t, labrecovery.Recovered.Value(), before+1)
	assert.Assert(t, !n.receive([]byte("y")), "the connection takes no more messages")
	n.close() // must not wait for locks that the panic left held
}

// TestUnread guards against a proxy that runs out of memory since it keeps the responses for clients that send requests
// and read nothing. The case review/5 showed this.
func TestUnread(t *testing.T) {
	for _, c := range []struct {
		name   string
		unread int // bytes of earlier responses that the client has not read
		closed bool
	}{
		{"client that reads", 0, false},
		{"client that is a little behind", maxUnreadBytes, false},
		{"client that doesn't read", maxUnreadBytes + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, socket, _ := newConnection(t, fakeCodec{})
			response := make([]byte, maxUnreadBytes)
			socket.unread = c.unread + len(response)
			n.send(response)
			socket.runLoop()
			assert.Equal(t, socket.isClosed(), c.closed)
		})
	}
}
