package labtransport

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

const (
	protocolName       = "laburnumlock/1"
	handshakeTimeout   = 2 * time.Second
	idleTimeout        = 3 * time.Second
	keepAlivePeriod    = time.Second
	maxIncomingStreams = 1 << 16 // one per transaction in progress from a peer
	preambleTimeout    = 5 * time.Second
	// responseDeliveryTime covers a retransmission over the region link with 24 ms per round trip.
	responseDeliveryTime = 150 * time.Millisecond
	// closePacketTime lets the packets that close connections leave before the socket is closed.
	closePacketTime = 20 * time.Millisecond
)

// Transport implements lab.PeerClient and serves the requests of other processes.
type Transport struct {
	Address  string // host:port to listen on; port 0 picks one
	Identity lab.Credentials
	Log      zerolog.Logger

	calls         map[lab.Method]lab.CallHandler
	streams       map[lab.Method]lab.StreamHandler
	quic          *quic.Transport
	listener      *quic.Listener
	ids           atomic.Uint64
	traffic       trafficCounters
	activeStreams atomic.Int64 // streams of other processes in progress
	draining      atomic.Bool  // streams that arrive from now on are not served
	drained       atomic.Bool  // everything that was served has ended

	mutex    sync.Mutex
	links    map[string]*link
	accepted map[*quic.Conn]struct{}
}

// HandleCall registers the handler of a method; it must be called before Run.
func (t *Transport) HandleCall(method lab.Method, handler lab.CallHandler) {
	if t.calls == nil {
		t.calls = map[lab.Method]lab.CallHandler{}
	}

	t.calls[method] = handler
}

// HandleStream registers the handler of a stream method; it must be called before Run.
func (t *Transport) HandleStream(method lab.Method, handler lab.StreamHandler) {
	if t.streams == nil {
		t.streams = map[lab.Method]lab.StreamHandler{}
	}

	t.streams[method] = handler
}

// Listen opens the socket, so that calls can be made and Bound be read before Run.
func (t *Transport) Listen() error {
	a, err := net.ResolveUDPAddr("udp", t.Address)
	if err != nil {
		return errors.Newf("resolve process address: %w", err)
	}

	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return errors.Newf("listen for processes: %w", err)
	}

	t.links, t.accepted = map[string]*link{}, map[*quic.Conn]struct{}{}
	t.quic = &quic.Transport{Conn: c}

	t.listener, err = t.quic.Listen(t.Identity.TLS(protocolName), quicConfig())
	if err != nil {
		return errors.Newf("listen for QUIC: %w", errors.CombineErrors(err, c.Close()))
	}

	return nil
}

// BoundAddress returns the host:port in use after Listen.
func (t *Transport) BoundAddress() string {
	return t.quic.Conn.LocalAddr().String()
}

// Run accepts connections until the context ends, then closes all.
func (t *Transport) Run(ctx context.Context) error {
	defer t.close()

	for {
		c, err := t.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}

			return errors.Newf("accept connection: %w", err)
		}

		go t.serve(ctx, c)
	}
}

func (t *Transport) link(address string) *link {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	l, ok := t.links[address]
	if !ok {
		l = &link{address: address, dial: t.dial}
		t.links[address] = l
	}

	return l
}

func (t *Transport) dial(ctx context.Context, address string) (*quic.Conn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Newf("resolve %s: %w", address, err)
	}

	c, err := t.quic.Dial(ctx, a, t.Identity.TLS(protocolName), quicConfig())
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}

	return c, nil
}

func (t *Transport) close() {
	code := quic.ApplicationErrorCode(0)
	if t.drained.Load() {
		code = connectionCodeStopped
	}

	// No connection may slip in behind the list and be dropped without a word.
	_ = t.listener.Close()

	t.mutex.Lock()
	accepted := slices.Collect(maps.Keys(t.accepted))
	t.mutex.Unlock()

	for {
		c, err := t.listener.Accept(context.Background())
		if err != nil {
			break // the listener is closed and its queue empty
		}

		accepted = append(accepted, c)
	}

	for _, c := range accepted {
		_ = c.CloseWithError(code, "stopped")
	}

	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, l := range t.links {
		l.close()
	}

	time.Sleep(closePacketTime)

	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}
