package labtransport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
)

const (
	protocolName       = "laburnumlock/1"
	handshakeTimeout   = 2 * time.Second
	idleTimeout        = 3 * time.Second
	keepAlivePeriod    = time.Second
	maxIncomingStreams = 1 << 16 // one per transaction in progress from a peer
	preambleTimeout    = 5 * time.Second
	// lingerTime covers a retransmission over the region link with 24 ms per round trip.
	lingerTime = 150 * time.Millisecond
)

// Transport implements lab.Peers and serves the requests of other processes.
type Transport struct {
	Address  string // host:port to listen on; port 0 picks one
	Identity *labkeys.Identity
	Log      zerolog.Logger

	calls    map[lab.Method]lab.CallHandler
	streams  map[lab.Method]lab.StreamHandler
	quic     *quic.Transport
	listener *quic.Listener
	ids      atomic.Uint64
	traffic  traffic
	serving  atomic.Int64 // streams of other processes in progress

	mutex sync.Mutex
	links map[string]*link
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

	t.links = map[string]*link{}
	t.quic = &quic.Transport{Conn: c}

	t.listener, err = t.quic.Listen(t.Identity.TLS(protocolName), settings())
	if err != nil {
		return errors.Newf("listen for QUIC: %w", errors.CombineErrors(err, c.Close()))
	}

	return nil
}

// Bound returns the host:port in use after Listen.
func (t *Transport) Bound() string {
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

// Drain returns when no stream of another process is in progress and the last answers have had time to arrive, since
// closing a connection discards what was not delivered. It returns the context's error when that ends first.
func (t *Transport) Drain(ctx context.Context) error {
	const poll = 10 * time.Millisecond

	pause := func(d time.Duration) error {
		timer := time.NewTimer(d)
		defer timer.Stop()

		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return errors.Newf("drain transport with %d streams in progress: %w", t.serving.Load(), ctx.Err())
		}
	}

	for t.serving.Load() > 0 {
		if err := pause(poll); err != nil {
			return err
		}
	}

	return pause(lingerTime)
}

// Call sends a request and decodes the answer.
func (t *Transport) Call(ctx context.Context, address string, method lab.Method, request, answer any) error {
	l := t.link(address)

	c, err := l.connection(ctx)
	if err != nil {
		return err
	}

	s, err := t.open(ctx, c, method, request)
	if err != nil {
		t.judge(ctx, l, c)

		return err
	}

	defer func() { _ = s.Close() }()

	if err := s.CloseWrite(); err != nil {
		return errors.Newf("finish request: %w", err)
	}

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := t.receive(s, answer); err != nil {
		t.judge(ctx, l, c)

		return err
	}

	return nil
}

// Open starts a stream with a header.
func (t *Transport) Open(ctx context.Context, address string, method lab.Method, header any) (lab.Stream, error) {
	l := t.link(address)

	c, err := l.connection(ctx)
	if err != nil {
		return nil, err
	}

	s, err := t.open(ctx, c, method, header)
	if err != nil {
		t.judge(ctx, l, c)

		return nil, err
	}

	return s, nil
}

// Replace makes later streams to an address use a new connection; the caller saw no progress on the current one.
func (t *Transport) Replace(address string) {
	l := t.link(address)

	l.mutex.Lock()
	c := l.current
	l.mutex.Unlock()

	if c != nil {
		l.suspect(c)
	}
}

// judge replaces a connection on which a call ran out of time.
func (t *Transport) judge(ctx context.Context, l *link, c *quic.Conn) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.suspect(c)
	}
}

func (t *Transport) open(ctx context.Context, c *quic.Conn, method lab.Method, value any) (*stream, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}

	b, err := appendFrame(nil, preamble{Method: method, RequestID: t.ids.Add(1)})
	if err != nil {
		return nil, err
	}

	b, err = appendFrame(b, value)
	if err != nil {
		return nil, err
	}

	t.traffic.sent(method, len(b))

	a := &stream{Stream: s, done: func() {}}
	if _, err := s.Write(b); err != nil {
		a.Cancel()

		return nil, errors.Newf("send request: %w", err)
	}

	return a, nil
}

func (t *Transport) receive(s *stream, answer any) error {
	var st status
	if err := decodeFrame(s, &st); err != nil {
		return errors.Newf("read answer: %w", err)
	}

	if st.Failed {
		return st.err()
	}

	if answer == nil {
		return nil
	}

	if err := decodeFrame(s, answer); err != nil {
		return errors.Newf("read answer: %w", err)
	}

	return nil
}

func (st *status) err() error {
	err := errors.Newf("peer: %s", st.Message)
	if st.NotLeader {
		return errors.Mark(err, lab.ErrNotLeader)
	}

	if st.Typed {
		return &lab.OutcomeError{Outcome: st.Outcome, Reason: st.Reason, Err: err}
	}

	return err
}

func (t *Transport) serve(ctx context.Context, c *quic.Conn) {
	from := labkeys.PeerName(c.ConnectionState().TLS)
	if labkeys.PeerRole(c.ConnectionState().TLS) != labkeys.RoleInstance {
		_ = c.CloseWithError(0, "certificate is not an instance's")

		return
	}

	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}

		go t.serveStream(c.Context(), from, &stream{Stream: s, done: func() {}})
	}
}

func (t *Transport) serveStream(ctx context.Context, from lab.InstanceID, s *stream) {
	t.serving.Add(1)
	defer t.serving.Add(-1)

	_ = s.SetReadDeadline(time.Now().Add(preambleTimeout))

	var p preamble
	if err := decodeFrame(s, &p); err != nil {
		s.Cancel()

		return
	}

	_ = s.SetReadDeadline(time.Time{})

	if h, ok := t.calls[p.Method]; ok {
		t.serveCall(ctx, from, p, h, s)

		return
	}

	h, ok := t.streams[p.Method]
	if !ok {
		t.Log.Warn().Str("from", string(from)).Str("method", string(p.Method)).Msg("unknown_method")
		s.Cancel()

		return
	}

	decode := func(value any) error { return decodeFrame(s, value) }

	if err := h(ctx, from, decode, s); err != nil {
		t.Log.Debug().Err(err).Str("from", string(from)).Str("method", string(p.Method)).Msg("stream_failed")
	}
}

func (t *Transport) serveCall(ctx context.Context, from lab.InstanceID, p preamble, h lab.CallHandler, s *stream) {
	defer func() { _ = s.Close() }()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	b, err := readFrame(s)
	if err != nil {
		return
	}

	t.traffic.received(p.Method, len(b))

	decode := func(value any) error {
		if err := msgpack.Unmarshal(b, value); err != nil {
			return errors.Newf("decode %s request: %w", p.Method, err)
		}

		return nil
	}

	answer, err := h(ctx, from, decode)
	t.answer(p, s, answer, err)
}

func (t *Transport) answer(p preamble, s *stream, answer any, failure error) {
	st := status{RequestID: p.RequestID}

	if failure != nil {
		var o *lab.OutcomeError

		st.Failed, st.Message = true, failure.Error()
		st.NotLeader = errors.Is(failure, lab.ErrNotLeader)

		if errors.As(failure, &o) {
			st.Typed, st.Outcome, st.Reason = true, o.Outcome, o.Reason
		}
	}

	b, err := appendFrame(nil, st)
	if err == nil && failure == nil {
		b, err = appendFrame(b, answer)
	}

	if err != nil {
		t.Log.Error().Err(err).Str("method", string(p.Method)).Msg("encode_answer_failed")
		s.Cancel()

		return
	}

	t.traffic.sent(p.Method, len(b))
	_, _ = s.Write(b) // a peer that has gone sees its own timeout
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
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()

	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Newf("resolve %s: %w", address, err)
	}

	c, err := t.quic.Dial(ctx, a, t.Identity.TLS(protocolName), settings())
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}

	return c, nil
}

func (t *Transport) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	for _, l := range t.links {
		l.close()
	}

	_ = t.listener.Close()
	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
}

func settings() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}
