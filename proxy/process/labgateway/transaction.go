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

	// minAcknowledgeTimeout is the least time for a replica to receive a write, whatever is left of the deadline.
	minAcknowledgeTimeout = time.Second
)

// transaction is bound to one connection of one member.
type transaction struct {
	role          *heldRole
	header        lab.TransactionHeader
	grant         lab.Grant
	started       time.Duration
	timeout       time.Duration // for the first unit from Begin on, and for each later one
	pool          atomic.Pointer[pool]
	treatAsWrite  atomic.Bool // a read-only transaction on the primary follows the rules of writes
	releaseSlot   func()      // gives the slot back, nil when none is held
	firstBatch    bool        // no unit has run
	wrote         bool        // a unit may have written
	ended         bool
	keyReserved   bool            // the request's name is reserved
	lastTag       string          // of the last command
	rolledBack    bool            // the last unit ended the transaction with an error
	batchContext  context.Context //nolint:containedctx // of the unit that runs, without its deadline
	batchDeadline time.Duration   // deadline of the unit that runs
	committed     bool            // a unit committed and began the next transaction

	mu             sync.Mutex
	conn           *labupstream.Conn
	stopBatch      context.CancelCauseFunc // of the unit that runs
	terminateCause error
	cancelled      bool
}

// Run executes one unit.
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

// abandonedState returns the outcome of a transaction that is rolled back unless the last unit is in doubt.
func (t *transaction) abandonedState(inDoubt bool) lab.IdempotencyState {
	switch {
	case inDoubt:
		return lab.IdempotencyPending
	case t.committed:
		return lab.IdempotencyDone
	}

	return lab.IdempotencyNotRun
}

// completedState returns the outcome of a transaction that ended on the upstream.
func (t *transaction) completedState() lab.IdempotencyState {
	if t.lastTag == rollbackTag || t.rolledBack {
		return t.abandonedState(false)
	}

	return lab.IdempotencyDone
}

// limitBatch limits a unit's time and lets force end it.
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

// runWithRetry runs a unit; a first one that was not sent, or a first read of which nothing was passed on, once more.
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
	result, end, err := t.execute(ctx, batch, response)

	if err == nil || !first || ctx.Err() != nil || end.Forwarded || !errors.Is(err, errConnectionFailed) {
		return result, err
	}

	excluded := ""

	if t.header.ReadOnly {
		excluded = t.pool.Load().member.Member
	}

	if end.Sent && (!batch.ReadOnly || !t.header.ReadOnly) {
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

// execute runs a unit on the bound connection and decides its outcome.
func (t *transaction) execute(
	ctx context.Context, batch lab.MessageBatch, response io.Writer,
) (lab.BatchResult, labupstream.Result, error) {
	g := t.role.gateway

	conn, err := t.sendableConn(batch)
	if err != nil {
		return lab.BatchResult{}, labupstream.Result{}, err
	}

	p, sentAt := t.pool.Load(), g.Clock.Now()
	end, err := conn.Run(ctx, batch, response, true)
	if err != nil {
		return lab.BatchResult{}, end, t.batchFailure(ctx, end, err)
	}

	t.firstBatch = false
	conn.LastAlive = sentAt

	// A reset runs on the upstream like a unit, so the slot is kept for it.
	if end.Status != 'I' || !conn.NeedsReset() {
		t.freeSlot()
	}

	if end.HasPosition {
		g.Observer.Note(p.member, sentAt, end.Position)
	}

	t.lastTag = end.CommandTag
	t.rolledBack = end.SQLState != "" && !end.Committed && end.Status == 'I'
	result := lab.BatchResult{Status: end.Status, FromReplica: end.Position.InRecovery, Member: p.member.Member}

	if err = t.checkResult(conn, batch, end, &result); err != nil {
		return lab.BatchResult{}, end, err
	}

	t.committed = t.committed || end.Committed

	if len(end.Withheld) > 0 {
		if _, err = response.Write(end.Withheld); err != nil {
			return lab.BatchResult{}, end, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("pass answer on: %w", err))
		}
	}

	return result, end, nil
}

// sendableConn returns the connection if the unit may be sent on it now.
func (t *transaction) sendableConn(batch lab.MessageBatch) (*labupstream.Conn, error) {
	t.mu.Lock()
	conn, cause := t.conn, t.terminateCause
	t.mu.Unlock()

	if cause != nil {
		return nil, asNotRun(cause)
	}

	// Units that are not known to be reads follow the rules of writes wherever they could write. Among them are the
	// start and end of read-only transaction blocks.
	if t.header.ReadOnly && !batch.ReadOnly && t.onPrimary() {
		if !t.grant.Writable {
			return nil, asNotRun(errNoPrimary)
		}

		t.treatAsWrite.Store(true)
	}

	if !t.role.grantValid(t.grant, t.mayWrite()) {
		return nil, asNotRun(errSuperseded)
	}

	return conn, nil
}

// mayWrite reports whether the transaction follows the rules of writes.
func (t *transaction) mayWrite() bool {
	return !t.header.ReadOnly || t.treatAsWrite.Load()
}

func (t *transaction) onPrimary() bool {
	database, found := t.role.gateway.Catalog.Database(t.header.Database)

	return !found || t.pool.Load().member.Member == database.Primary
}

// batchFailure gives the outcome of a unit whose connection failed. The slot is given back when the connection is closed.
func (t *transaction) batchFailure(ctx context.Context, end labupstream.Result, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Newf("%w: %s", cause, err.Error())
	} else if !errors.Is(err, labupstream.ErrMalformed) {
		err = errors.Mark(err, errConnectionFailed)
	}

	if !end.Sent {
		return asNotRun(err)
	}

	return lab.UnknownOutcomeError(outcomeReason(err), err)
}

// checkSilence decides about a connection that sent nothing for a while. A dropped connection and a slow statement look the
// same, so a statement is given up only when the member is lost or the observer found that connections open since
// before went silent; a first read is run again elsewhere in any case.
func (t *transaction) checkSilence(_ context.Context, silent time.Duration) error {
	p := t.pool.Load()

	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()

	for _, v := range t.role.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == p.member.Member && (v.Lost || conn != nil && v.SilentAt >= conn.LastAlive) {
			return errors.Newf("member %s does not answer on this connection for %s", p.member.Member, silent)
		}
	}

	if t.firstBatch && t.header.ReadOnly {
		return errors.Newf("member %s is silent for %s", p.member.Member, silent)
	}

	return nil
}
