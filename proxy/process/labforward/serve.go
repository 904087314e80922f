package labforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// forwardedTransaction runs one transaction of another proxy at the local gateway.
type forwardedTransaction struct {
	forwarder *Forwarder
	header    lab.TransactionHeader
	frames    *frameStream
	batches   chan lab.MessageBatch // batches that read has received and run executes

	mu          sync.Mutex
	transaction lab.Transaction // nil until the first batch runs
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

	s := &forwardedTransaction{
		forwarder: f, header: h.Header, frames: newFrameStream(stream, h.Header, f.linkTo(h.Region)),
		batches: make(chan lab.MessageBatch),
	}

	// The goroutine ends when the peer closes the stream, or when the stream is cancelled below.
	done := make(chan struct{})

	go func() {
		defer close(done)
		defer cancel()
		s.read(ctx)
	}()

	err := s.run(ctx)

	// A read of the stream that waits for data does not end with the context. If the peer does not close the stream
	// within outcomeGrace, the stream is cancelled.
	select {
	case <-done:
	case <-time.After(outcomeGrace):
		stream.Cancel()
		<-done
	}

	return err
}

// read processes the frames from the entry proxy until the stream ends or an unexpected frame arrives. When read
// returns, the transaction ends.
func (s *forwardedTransaction) read(ctx context.Context) {
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

func (s *forwardedTransaction) cancel() {
	s.mu.Lock()
	t := s.transaction
	s.mu.Unlock()

	if t != nil {
		t.Cancel()
	}
}

// run executes batches until the transaction ends or the entry proxy closes the stream.
func (s *forwardedTransaction) run(ctx context.Context) error {
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

func (s *forwardedTransaction) closeWrite(err error) error {
	if err != nil {
		return errors.Newf("send the outcome of a batch: %w", err)
	}

	if err = s.frames.stream.CloseWrite(); err != nil {
		return errors.Newf("close sending side of stream: %w", err)
	}

	return nil
}

// runBatch runs one batch and sends keepalive frames while it runs. The first batch begins the transaction.
func (s *forwardedTransaction) runBatch(ctx context.Context, batch lab.MessageBatch) (lab.BatchResult, error) {
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

// keepAlive sends keepalive frames at a regular interval until the returned function stop is called. stop returns when
// the last of these frames has been sent.
func (s *forwardedTransaction) keepAlive(ctx context.Context) (stop func()) {
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

// responseWriter sends a response in frames.
type responseWriter struct {
	ctx    context.Context //nolint:containedctx // context of the batch that the response belongs to
	frames *frameStream
}

var _ io.Writer = (*responseWriter)(nil)

// Write sends the data in frames of at most chunkSize bytes of data.
func (w *responseWriter) Write(data []byte) (int, error) {
	for sent := 0; sent < len(data); sent += chunkSize {
		chunk := data[sent:min(sent+chunkSize, len(data))]
		if _, err := w.frames.send(w.ctx, frame{Kind: kindResponse, Data: chunk}); err != nil {
			return sent, err
		}
	}

	return len(data), nil
}
