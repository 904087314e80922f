package labgateway

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

const (
	readOnlySQLState = "25006"
	rollbackTag      = "ROLLBACK"
	resetTimeout     = time.Second
	resolveTimeout   = time.Second

	// minAcknowledgeTimeout is the shortest timeout of waitForReplica. It applies even if less time is left until the
	// request's deadline.
	minAcknowledgeTimeout = time.Second
)

// transaction is a lab.Transaction that is bound to one connection of one member.
type transaction struct {
	role            *heldRole
	header          lab.TransactionHeader
	grant           lab.Grant            // grant of the role under which the transaction runs
	started         time.Duration        // value of Clock.Now at Begin
	timeout         time.Duration        // time limit of each batch; for the first batch it counts from Begin
	pool            atomic.Pointer[pool] // pool of the member; nil while no member is chosen
	writeRulesApply atomic.Bool          // set when a batch of this read-only transaction could write
	releaseSlot     func()               // releases the admission slot; nil when no slot is held
	firstBatch      bool                 // no batch has run yet
	mayHaveWritten  bool                 // a batch was run that is not known to be a read
	ended           bool                 // all resources are released; no further batch may run
	keyReserved     bool                 // the request's idempotency key is reserved
	lastTag         string               // last command tag in the response to the latest batch
	rolledBack      bool                 // the latest batch failed and ended the transaction without a commit
	batchContext    context.Context      //nolint:containedctx // context of the running batch, without its deadline
	batchDeadline   time.Duration        // value of Clock.Now at the deadline of the running batch
	committed       bool                 // a batch has completed a commit; more batches may have run after it

	mu             sync.Mutex
	conn           *labupstream.Conn
	stopBatch      context.CancelCauseFunc // cancels the running batch; nil when none is running
	terminateCause error                   // reason why the transaction was terminated; nil otherwise
	cancelled      bool                    // a cancel request was sent for a batch
}

// Run executes one message batch.
func (t *transaction) Run(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	if t.ended {
		return lab.BatchResult{}, asNotRun(errTransactionEnded)
	}

	ctx, cancel := t.limitBatch(ctx)
	defer cancel()

	result, err := t.runWithRetry(ctx, batch, response)
	if err != nil {
		outcome, _ := lab.OutcomeOf(err)
		t.finish(t.abandonedState(outcome != lab.OutcomeNotRun))

		return result, err
	}

	if result.Status == 'I' {
		t.finish(t.completedState())
	}

	return result, nil
}

// abandonedState returns the outcome to record for a transaction that is rolled back. If inDoubt is set, the last batch
// may have run on the upstream, and the outcome stays pending.
func (t *transaction) abandonedState(inDoubt bool) lab.IdempotencyState {
	switch {
	case inDoubt:
		return lab.IdempotencyPending
	case t.committed:
		return lab.IdempotencyDone
	}

	return lab.IdempotencyNotRun
}

// completedState returns the outcome to record for a transaction that ended on the upstream.
func (t *transaction) completedState() lab.IdempotencyState {
	if t.lastTag == rollbackTag || t.rolledBack {
		return t.abandonedState(false)
	}

	return lab.IdempotencyDone
}

// limitBatch returns the context of a batch. The context ends at the batch's deadline or when terminate is called.
func (t *transaction) limitBatch(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := t.timeout
	if t.firstBatch {
		limit -= t.role.gateway.Clock.Now() - t.started
	}

	t.batchDeadline = t.role.gateway.Clock.Now() + limit

	ctx, stop := context.WithCancelCause(ctx)
	t.batchContext = ctx
	ctx, cancel := context.WithTimeout(ctx, limit)

	t.mu.Lock()
	defer t.mu.Unlock()

	t.stopBatch = stop
	if t.terminateCause != nil {
		stop(t.terminateCause)
	}

	return ctx, func() {
		cancel()
		t.mu.Lock()
		t.stopBatch = nil
		t.mu.Unlock()
		stop(nil)
	}
}

// runWithRetry runs a batch. It runs the batch a second time on another connection if all of these conditions hold:
//   - The batch is the first one, and its connection failed.
//   - No part of its response was forwarded.
//   - The batch was not sent, or it is a read of a read-only transaction.
func (t *transaction) runWithRetry(ctx context.Context, batch lab.MessageBatch, response io.Writer) (lab.BatchResult, error) {
	if _, err := t.sendableConn(batch); err != nil {
		return lab.BatchResult{}, err
	}

	if t.releaseSlot == nil {
		if err := t.acquireSlot(ctx, t.pool.Load().member.Member); err != nil {
			return lab.BatchResult{}, err
		}
	}

	first := t.firstBatch
	result, upstreamResult, err := t.execute(ctx, batch, response)

	if err == nil || !first || ctx.Err() != nil || upstreamResult.Forwarded || !errors.Is(err, errConnectionFailed) {
		return result, err
	}

	excluded := ""

	if t.header.ReadOnly {
		excluded = t.pool.Load().member.Member
	}

	if upstreamResult.Sent && (!batch.ReadOnly || !t.header.ReadOnly) {
		return result, err
	}

	t.releaseAll()

	if err = t.bind(ctx, excluded); err != nil {
		return lab.BatchResult{}, err
	}

	t.firstBatch = false
	result, _, err = t.execute(ctx, batch, response)

	return result, err
}

// execute runs a batch on the bound connection and determines its outcome.
func (t *transaction) execute(
	ctx context.Context, batch lab.MessageBatch, response io.Writer,
) (lab.BatchResult, labupstream.Result, error) {
	g := t.role.gateway

	conn, err := t.sendableConn(batch)
	if err != nil {
		return lab.BatchResult{}, labupstream.Result{}, err
	}

	p, sentAt := t.pool.Load(), g.Clock.Now()
	upstreamResult, err := conn.Run(ctx, batch, response, true)
	if err != nil {
		return lab.BatchResult{}, upstreamResult, t.batchFailure(ctx, upstreamResult, err)
	}

	t.firstBatch = false
	conn.LastAlive = sentAt

	// Resetting the session runs a statement on the upstream, so the slot is kept until the reset has ended.
	if upstreamResult.Status != 'I' || !conn.NeedsReset() {
		t.freeSlot()
	}

	if upstreamResult.HasPosition {
		g.Observer.RecordPosition(p.member, sentAt, upstreamResult.Position)
	}

	t.lastTag = upstreamResult.CommandTag
	t.rolledBack = upstreamResult.SQLState != "" && !upstreamResult.Committed && upstreamResult.Status == 'I'
	result := lab.BatchResult{
		Status: upstreamResult.Status, FromReplica: upstreamResult.Position.InRecovery, Member: p.member.Member,
	}

	if err = t.checkResult(conn, batch, upstreamResult, &result); err != nil {
		return lab.BatchResult{}, upstreamResult, err
	}

	t.committed = t.committed || upstreamResult.Committed

	if len(upstreamResult.Withheld) > 0 {
		if _, err = response.Write(upstreamResult.Withheld); err != nil {
			return lab.BatchResult{}, upstreamResult,
				lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("write response: %w", err))
		}
	}

	return result, upstreamResult, nil
}

// sendableConn returns the connection if the batch may be sent on it now.
func (t *transaction) sendableConn(batch lab.MessageBatch) (*labupstream.Conn, error) {
	t.mu.Lock()
	conn, cause := t.conn, t.terminateCause
	t.mu.Unlock()

	if cause != nil {
		return nil, asNotRun(cause)
	}

	// On the primary, a batch that is not known to be a read could write, so the rules of writes apply to it (see
	// mayWrite). Batches that begin or end a read-only transaction block are not known to be reads either.
	if t.header.ReadOnly && !batch.ReadOnly && t.onPrimary() {
		if !t.grant.Writable {
			return nil, asNotRun(errNoPrimary)
		}

		t.writeRulesApply.Store(true)
	}

	if !t.role.grantValid(t.grant, t.mayWrite()) {
		return nil, asNotRun(errSuperseded)
	}

	return conn, nil
}

// mayWrite reports whether the transaction is subject to the rules of writes: it needs a writable grant, and a replica
// must receive its commits.
func (t *transaction) mayWrite() bool {
	return !t.header.ReadOnly || t.writeRulesApply.Load()
}

func (t *transaction) onPrimary() bool {
	database, found := t.role.gateway.Catalog.Database(t.header.Database)

	return !found || t.pool.Load().member.Member == database.Primary
}

// batchFailure returns the error of a batch whose connection failed, with the outcome of the batch. It does not release
// the slot, which is held until the connection is closed.
func (t *transaction) batchFailure(ctx context.Context, upstreamResult labupstream.Result, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Newf("%w: %s", cause, err.Error())
	} else if !errors.Is(err, labupstream.ErrMalformed) {
		err = errors.Mark(err, errConnectionFailed)
	}

	if !upstreamResult.Sent {
		return asNotRun(err)
	}

	return lab.UnknownOutcomeError(outcomeReason(err), err)
}

// checkSilence is called when the connection has received nothing for a progress timeout. It returns an error if the
// batch should not wait any longer. The first batch of a read-only transaction never waits any longer, because it can
// run on another member. For any other batch, a lost connection looks the same as a slow statement. Its wait therefore
// ends only if the member is unreachable, or if the observer's own connection to the member became unresponsive after
// this connection last worked.
func (t *transaction) checkSilence(_ context.Context, silent time.Duration) error {
	p := t.pool.Load()

	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()

	for _, v := range t.role.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == p.member.Member && (v.Unreachable || conn != nil && v.UnresponsiveAt >= conn.LastAlive) {
			return errors.Newf("member %s has not responded on this connection for %s", p.member.Member, silent)
		}
	}

	if t.firstBatch && t.header.ReadOnly {
		return errors.Newf("member %s has sent nothing for %s", p.member.Member, silent)
	}

	return nil
}
