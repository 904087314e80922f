package labtransport

import (
	"context"
	"expvar"
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
	"laburnumlock.dev/lab/process/lablog"
)

const (
	protocolName       = "laburnumlock/1"
	handshakeTimeout   = 2 * time.Second
	idleTimeout        = 3 * time.Second
	keepAlivePeriod    = time.Second
	maxIncomingStreams = 1 << 16 // per connection; a peer uses one stream for each transaction in progress
	preambleTimeout    = 5 * time.Second
	// responseDeliveryTime is how long Drain waits for the delivery of the last responses. It allows for a retransmission
	// between regions, where a round trip takes 24 ms.
	responseDeliveryTime = 150 * time.Millisecond
	// closePacketTime is the time between closing the connections and closing the socket. The packets that tell peers of
	// the closed connections are sent in this time.
	closePacketTime = 20 * time.Millisecond
)

// Transport implements lab.PeerClient and serves the requests of other processes.
type Transport struct {
	Address  string // host:port to listen on; with port 0 a free port is chosen
	Identity lab.Credentials
	Log      zerolog.Logger
	Memory   lab.MemoryBudget // bounds the messages that are received; nil for no limit

	EvictedStreams expvar.Int // streams that were ended because their messages exceeded the memory budget

	callHandlers   map[lab.Method]lab.CallHandler
	streamHandlers map[lab.Method]lab.StreamHandler
	requestLog     zerolog.Logger // receives the log lines about single streams
	quic           *quic.Transport
	listener       *quic.Listener
	requestIDs     atomic.Uint64
	traffic        trafficCounters
	served, opened openStreams  // streams of other processes, and of this one
	activeStreams  atomic.Int64 // number of streams of other processes being served
	draining       atomic.Bool  // new streams are not served
	drained        atomic.Bool  // Drain has succeeded

	mutex               sync.Mutex
	links               map[string]*link
	acceptedConnections map[*quic.Conn]struct{}
}

// HandleCall registers the handler of a method; it must be called before Run.
func (t *Transport) HandleCall(method lab.Method, handler lab.CallHandler) {
	if t.callHandlers == nil {
		t.callHandlers = map[lab.Method]lab.CallHandler{}
	}

	t.callHandlers[method] = handler
}

// HandleStream registers the handler of a stream method; it must be called before Run.
func (t *Transport) HandleStream(method lab.Method, handler lab.StreamHandler) {
	if t.streamHandlers == nil {
		t.streamHandlers = map[lab.Method]lab.StreamHandler{}
	}

	t.streamHandlers[method] = handler
}

// Listen opens the socket. Afterwards calls can be made and BoundAddress is available; Run starts to serve requests.
func (t *Transport) Listen() error {
	a, err := net.ResolveUDPAddr("udp", t.Address)
	if err != nil {
		return errors.Newf("resolve process address: %w", err)
	}

	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return errors.Newf("listen for processes: %w", err)
	}

	t.requestLog = lablog.NewRequestLogger(t.Log)
	t.links, t.acceptedConnections = map[string]*link{}, map[*quic.Conn]struct{}{}
	t.quic = &quic.Transport{Conn: c}

	t.listener, err = t.quic.Listen(t.Identity.TLS(protocolName), quicConfig())
	if err != nil {
		return errors.Newf("listen for QUIC: %w", errors.CombineErrors(err, c.Close()))
	}

	return nil
}

// BoundAddress returns the host:port that the transport listens on; it must be called after Listen.
func (t *Transport) BoundAddress() string {
	return t.quic.Conn.LocalAddr().String()
}

// Run accepts connections and serves their requests until the context ends, then closes all connections.
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

	// The listener is closed first. Otherwise a connection that is accepted after the list of accepted connections was
	// read would be dropped without telling the peer.
	_ = t.listener.Close()

	t.mutex.Lock()
	accepted := slices.Collect(maps.Keys(t.acceptedConnections))
	t.mutex.Unlock()

	for {
		c, err := t.listener.Accept(context.Background())
		if err != nil {
			break // the listener is closed and its queue is empty
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
		// Probes for a larger packet size cost about 7 KB in each direction of a connection, more than most connections
		// carry, and links between regions are billed by volume.
		DisablePathMTUDiscovery: true,
	}
}
