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
	readOnlyCode = "25006"
	rollbackTag  = "ROLLBACK"
	resetWait    = time.Second
	resolveWait  = time.Second

	// acknowledgeWait is the least time for a replica to receive a write, whatever is left of the deadline.
	acknowledgeWait = time.Second
)

// transaction is bound to one connection of one member.
type transaction struct {
	duty       *duty
	header     lab.TransactionHeader
	grant      lab.Grant
	started    time.Duration
	limit      time.Duration // for the first unit from Begin on, and for each later one
	pool       atomic.Pointer[pool]
	promoted   atomic.Bool // a read-only transaction on the primary follows the rules of writes
	release    func()      // gives the slot back, nil when none is held
	first      bool        // no unit has run
	wrote      bool        // a unit may have written
	ended      bool
	named      bool            // the request's name is reserved
	tag        string          // of the last command
	rolledBack bool            // the last unit ended the transaction with an error
	unlimited  context.Context //nolint:containedctx // of the unit that runs, without its deadline
	until      time.Duration   // deadline of the unit that runs
	committed  bool            // a unit committed and began the next transaction

	mu        sync.Mutex
	conn      *labupstream.Conn
	stop      context.CancelCauseFunc // of the unit that runs
	forced    error
	cancelled bool
}

// Run executes one unit.
func (t *transaction) Run(ctx context.Context, unit lab.MessageBatch, answer io.Writer) (lab.BatchResult, error) {
	if t.ended {
		return lab.BatchResult{}, notRun(errEnded)
	}

	ctx, cancel := t.bound(ctx)
	defer cancel()

	result, err := t.attempt(ctx, unit, answer)
	if err != nil {
		outcome, _ := lab.OutcomeOf(err)
		t.finish(t.abandoned(outcome != lab.OutcomeNotRun))

		return result, err
	}

	if result.Status == 'I' {
		t.finish(t.completed())
	}

	return result, nil
}

// abandoned returns the outcome of a transaction that is rolled back unless the last unit is in doubt.
func (t *transaction) abandoned(doubt bool) lab.IdempotencyState {
	switch {
	case doubt:
		return lab.IdempotencyPending
	case t.committed:
		return lab.IdempotencyDone
	}

	return lab.IdempotencyNotRun
}

// completed returns the outcome of a transaction that ended on the upstream.
func (t *transaction) completed() lab.IdempotencyState {
	if t.tag == rollbackTag || t.rolledBack {
		return t.abandoned(false)
	}

	return lab.IdempotencyDone
}

// bound limits a unit's time and lets force end it.
func (t *transaction) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := t.limit
	if t.first {
		limit -= t.duty.gateway.Clock.Now() - t.started
	}

	t.until = t.duty.gateway.Clock.Now() + limit

	ctx, stop := context.WithCancelCause(ctx)
	t.unlimited = ctx
	ctx, cancel := context.WithTimeout(ctx, limit)

	t.mu.Lock()
	defer t.mu.Unlock()

	t.stop = stop
	if t.forced != nil {
		stop(t.forced)
	}

	return ctx, func() {
		cancel()
		t.mu.Lock()
		t.stop = nil
		t.mu.Unlock()
		stop(nil)
	}
}

// attempt runs a unit; a first one that was not sent, or a first read of which nothing was passed on, once more.
func (t *transaction) attempt(ctx context.Context, unit lab.MessageBatch, answer io.Writer) (lab.BatchResult, error) {
	if _, err := t.sendable(unit); err != nil {
		return lab.BatchResult{}, err
	}

	if t.release == nil {
		if err := t.acquire(ctx, t.pool.Load().member.Member); err != nil {
			return lab.BatchResult{}, err
		}
	}

	first := t.first
	result, ended, err := t.execute(ctx, unit, answer)

	if err == nil || !first || ctx.Err() != nil || ended.Passed || !errors.Is(err, errConnection) {
		return result, err
	}

	excluded := ""

	if t.header.ReadOnly {
		excluded = t.pool.Load().member.Member
	}

	if ended.Sent && (!unit.ReadOnly || !t.header.ReadOnly) {
		return result, err
	}

	t.leave()

	if err = t.begin(ctx, excluded); err != nil {
		return lab.BatchResult{}, err
	}

	t.first = false
	result, _, err = t.execute(ctx, unit, answer)

	return result, err
}

// execute runs a unit on the bound connection and decides its outcome.
func (t *transaction) execute(
	ctx context.Context, unit lab.MessageBatch, answer io.Writer,
) (lab.BatchResult, labupstream.Ended, error) {
	g := t.duty.gateway

	conn, err := t.sendable(unit)
	if err != nil {
		return lab.BatchResult{}, labupstream.Ended{}, err
	}

	p, sent := t.pool.Load(), g.Clock.Now()
	ended, err := conn.Run(ctx, unit, answer, true)
	if err != nil {
		return lab.BatchResult{}, ended, t.failure(ctx, ended, err)
	}

	t.first = false
	conn.Alive = sent

	// A reset runs on the upstream like a unit, so the slot is kept for it.
	if ended.Status != 'I' || !conn.NeedsReset() {
		t.free()
	}

	if ended.Positioned {
		g.Observer.Note(p.member, sent, ended.Position)
	}

	t.tag = ended.Tag
	t.rolledBack = ended.Code != "" && !ended.Committed && ended.Status == 'I'
	result := lab.BatchResult{Status: ended.Status, FromReplica: ended.Position.InRecovery, Member: p.member.Member}

	if err = t.check(conn, unit, ended, &result); err != nil {
		return lab.BatchResult{}, ended, err
	}

	t.committed = t.committed || ended.Committed

	if len(ended.Held) > 0 {
		if _, err = answer.Write(ended.Held); err != nil {
			return lab.BatchResult{}, ended, lab.UnknownOutcomeError(lab.ReasonConnectionLost, errors.Newf("pass answer on: %w", err))
		}
	}

	return result, ended, nil
}

// sendable returns the connection if the unit may be sent on it now.
func (t *transaction) sendable(unit lab.MessageBatch) (*labupstream.Conn, error) {
	t.mu.Lock()
	conn, forced := t.conn, t.forced
	t.mu.Unlock()

	if forced != nil {
		return nil, notRun(forced)
	}

	// Units that are not known to be reads follow the rules of writes wherever they could write. Among them are the
	// start and end of read-only transaction blocks.
	if t.header.ReadOnly && !unit.ReadOnly && t.onPrimary() {
		if !t.grant.Writable {
			return nil, notRun(errNoPrimary)
		}

		t.promoted.Store(true)
	}

	if !t.duty.valid(t.grant, t.writes()) {
		return nil, notRun(errSuperseded)
	}

	return conn, nil
}

// writes reports whether the transaction follows the rules of writes.
func (t *transaction) writes() bool {
	return !t.header.ReadOnly || t.promoted.Load()
}

func (t *transaction) onPrimary() bool {
	database, found := t.duty.gateway.Routes.Database(t.header.Database)

	return !found || t.pool.Load().member.Member == database.Primary
}

// failure gives the outcome of a unit whose connection failed. The slot is given back when the connection is closed.
func (t *transaction) failure(ctx context.Context, ended labupstream.Ended, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = errors.Newf("%w: %s", cause, err.Error())
	} else if !errors.Is(err, labupstream.ErrMalformed) {
		err = errors.Mark(err, errConnection)
	}

	if !ended.Sent {
		return notRun(err)
	}

	return lab.UnknownOutcomeError(reason(err), err)
}

// silent decides about a connection that sent nothing for a while. A dropped connection and a slow statement look the
// same, so a statement is given up only when the member is lost or the observer found that connections open since
// before went silent; a first read is run again elsewhere in any case.
func (t *transaction) silent(_ context.Context, silent time.Duration) error {
	p := t.pool.Load()

	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()

	for _, v := range t.duty.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == p.member.Member && (v.Lost || conn != nil && v.SilentAt >= conn.Alive) {
			return errors.Newf("member %s does not answer on this connection for %s", p.member.Member, silent)
		}
	}

	if t.first && t.header.ReadOnly {
		return errors.Newf("member %s is silent for %s", p.member.Member, silent)
	}

	return nil
}
