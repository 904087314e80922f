package labforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

var (
	errSilentPeer = errors.New("the gateway has sent nothing within the progress timeout")
	errEnded      = errors.New("the transaction has ended")
)

// remoteTransaction is a transaction that runs at another proxy's gateway.
type remoteTransaction struct {
	forwarder *Forwarder
	header    lab.TransactionHeader
	placement lab.GatewayPlacement
	ended     bool // no further batch may run

	mu     sync.Mutex
	frames *frameStream // nil until the first batch is sent
}

// Run sends a batch to the gateway and copies the gateway's response to the writer.
func (r *remoteTransaction) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	if r.ended {
		return lab.BatchResult{}, lab.NotRunError(lab.ReasonRejected, errEnded)
	}

	frames, err := r.connect(ctx)
	if err != nil {
		r.ended = true

		return lab.BatchResult{}, lab.NotRunError(failureReason(ctx), errors.Newf("open stream to %s: %w", r.placement.Address, err))
	}

	result, err := r.exchange(ctx, frames, batch, response)
	if err != nil || result.Status == 'I' {
		r.ended = true
		r.closeStream(err)
	}

	return result, err
}

func (r *remoteTransaction) connect(ctx context.Context) (*frameStream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.frames != nil {
		return r.frames, nil
	}

	f := r.forwarder

	stream, err := f.Peers.Open(
		ctx, r.placement.Address, lab.MethodTransaction, streamHeader{Header: r.header, Region: f.Self.Region})
	if err != nil {
		return nil, err
	}

	r.frames = newFrameStream(stream, r.header, f.linkTo(r.placement.Region))

	return r.frames, nil
}

// exchange sends a batch and reads frames until the batch's result arrives.
func (r *remoteTransaction) exchange(
	ctx context.Context, frames *frameStream, batch lab.MessageBatch, response io.Writer,
) (lab.BatchResult, error) {
	stop := cancelWithContext(ctx, frames.stream)
	defer stop()

	received, err := frames.send(ctx, frame{Kind: kindBatch, Batch: &batch})
	if errors.Is(err, lab.ErrPeerStopped) {
		return lab.BatchResult{}, lab.NotRunError(lab.ReasonDraining, errors.Newf("send batch: %w", err))
	}

	if err != nil && !received {
		return lab.BatchResult{}, lab.NotRunError(failureReason(ctx), errors.Newf("send batch: %w", err))
	}

	if err != nil {
		return lab.BatchResult{}, lab.UnknownOutcomeError(failureReason(ctx), errors.Newf("send batch: %w", err))
	}

	for {
		f, err := r.receive(frames)
		if errors.Is(err, lab.ErrPeerStopped) {
			return lab.BatchResult{}, lab.NotRunError(lab.ReasonDraining, errors.Newf("read response: %w", err))
		}

		if err != nil {
			return lab.BatchResult{}, lab.UnknownOutcomeError(failureReason(ctx), errors.Newf("read response: %w", err))
		}

		switch f.Kind {
		case kindResponse:
			if _, err = response.Write(f.Data); err != nil {
				return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("write response: %w", err))
			}
		case kindResult:
			return *f.Result, nil
		case kindFailure:
			return lab.BatchResult{}, &lab.OutcomeError{Outcome: f.Outcome, Reason: f.Reason, Err: errors.New(f.Text)}
		case kindKeepAlive:
		case kindBatch, kindCancel:
			return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("%w: kind %d from a gateway", errFrame, f.Kind))
		}
	}
}

// receive reads a frame. It cancels the stream if no frame arrives within the progress timeout. The timeout starts with
// the call, so the time spent on writing the response to the client does not count.
func (r *remoteTransaction) receive(frames *frameStream) (frame, error) {
	watchdog := time.AfterFunc(r.forwarder.progressTimeout(), frames.stream.Cancel)

	f, err := frames.receive()
	if !watchdog.Stop() && err != nil {
		return frame{}, errors.Newf("%w: %s", errSilentPeer, err.Error())
	}

	return f, err
}

// cancelWithContext cancels the stream when the context is cancelled, or outcomeGrace after the context's deadline. It
// does nothing after the returned function was called.
func cancelWithContext(ctx context.Context, stream lab.Stream) (stop func()) {
	done := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			timer := time.NewTimer(outcomeGrace)
			defer timer.Stop()

			select {
			case <-timer.C:
			case <-done:
				return
			}
		}

		stream.Cancel()
	})

	return func() { unregister(); close(done) }
}

func failureReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lab.ReasonDeadline
	case ctx.Err() != nil:
		return lab.ReasonCancelled
	}

	return lab.ReasonConnectionLost
}

// closeStream closes the stream. After a failure it first cancels both directions.
func (r *remoteTransaction) closeStream(failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.frames == nil {
		return
	}

	if failure != nil {
		r.frames.stream.Cancel()
	}

	_ = r.frames.stream.Close()
}

// Cancel forwards a cancel request to the gateway.
func (r *remoteTransaction) Cancel() {
	r.mu.Lock()
	frames := r.frames
	r.mu.Unlock()

	if frames == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), r.forwarder.progressTimeout())
	defer cancel()

	_, _ = frames.send(ctx, frame{Kind: kindCancel})
}

// Close ends the transaction. The gateway rolls back an unfinished transaction.
func (r *remoteTransaction) Close() {
	if !r.ended {
		r.ended = true
		r.closeStream(errEnded)
	}
}
