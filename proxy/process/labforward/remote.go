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
	errSilentPeer = errors.New("the gateway's proxy is silent")
	errEnded      = errors.New("the transaction has ended")
)

// remote is a transaction at a gateway of another proxy.
type remote struct {
	forwarder *Forwarder
	header    lab.TransactionHeader
	placement lab.GatewayPlacement
	ended     bool

	mu   sync.Mutex
	wire *wire
}

// Run sends a unit and passes its answer on.
func (r *remote) Run(ctx context.Context, unit lab.MessageBatch, answer io.Writer) (lab.BatchResult, error) {
	if r.ended {
		return lab.BatchResult{}, lab.NotRunError(lab.ReasonRejected, errEnded)
	}

	w, err := r.connect(ctx)
	if err != nil {
		r.ended = true

		return lab.BatchResult{}, lab.NotRunError(failureReason(ctx), errors.Newf("open stream to %s: %w", r.placement.Address, err))
	}

	result, err := r.exchange(ctx, w, unit, answer)
	if err != nil || result.Status == 'I' {
		r.ended = true
		r.end(err)
	}

	return result, err
}

func (r *remote) connect(ctx context.Context) (*wire, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.wire != nil {
		return r.wire, nil
	}

	f := r.forwarder

	stream, err := f.Peers.Open(ctx, r.placement.Address, lab.MethodTransaction, opening{Header: r.header, Region: f.Self.Region})
	if err != nil {
		return nil, err
	}

	r.wire = newWire(stream, r.header, f.linkTo(r.placement.Region))

	return r.wire, nil
}

// exchange sends a unit and reads frames until its result.
func (r *remote) exchange(ctx context.Context, w *wire, unit lab.MessageBatch, answer io.Writer) (lab.BatchResult, error) {
	stop := abandon(ctx, w.stream)
	defer stop()

	received, err := w.send(ctx, frame{Kind: kindUnit, Unit: &unit})
	if errors.Is(err, lab.ErrPeerStopped) {
		return lab.BatchResult{}, lab.NotRunError(lab.ReasonDraining, errors.Newf("send unit: %w", err))
	}

	if err != nil && !received {
		return lab.BatchResult{}, lab.NotRunError(failureReason(ctx), errors.Newf("send unit: %w", err))
	}

	if err != nil {
		return lab.BatchResult{}, lab.UnknownOutcomeError(failureReason(ctx), errors.Newf("send unit: %w", err))
	}

	for {
		f, err := r.receive(w)
		if errors.Is(err, lab.ErrPeerStopped) {
			return lab.BatchResult{}, lab.NotRunError(lab.ReasonDraining, errors.Newf("read answer: %w", err))
		}

		if err != nil {
			return lab.BatchResult{}, lab.UnknownOutcomeError(failureReason(ctx), errors.Newf("read answer: %w", err))
		}

		switch f.Kind {
		case kindAnswer:
			if _, err = answer.Write(f.Data); err != nil {
				return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("pass answer on: %w", err))
			}
		case kindResult:
			return *f.Result, nil
		case kindFailure:
			return lab.BatchResult{}, &lab.OutcomeError{Outcome: f.Outcome, Reason: f.Reason, Err: errors.New(f.Text)}
		case kindKeepAlive:
		case kindUnit, kindCancel:
			return lab.BatchResult{}, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("%w: kind %d from a gateway", errFrame, f.Kind))
		}
	}
}

// receive reads a frame and takes a stream that stays silent for lost. Time spent passing the answer on does not count.
func (r *remote) receive(w *wire) (frame, error) {
	watchdog := time.AfterFunc(r.forwarder.progressTimeout(), w.stream.Cancel)

	f, err := w.receive()
	if !watchdog.Stop() && err != nil {
		return frame{}, errors.Newf("%w: %s", errSilentPeer, err.Error())
	}

	return f, err
}

// abandon ends the stream when the context is cancelled, or a short time after its deadline.
func abandon(ctx context.Context, stream lab.Stream) (stop func()) {
	done := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			timer := time.NewTimer(abandonAfter)
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

// end closes the stream, at once when the transaction failed.
func (r *remote) end(failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.wire == nil {
		return
	}

	if failure != nil {
		r.wire.stream.Cancel()
	}

	_ = r.wire.stream.Close()
}

// Cancel forwards a cancel request.
func (r *remote) Cancel() {
	r.mu.Lock()
	w := r.wire
	r.mu.Unlock()

	if w == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), r.forwarder.progressTimeout())
	defer cancel()

	_, _ = w.send(ctx, frame{Kind: kindCancel})
}

// Close ends the transaction; the gateway rolls an unfinished one back.
func (r *remote) Close() {
	if !r.ended {
		r.ended = true
		r.end(errEnded)
	}
}
