package labforward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// transaction sends batches to a gateway. If the chosen proxy rejects the first batch because it does not hold the
// gateway role, the transaction is sent to another proxy.
type transaction struct {
	forwarder    *Forwarder
	header       lab.TransactionHeader
	started      time.Duration           // value of Clock.Now at Begin
	triedProxies map[lab.InstanceID]bool // proxies already tried in the current round, see nextPlacement
	firstBatch   bool                    // no batch has run yet

	mu    sync.Mutex
	bound lab.Transaction // transaction at the chosen gateway
}

// openAtGateway binds the transaction to a gateway. The parameter refusal is the error of the gateway that was tried
// last, or nil if none has been tried.
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

// nextPlacement returns a placement that has not been tried. If all have been tried, the gateway role is probably
// moving between proxies. nextPlacement then pauses and starts another round, in which all placements are tried again,
// as long as time is left. A move of the role thus delays requests but does not make them fail.
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

// timeLeft returns the time left until the request's deadline. For a request without a deadline, it returns what is
// left of defaultRouteTimeout.
func (t *transaction) timeLeft() time.Duration {
	limit := t.header.TimeLeft
	if limit <= 0 {
		limit = defaultRouteTimeout
	}

	return limit - (t.forwarder.Clock.Now() - t.started)
}

// notGateway reports whether a proxy rejected a request for one of these reasons: the proxy does not hold the gateway
// role, it has no valid lease for the role, or it is draining.
func notGateway(err error) bool {
	outcome, reason := lab.OutcomeOf(err)

	return outcome == lab.OutcomeNotRun &&
		(reason == lab.ReasonMisrouted || reason == lab.ReasonNoLease || reason == lab.ReasonDraining)
}

// Run executes one batch.
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

// Cancel asks the upstream to cancel the running batch.
func (t *transaction) Cancel() {
	t.current().Cancel()
}

// Close ends the transaction.
func (t *transaction) Close() {
	t.current().Close()
}
