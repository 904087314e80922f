package labtransport

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"laburnumlock.dev/lab"
)

// Call sends a request to the process at address and decodes the response into response.
func (t *Transport) Call(ctx context.Context, address string, method lab.Method, request, response any) error {
	l := t.link(address)

	c, err := l.connection(ctx)
	if err != nil {
		return err
	}

	s, err := t.openStream(ctx, c, method, request)
	if err != nil {
		t.discardOnTimeout(ctx, l, c)

		return err
	}

	defer func() { _ = s.Close() }()

	// The error is ignored: CloseWrite fails if the peer has already responded and closed the stream. If it fails without
	// a response, receiveResponse returns the cause.
	_ = s.CloseWrite()

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := t.receiveResponse(s, address, response); err != nil {
		t.discardOnTimeout(ctx, l, c)

		return err
	}

	return nil
}

// Open starts a stream to the process at address and sends the header.
func (t *Transport) Open(ctx context.Context, address string, method lab.Method, header any) (lab.Stream, error) {
	l := t.link(address)

	c, err := l.connection(ctx)
	if err != nil {
		return nil, err
	}

	s, err := t.openStream(ctx, c, method, header)
	if err != nil {
		t.discardOnTimeout(ctx, l, c)

		return nil, err
	}

	return s, nil
}

// Connected reports whether a connection to the address is open.
func (t *Transport) Connected(address string) bool {
	return t.link(address).connected()
}

// Connect starts to establish a connection to the address unless one is open or being established.
func (t *Transport) Connect(address string) {
	t.link(address).currentOrDial()
}

// discardOnTimeout discards a connection if the deadline of a call on it has passed.
func (t *Transport) discardOnTimeout(ctx context.Context, l *link, c *quic.Conn) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.discard(c)
	}
}

func (t *Transport) openStream(ctx context.Context, c *quic.Conn, method lab.Method, value any) (*stream, error) {
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}

	opened := &stream{Stream: s, ended: t.opened.begin(method)}

	b, err := appendFrame(nil, preamble{Method: method, RequestID: t.requestIDs.Add(1)})
	if err == nil {
		b, err = appendFrame(b, value)
	}

	if err != nil {
		opened.Cancel()

		return nil, err
	}

	t.traffic.sent(method, len(b))

	// If the peer has lost power, the flow control window is not extended, and a write to a full window blocks until the
	// connection times out. Cancel ends the write when the context ends.
	stop := context.AfterFunc(ctx, opened.Cancel)
	defer stop()

	if _, err := s.Write(b); err != nil {
		opened.Cancel()

		return nil, errors.Newf("send request: %w", err)
	}

	return opened, nil
}

func (t *Transport) receiveResponse(s *stream, address string, response any) error {
	m := t.meter(s, address)
	defer m.Reset()

	var st responseStatus
	if err := decodeFrame(m, &st); err != nil {
		return errors.Newf("read response: %w", err)
	}

	if st.Failed {
		return st.err()
	}

	if response == nil {
		return nil
	}

	if err := decodeFrame(m, response); err != nil {
		return errors.Newf("read response: %w", err)
	}

	return nil
}

func (st *responseStatus) err() error {
	err := errors.Newf("peer: %s", st.Message)
	if st.NotLeader {
		return errors.Mark(err, lab.ErrNotLeader)
	}

	if st.HasOutcome {
		return &lab.OutcomeError{Outcome: st.Outcome, Reason: st.Reason, Err: err}
	}

	return err
}
