package labforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// server runs one forwarded transaction at the local gateway.
type server struct {
	forwarder *Forwarder
	header    lab.TransactionHeader
	frames    *frameStream
	batches   chan lab.MessageBatch

	mu          sync.Mutex
	transaction lab.Transaction
}

// Serve is the lab.StreamHandler of lab.MethodTransaction.
func (f *Forwarder) Serve(ctx context.Context, _ lab.InstanceID, decode func(header any) error, stream lab.Stream) error {
	defer func() { _ = stream.Close() }()

	var h streamHeader
	if err := decode(&h); err != nil {
		stream.Cancel()

		return errors.Newf("decode transaction header: %w", err)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	s := &server{
		forwarder: f, header: h.Header, frames: newFrameStream(stream, h.Header, f.linkTo(h.Region)), batches: make(chan lab.MessageBatch),
	}

	// The reader ends with the stream: by its peer's end, or by Cancel below.
	done := make(chan struct{})

	go func() {
		defer close(done)
		defer cancel()
		s.read(ctx)
	}()

	err := s.run(ctx)

	// A blocked read does not see the context, so the receiving side is ended too once the peer had time to close.
	select {
	case <-done:
	case <-time.After(outcomeGrace):
		stream.Cancel()
		<-done
	}

	return err
}

// read takes frames from the entry proxy until the stream ends, which ends the transaction.
func (s *server) read(ctx context.Context) {
	for {
		f, err := s.frames.receive()
		if err != nil {
			return
		}

		switch f.Kind {
		case kindBatch:
			select {
			case s.batches <- *f.Batch:
			case <-ctx.Done():
				return
			}
		case kindCancel:
			s.cancel()
		case kindResponse, kindResult, kindFailure, kindKeepAlive:
			return
		}
	}
}

func (s *server) cancel() {
	s.mu.Lock()
	t := s.transaction
	s.mu.Unlock()

	if t != nil {
		t.Cancel()
	}
}

// run executes units until the transaction ends or the entry proxy vanishes.
func (s *server) run(ctx context.Context) error {
	defer func() {
		if s.transaction != nil {
			s.transaction.Close()
		}
	}()

	for {
		var batch lab.MessageBatch

		select {
		case batch = <-s.batches:
		case <-ctx.Done():
			return nil
		}

		result, err := s.runBatch(ctx, batch)
		if err != nil {
			outcome, reason := lab.OutcomeOf(err)
			_, err = s.frames.send(ctx, frame{Kind: kindFailure, Outcome: outcome, Reason: reason, Text: err.Error()})

			return s.closeWrite(err)
		}

		if _, err = s.frames.send(ctx, frame{Kind: kindResult, Result: &result}); err != nil || result.Status == 'I' {
			return s.closeWrite(err)
		}
	}
}

func (s *server) closeWrite(err error) error {
	if err != nil {
		return errors.Newf("answer unit: %w", err)
	}

	if err = s.frames.stream.CloseWrite(); err != nil {
		return errors.Newf("end stream: %w", err)
	}

	return nil
}

// runBatch runs one unit, the first one after admission, and sends keepalive frames meanwhile.
func (s *server) runBatch(ctx context.Context, batch lab.MessageBatch) (lab.BatchResult, error) {
	stop := s.keepAlive(ctx)
	defer stop()

	if s.transaction == nil {
		t, err := s.forwarder.Local.Begin(ctx, s.header)
		if err != nil {
			return lab.BatchResult{}, err
		}

		s.mu.Lock()
		s.transaction = t
		s.mu.Unlock()
	}

	return s.transaction.Run(ctx, batch, &responseWriter{ctx: ctx, frames: s.frames})
}

// keepAlive tells the entry proxy regularly that the unit still runs. The returned function waits for the last one.
func (s *server) keepAlive(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)

		ticker := time.NewTicker(s.forwarder.progressTimeout() / keepAlivesPerTimeout)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if _, err := s.frames.send(ctx, frame{Kind: kindKeepAlive}); err != nil {
					return
				}
			}
		}
	}()

	return func() { cancel(); <-done }
}

// responseWriter sends an answer in frames.
type responseWriter struct {
	ctx    context.Context //nolint:containedctx // of the unit whose answer it is
	frames *frameStream
}

var _ io.Writer = (*responseWriter)(nil)

// Write sends the data in chunks.
func (w *responseWriter) Write(data []byte) (int, error) {
	for sent := 0; sent < len(data); sent += chunkSize {
		chunk := data[sent:min(sent+chunkSize, len(data))]
		if _, err := w.frames.send(w.ctx, frame{Kind: kindResponse, Data: chunk}); err != nil {
			return sent, err
		}
	}

	return len(data), nil
}
