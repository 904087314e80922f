package labtransport

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/vmihailenco/msgpack/v5"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labkeys"
	"laburnumlock.dev/lab/process/labrecovery"
)

func (t *Transport) serve(ctx context.Context, c *quic.Conn) {
	from := labkeys.PeerName(c.ConnectionState().TLS)
	if labkeys.PeerRole(c.ConnectionState().TLS) != labkeys.RoleInstance {
		_ = c.CloseWithError(0, "certificate is not an instance's")

		return
	}

	t.setAccepted(c, true)
	// The connection is removed when it closes, not when ctx ends, because Transport.close must still close it.
	context.AfterFunc(c.Context(), func() { t.setAccepted(c, false) })

	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}

		go t.serveStream(c.Context(), from, &stream{Stream: s})
	}
}

// serveStream serves a stream of another process. It ends both directions, whatever the handler has done with them: a stream whose
// handler fails is cancelled, and the peer of any other one receives what the handler has sent.
func (t *Transport) serveStream(ctx context.Context, from lab.InstanceID, s *stream) {
	if !t.beginServing(ctx) {
		return
	}

	defer t.activeStreams.Add(-1)
	defer func() { _ = s.Close() }()
	defer labrecovery.Recover(t.Log, "stream of "+string(from), s.Cancel)

	_ = s.SetReadDeadline(time.Now().Add(preambleTimeout))

	m := t.meter(s, string(from))
	defer m.Reset()

	var p preamble
	if err := decodeFrame(m, &p); err != nil {
		s.Cancel()

		return
	}

	_ = s.SetReadDeadline(time.Time{})

	s.ended = t.served.begin(p.Method)

	if h, ok := t.callHandlers[p.Method]; ok {
		t.serveCall(ctx, from, p, h, s, m)

		return
	}

	h, ok := t.streamHandlers[p.Method]
	if !ok {
		t.Log.Warn().Str("from", string(from)).Str("method", string(p.Method)).Msg("unknown_method")
		s.Cancel()

		return
	}

	decode := func(value any) error {
		defer m.Reset()

		return decodeFrame(m, value)
	}

	if err := h(ctx, from, decode, s); err != nil {
		t.Log.Debug().Err(err).Str("from", string(from)).Str("method", string(p.Method)).Msg("stream_failed")
		s.Cancel()
	}
}

// serveCall reads the request of a call from the reader and sends the response on the stream.
func (t *Transport) serveCall(
	ctx context.Context, from lab.InstanceID, p preamble, h lab.CallHandler, s *stream, request io.Reader,
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	b, err := readFrame(request)
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

	response, err := h(ctx, from, decode)
	t.respond(p, s, response, err)
}

func (t *Transport) respond(p preamble, s *stream, response any, failure error) {
	st := responseStatus{RequestID: p.RequestID}

	if failure != nil {
		var o *lab.OutcomeError

		st.Failed, st.Message = true, failure.Error()
		st.NotLeader = errors.Is(failure, lab.ErrNotLeader)

		if errors.As(failure, &o) {
			st.HasOutcome, st.Outcome, st.Reason = true, o.Outcome, o.Reason
		}
	}

	b, err := appendFrame(nil, st)
	if err == nil && failure == nil {
		b, err = appendFrame(b, response)
	}

	if err != nil {
		t.Log.Error().Err(err).Str("method", string(p.Method)).Msg("encode_answer_failed")
		s.Cancel()

		return
	}

	t.traffic.sent(p.Method, len(b))
	_, _ = s.Write(b) // if the peer is unreachable, its call times out
}

// beginServing adds a stream to the active streams. While the transport is draining, it waits and tries again. If the
// connection ends meanwhile, it returns false: the stream gets no response, and the peer receives lab.ErrPeerStopped,
// which means that the request was not run.
func (t *Transport) beginServing(ctx context.Context) bool {
	for {
		t.activeStreams.Add(1)

		if !t.draining.Load() {
			return true
		}

		t.activeStreams.Add(-1)

		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// setAccepted adds an accepted connection to the open connections, or removes it.
func (t *Transport) setAccepted(c *quic.Conn, open bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if open {
		t.acceptedConnections[c] = struct{}{}
	} else {
		delete(t.acceptedConnections, c)
	}
}
