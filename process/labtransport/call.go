package labtransport

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"laburnumlock.dev/lab"
)

// Call sends a request and decodes the answer.
func (t *Transport) Call(ctx context.Context, address string, method lab.Method, request, answer any) error {
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

	// Fails when the peer has answered and closed the stream already; without an answer, receiving says what is wrong.
	_ = s.CloseWrite()

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := t.receiveResponse(s, answer); err != nil {
		t.discardOnTimeout(ctx, l, c)

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

	s, err := t.openStream(ctx, c, method, header)
	if err != nil {
		t.discardOnTimeout(ctx, l, c)

		return nil, err
	}

	return s, nil
}

// Connected reports whether a connection to the address stands.
func (t *Transport) Connected(address string) bool {
	return t.link(address).connected()
}

// Connect sets a connection up unless one stands or is being set up.
func (t *Transport) Connect(address string) {
	t.link(address).currentOrDial()
}

// discardOnTimeout replaces a connection on which a call ran out of time.
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

	// A peer without power fills the connection's window, and a write then blocks until the connection is given up.
	stop := context.AfterFunc(ctx, a.Cancel)
	defer stop()

	if _, err := s.Write(b); err != nil {
		a.Cancel()

		return nil, errors.Newf("send request: %w", err)
	}

	return a, nil
}

func (t *Transport) receiveResponse(s *stream, answer any) error {
	var st responseStatus
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
