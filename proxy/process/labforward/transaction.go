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
	forwarder *Forwarder
	header    lab.TransactionHeader
	started   time.Duration
	tried     map[lab.InstanceID]bool
	first     bool

	mu    sync.Mutex
	inner lab.Transaction
}

// route binds the transaction to a gateway; refused is the error of the one before, nil for the first.
func (t *transaction) route(ctx context.Context, refused error) error {
	for {
		placement, err := t.next(ctx, refused)
		if err != nil {
			return err
		}

		header := t.header
		if header.TimeLeft > 0 {
			header.TimeLeft = max(t.left(), time.Millisecond)
		}

		inner, err := t.forwarder.open(ctx, header, placement)
		if err == nil {
			t.mu.Lock()
			t.inner = inner
			t.mu.Unlock()

			return nil
		}

		if !moving(err) {
			return err
		}

		refused = err
		t.header.Hops++
	}
}

// next returns a placement that was not tried. When all were, the duty is moving: it pauses and tries them again while
// time is left, so that a change of gateway delays requests and does not fail them.
func (t *transaction) next(ctx context.Context, refused error) (lab.GatewayPlacement, error) {
	for {
		placement, found := t.forwarder.place(t.header, t.tried)
		if found {
			t.tried[placement.Instance] = true

			return placement, nil
		}

		if refused == nil {
			refused = lab.NotRunError(lab.ReasonNoPrimary, errors.New("no gateway is known"))
		}

		if t.left() <= catalogPause || t.forwarder.Clock.Sleep(ctx, catalogPause) != nil {
			return lab.GatewayPlacement{}, refused
		}

		clear(t.tried)
	}
}

// left returns the time until the request's deadline.
func (t *transaction) left() time.Duration {
	limit := t.header.TimeLeft
	if limit <= 0 {
		limit = defaultRouteTime
	}

	return limit - (t.forwarder.Clock.Now() - t.started)
}

// moving reports whether the gateway refused because it does not hold the duty, or not yet.
func moving(err error) bool {
	outcome, reason := lab.OutcomeOf(err)

	return outcome == lab.OutcomeNotRun &&
		(reason == lab.ReasonMisrouted || reason == lab.ReasonNoLease || reason == lab.ReasonDraining)
}

// Run executes one unit.
func (t *transaction) Run(ctx context.Context, unit lab.MessageBatch, answer io.Writer) (lab.BatchResult, error) {
	for {
		result, err := t.bound().Run(ctx, unit, answer)
		if err == nil {
			t.first = false

			return result, nil
		}

		if !t.first || !moving(err) {
			return result, err
		}

		t.bound().Close()

		t.header.Hops++

		if err = t.route(ctx, err); err != nil {
			return lab.BatchResult{}, err
		}
	}
}

func (t *transaction) bound() lab.Transaction {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.inner
}

// Cancel asks the upstream to cancel what runs.
func (t *transaction) Cancel() {
	t.bound().Cancel()
}

// Close ends the transaction.
func (t *transaction) Close() {
	t.bound().Close()
}
