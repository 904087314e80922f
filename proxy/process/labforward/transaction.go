package labforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// transaction is routed again while its first unit meets gateways that do not hold the duty.
type transaction struct {
	forwarder    *Forwarder
	header       lab.TransactionHeader
	started      time.Duration
	triedProxies map[lab.InstanceID]bool
	firstBatch   bool

	mu    sync.Mutex
	bound lab.Transaction
}

// openAtGateway binds the transaction to a gateway; refused is the error of the one before, nil for the first.
func (t *transaction) openAtGateway(ctx context.Context, refusal error) error {
	for {
		placement, err := t.nextPlacement(ctx, refusal)
		if err != nil {
			return err
		}

		header := t.header
		if header.TimeLeft > 0 {
			header.TimeLeft = max(t.timeLeft(), time.Millisecond)
		}

		inner, err := t.forwarder.openAt(ctx, header, placement)
		if err == nil {
			t.mu.Lock()
			t.bound = inner
			t.mu.Unlock()

			return nil
		}

		if !notGateway(err) {
			return err
		}

		refusal = err
		t.header.Hops++
	}
}

// nextPlacement returns a placement that was not tried. When all were, the duty is moving: it pauses and tries them again while
// time is left, so that a change of gateway delays requests and does not fail them.
func (t *transaction) nextPlacement(ctx context.Context, refusal error) (lab.GatewayPlacement, error) {
	for {
		placement, found := t.forwarder.choosePlacement(t.header, t.triedProxies)
		if found {
			t.triedProxies[placement.Instance] = true

			return placement, nil
		}

		if refusal == nil {
			refusal = lab.NotRunError(lab.ReasonNoPrimary, errors.New("no gateway is known"))
		}

		if t.timeLeft() <= catalogRetryDelay || t.forwarder.Clock.Sleep(ctx, catalogRetryDelay) != nil {
			return lab.GatewayPlacement{}, refusal
		}

		clear(t.triedProxies)
	}
}

// timeLeft returns the time until the request's deadline.
func (t *transaction) timeLeft() time.Duration {
	limit := t.header.TimeLeft
	if limit <= 0 {
		limit = defaultRouteTimeout
	}

	return limit - (t.forwarder.Clock.Now() - t.started)
}

// notGateway reports whether the gateway refused because it does not hold the duty, or not yet.
func notGateway(err error) bool {
	outcome, reason := lab.OutcomeOf(err)

	return outcome == lab.OutcomeNotRun &&
		(reason == lab.ReasonMisrouted || reason == lab.ReasonNoLease || reason == lab.ReasonDraining)
}

// Run executes one unit.
func (t *transaction) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	for {
		result, err := t.current().Run(ctx, batch, response)
		if err == nil {
			t.firstBatch = false

			return result, nil
		}

		if !t.firstBatch || !notGateway(err) {
			return result, err
		}

		t.current().Close()

		t.header.Hops++

		if err = t.openAtGateway(ctx, err); err != nil {
			return lab.BatchResult{}, err
		}
	}
}

func (t *transaction) current() lab.Transaction {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.bound
}

// Cancel asks the upstream to cancel what runs.
func (t *transaction) Cancel() {
	t.current().Cancel()
}

// Close ends the transaction.
func (t *transaction) Close() {
	t.current().Close()
}
