package labtransport_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labclock"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labmemorybudget"
	"laburnumlock.dev/lab/process/labtransport"
)

type echo struct {
	Text string `msgpack:"t"`
}

func newKeysFolder(t *testing.T, names ...string) string {
	t.Helper()

	a := labkeys.Authority{Folder: t.TempDir()}
	assert.NilError(t, a.Init())

	for _, n := range names {
		assert.NilError(t, a.Issue(n, labkeys.RoleInstance))
	}

	return a.Folder
}

func startTransport(t *testing.T, folder, name string) *labtransport.Transport {
	t.Helper()

	tr, _ := startStoppableTransport(t, folder, name)

	return tr
}

// startStoppableTransport starts a transport and returns it with a function that stops Run and waits for its end.
func startStoppableTransport(t *testing.T, folder, name string) (*labtransport.Transport, func()) {
	t.Helper()

	return startTransportWith(t, &labtransport.Transport{
		Address:  "127.0.0.1:0",
		Identity: &labkeys.Identity{Folder: folder, Name: name},
		Log:      zerolog.Nop(),
	})
}

func startLimitedTransport(t *testing.T, folder, name string, memory lab.MemoryBudget) *labtransport.Transport {
	t.Helper()

	tr, _ := startTransportWith(t, &labtransport.Transport{
		Address: "127.0.0.1:0", Identity: &labkeys.Identity{Folder: folder, Name: name}, Log: zerolog.Nop(), Memory: memory,
	})

	return tr
}

func startTransportWith(t *testing.T, tr *labtransport.Transport) (*labtransport.Transport, func()) {
	t.Helper()

	tr.HandleCall(lab.MethodPing, func(_ context.Context, from lab.InstanceID, decode func(any) error) (any, error) {
		var e echo
		if err := decode(&e); err != nil {
			return nil, err
		}

		if e.Text == "panic" {
			panic("malformed request")
		}

		if e.Text == "fail" {
			return nil, lab.NotRunError(lab.ReasonOverload, io.ErrShortBuffer)
		}

		return echo{Text: string(from) + ":" + e.Text}, nil
	})
	tr.HandleStream(lab.MethodTransaction, func(_ context.Context, _ lab.InstanceID, decode func(any) error, s lab.Stream) error {
		var e echo
		if err := decode(&e); err != nil {
			return err
		}

		_, err := io.Copy(s, s)
		_ = s.CloseWrite()

		return err
	})
	assert.NilError(t, tr.Listen())

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() { _ = tr.Run(ctx); close(done) }()

	stop := func() { cancel(); <-done }
	t.Cleanup(stop)

	return tr, stop
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)

	return ctx
}

func TestTransport(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	a, b := startTransport(t, folder, "a"), startTransport(t, folder, "b")

	t.Run("call", func(t *testing.T) {
		var got echo
		assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: "x"}, &got))
		assert.Equal(t, got.Text, "a:x")
	})

	t.Run("outcome is transmitted", func(t *testing.T) {
		var got echo
		err := a.Call(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: "fail"}, &got)
		o, r := lab.OutcomeOf(err)
		assert.Equal(t, o, lab.OutcomeNotRun)
		assert.Equal(t, r, lab.ReasonOverload)
	})

	t.Run("stream", func(t *testing.T) {
		s, err := a.Open(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodTransaction, echo{})
		assert.NilError(t, err)
		_, err = s.Write([]byte("hello"))
		assert.NilError(t, err)
		assert.NilError(t, s.CloseWrite())
		got, err := io.ReadAll(s)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "hello")
	})
}

// Guards against accepting an instance whose certificate another authority has issued.
func TestForeignCertificateRefused(t *testing.T) {
	a := startTransport(t, newKeysFolder(t, "a"), "a")
	b := startTransport(t, newKeysFolder(t, "b"), "b")

	var got echo
	err := a.Call(withTimeout(t, 3*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: "x"}, &got)
	assert.ErrorContains(t, err, "connect to")
}

// Guards against a key rotation that requires a restart of running instances.
func TestRotation(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	b := startTransport(t, folder, "b")
	k := labkeys.Authority{Folder: folder}
	assert.NilError(t, k.Rotate())
	assert.NilError(t, k.Issue("a", labkeys.RoleInstance))

	a := startTransport(t, folder, "a") // certificate of the new authority; b still uses its old certificate
	time.Sleep(2100 * time.Millisecond) // b rereads the authorities after 2 s

	var got echo
	assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: "x"}, &got))

	keys, err := labkeys.TokenKeys(folder)
	assert.NilError(t, err)
	assert.Equal(t, len(keys), 2)
}

// Offsets of the destination connection id in QUIC packets with long and with short headers. The connection ids of the
// server have four bytes.
const (
	longHeaderIDOffset  = 6
	shortHeaderIDOffset = 1
	connectionIDBytes   = 4
)

// datagramRelay forwards datagrams between one client and a server. After its connection state is dropped, it drops the
// packets of earlier connections and forwards those of new ones, like a middlebox that has lost its connection table.
type datagramRelay struct {
	listener *net.UDPConn
	server   *net.UDPAddr
	clients  chan func()
}

// newDatagramRelay starts a relay and returns its address and a function that drops its connection state.
func newDatagramRelay(t *testing.T, server string) (string, func()) {
	t.Helper()

	to, err := net.ResolveUDPAddr("udp", server)
	assert.NilError(t, err)
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	r := &datagramRelay{listener: listener, server: to, clients: make(chan func(), 1)}
	dropState := make(chan struct{}, 1)

	go r.run(dropState)

	return listener.LocalAddr().String(), func() { dropState <- struct{}{} }
}

func (r *datagramRelay) run(dropState <-chan struct{}) {
	servers := map[string]*net.UDPConn{}    // socket to the server by client address
	handshakeAfterDrop := map[string]bool{} // whether a connection began after the drop, by connection id
	dropped := false
	b := make([]byte, 4096)

	for {
		n, from, err := r.listener.ReadFromUDP(b)
		if err != nil {
			return
		}

		select {
		case <-dropState:
			dropped = true
		default:
		}

		// All connections of a client share a socket, so the relay tells them apart by connection id. Packets with a long
		// header belong to a handshake and are always forwarded. The relay learns the connection id from them, because the
		// client may have sent no packet with a short header before the state was dropped.
		if long := b[0]&0x80 != 0; long {
			handshakeAfterDrop[string(b[longHeaderIDOffset:longHeaderIDOffset+connectionIDBytes])] = dropped
		} else if dropped && !handshakeAfterDrop[string(b[shortHeaderIDOffset:shortHeaderIDOffset+connectionIDBytes])] {
			continue
		}

		r.forward(servers, from, b[:n])
	}
}

func (r *datagramRelay) forward(servers map[string]*net.UDPConn, from *net.UDPAddr, p []byte) {
	c, ok := servers[from.String()]
	if !ok {
		var err error
		if c, err = net.DialUDP("udp", nil, r.server); err != nil {
			return
		}

		servers[from.String()] = c

		go func() {
			q := make([]byte, 4096)
			for {
				n, err := c.Read(q)
				if err != nil {
					return
				}

				_, _ = r.listener.WriteToUDP(q[:n], from)
			}
		}()
	}

	_, _ = c.Write(p)
}

// Guards against using a connection that no longer receives packets although a new connection would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	a, b := startTransport(t, folder, "a"), startTransport(t, folder, "b")
	address, dropState := newDatagramRelay(t, b.BoundAddress())

	var got echo
	assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), address, lab.MethodPing, echo{Text: "x"}, &got))
	dropState()
	assert.Assert(t, a.Call(withTimeout(t, 500*time.Millisecond), address, lab.MethodPing, echo{Text: "x"}, &got) != nil)
	assert.NilError(t, a.Call(withTimeout(t, 1500*time.Millisecond), address, lab.MethodPing, echo{Text: "x"}, &got))
}

// Guards against accepting an operator's certificate as the certificate of an instance.
func TestOperatorCertificateRefused(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	k := labkeys.Authority{Folder: folder}
	assert.NilError(t, k.Issue("a", labkeys.RoleOperator))

	a, b := startTransport(t, folder, "a"), startTransport(t, folder, "b")

	var got echo
	err := a.Call(withTimeout(t, 3*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: "x"}, &got)
	assert.ErrorContains(t, err, "not an instance's")
}

// Guards against reporting an unknown outcome for requests that a process did not start because it was being stopped.
func TestStoppedPeer(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")

	unanswered := func(drain bool) error {
		a := startTransport(t, folder, "a")
		b, stop := startStoppableTransport(t, folder, "b")

		var got echo
		assert.NilError(t, a.Call(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodPing, echo{}, &got))

		if drain {
			assert.NilError(t, b.Drain(withTimeout(t, 5*time.Second)))
		}

		s, err := a.Open(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodTransaction, echo{})
		assert.NilError(t, err)
		time.AfterFunc(100*time.Millisecond, stop)

		_, err = s.Read(make([]byte, 1))

		return err
	}

	t.Run("drained", func(t *testing.T) {
		assert.Assert(t, errors.Is(unanswered(true), lab.ErrPeerStopped))
	})
	// A peer whose connection is closed reconnects at once. The new connection must not be accepted and then not served.
	t.Run("connecting meanwhile", func(t *testing.T) {
		a := startTransport(t, folder, "a")
		b, stop := startStoppableTransport(t, folder, "b")
		assert.NilError(t, b.Drain(withTimeout(t, 5*time.Second)))

		go stop()

		for range 200 {
			s, err := a.Open(withTimeout(t, 500*time.Millisecond), b.BoundAddress(), lab.MethodTransaction, echo{})
			if err != nil {
				break // the connection was refused, so no request was sent
			}

			began := time.Now()
			_, err = s.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, lab.ErrPeerStopped), "%v after %s", err, time.Since(began))
		}
	})
	t.Run("not drained", func(t *testing.T) {
		err := unanswered(false)
		assert.Assert(t, err != nil && !errors.Is(err, lab.ErrPeerStopped))
	})
}

// Guards against a Drain that does not wait for active streams.
func TestDrainWaits(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	a, b := startTransport(t, folder, "a"), startTransport(t, folder, "b")

	s, err := a.Open(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodTransaction, echo{})
	assert.NilError(t, err)
	_, err = s.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = io.ReadFull(s, make([]byte, 1))
	assert.NilError(t, err)
	assert.ErrorContains(t, b.Drain(withTimeout(t, 300*time.Millisecond)), "1 streams in progress")
	assert.NilError(t, s.CloseWrite())
	assert.NilError(t, b.Drain(withTimeout(t, 5*time.Second)))
}

// TestMemory guards against peers whose requests take all memory, and against others that are refused with them.
func TestMemory(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	a := startTransport(t, folder, "a")
	b := startLimitedTransport(t, folder, "b", &labmemorybudget.Budget{Limit: 1 << 20, Clock: labclock.New()})

	for _, c := range []struct {
		size  int
		fails bool
	}{{300, false}, {100 << 10, false}, {4 << 20, true}, {100 << 10, false}} {
		err := a.Call(withTimeout(t, 5*time.Second), b.BoundAddress(), lab.MethodPing, echo{Text: strings.Repeat("x", c.size)}, &echo{})
		assert.Equal(t, err != nil, c.fails, "%d bytes: %v", c.size, err)
	}

	assert.Equal(t, b.EvictedStreams.Value(), int64(1))
}

// TestPanic checks that a request whose handler panics fails alone: the process and the connection go on.
func TestPanic(t *testing.T) {
	folder := newKeysFolder(t, "a", "b")
	a, b := startTransport(t, folder, "a"), startTransport(t, folder, "b")

	assert.Assert(t, a.Call(t.Context(), b.BoundAddress(), lab.MethodPing, echo{Text: "panic"}, &echo{}) != nil)

	var r echo

	assert.NilError(t, a.Call(t.Context(), b.BoundAddress(), lab.MethodPing, echo{Text: "next"}, &r))
	assert.Equal(t, r.Text, "a:next")
}
