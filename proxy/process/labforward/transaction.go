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
	header    lab.Header
	started   time.Duration
	tried     map[lab.InstanceID]bool
	first     bool

	mu    sync.Mutex
	inner lab.Transaction
}

// route binds the transaction to a gateway; refused is the error of the one before, nil for the first.
func (t *transaction) route(ctx context.Context, refused error) error {
	for {
		if refused != nil {
			if t.header.Hops >= maxHops {
				return refused
			}

			t.header.Hops++
		}

		placement, err := t.next(ctx, refused)
		if err != nil {
			return err
		}

		header := t.header
		if header.Deadline > 0 {
			header.Deadline = max(header.Deadline-(t.forwarder.Clock.Now()-t.started), time.Millisecond)
		}

		inner, err := t.forwarder.open(ctx, header, placement)
		if err == nil {
			t.mu.Lock()
			t.inner = inner
			t.mu.Unlock()

			return nil
		}

		if !misrouted(err) {
			return err
		}

		refused = err
	}
}

// next returns a placement that was not tried, after a pause for the catalog to change when all were.
func (t *transaction) next(ctx context.Context, refused error) (lab.Placement, error) {
	placement, found, err := t.forwarder.place(t.header, t.tried)
	if err != nil {
		return lab.Placement{}, err
	}

	if !found && refused != nil {
		if err = t.forwarder.Clock.Sleep(ctx, catalogPause); err != nil {
			return lab.Placement{}, refused
		}

		clear(t.tried)
		placement, found, err = t.forwarder.place(t.header, t.tried)
	}

	if err != nil {
		return lab.Placement{}, err
	}

	if !found {
		return lab.Placement{}, lab.NotRun(lab.ReasonNoPrimary, errors.New("no gateway is known"))
	}

	t.tried[placement.Instance] = true

	return placement, nil
}

func misrouted(err error) bool {
	outcome, reason := lab.OutcomeOf(err)

	return outcome == lab.OutcomeNotRun && reason == lab.ReasonMisrouted
}

// Run executes one unit.
func (t *transaction) Run(ctx context.Context, unit lab.Unit, answer io.Writer) (lab.Result, error) {
	for {
		result, err := t.bound().Run(ctx, unit, answer)
		if err == nil {
			t.first = false

			return result, nil
		}

		if !t.first || !misrouted(err) {
			return result, err
		}

		t.bound().Close()

		if err = t.route(ctx, err); err != nil {
			return lab.Result{}, err
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
