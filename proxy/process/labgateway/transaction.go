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
	"laburnumlock.dev/lab/proxy/process/labobserver"
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
	header     lab.Header
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
func (t *transaction) Run(ctx context.Context, unit lab.Unit, answer io.Writer) (lab.Result, error) {
	if t.ended {
		return lab.Result{}, notRun(errEnded)
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
func (t *transaction) abandoned(doubt bool) lab.OnceState {
	switch {
	case doubt:
		return lab.OncePending
	case t.committed:
		return lab.OnceDone
	}

	return lab.OnceNotRun
}

// completed returns the outcome of a transaction that ended on the upstream.
func (t *transaction) completed() lab.OnceState {
	if t.tag == rollbackTag || t.rolledBack {
		return t.abandoned(false)
	}

	return lab.OnceDone
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
func (t *transaction) attempt(ctx context.Context, unit lab.Unit, answer io.Writer) (lab.Result, error) {
	if _, err := t.sendable(unit); err != nil {
		return lab.Result{}, err
	}

	if t.release == nil {
		if err := t.acquire(ctx, t.pool.Load().member.Member); err != nil {
			return lab.Result{}, err
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

	if ended.Sent && (!unit.Reads || !t.header.ReadOnly) {
		return result, err
	}

	t.leave()

	if err = t.begin(ctx, excluded); err != nil {
		return lab.Result{}, err
	}

	t.first = false
	result, _, err = t.execute(ctx, unit, answer)

	return result, err
}

// execute runs a unit on the bound connection and decides its outcome.
func (t *transaction) execute(
	ctx context.Context, unit lab.Unit, answer io.Writer,
) (lab.Result, labupstream.Ended, error) {
	g := t.duty.gateway

	conn, err := t.sendable(unit)
	if err != nil {
		return lab.Result{}, labupstream.Ended{}, err
	}

	p, sent := t.pool.Load(), g.Clock.Now()
	ended, err := conn.Run(ctx, unit, answer, true)
	if err != nil {
		return lab.Result{}, ended, t.failure(ctx, ended, err)
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
	result := lab.Result{Status: ended.Status, Replica: ended.Position.InRecovery, Member: p.member.Member}

	if err = t.check(conn, unit, ended, &result); err != nil {
		return lab.Result{}, ended, err
	}

	t.committed = t.committed || ended.Committed

	if len(ended.Held) > 0 {
		if _, err = answer.Write(ended.Held); err != nil {
			return lab.Result{}, ended, lab.Unknown(lab.ReasonLost, errors.Newf("pass answer on: %w", err))
		}
	}

	return result, ended, nil
}

// sendable returns the connection if the unit may be sent on it now.
func (t *transaction) sendable(unit lab.Unit) (*labupstream.Conn, error) {
	t.mu.Lock()
	conn, forced := t.conn, t.forced
	t.mu.Unlock()

	if forced != nil {
		return nil, notRun(forced)
	}

	// Units that are not known to be reads follow the rules of writes wherever they could write. Among them are the
	// start and end of read-only transaction blocks.
	if t.header.ReadOnly && !unit.Reads && t.onPrimary() {
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

	return lab.Unknown(reason(err), err)
}

// check decides whether the answer may be given, and fills in its position.
func (t *transaction) check(
	conn *labupstream.Conn, unit lab.Unit, ended labupstream.Ended, result *lab.Result,
) error {
	if !t.writes() {
		return t.checkRead(conn, ended, result)
	}

	t.wrote = t.wrote || !unit.Reads

	if err := t.checkPrimary(conn, ended); err != nil || !ended.Positioned {
		return err
	}

	result.Position = ended.Position.Replayed

	undone := t.rolledBack || ended.Tag == rollbackTag && ended.Completed == 1
	if !t.wrote || undone || ended.Status != 'I' && !ended.Committed {
		return nil
	}

	if ended.Status == 'I' {
		// The connection is not needed for the wait; the transaction stays registered, so that the grant is held.
		t.unbind()
	}

	return t.acknowledge(ended.Position.Replayed)
}

// checkPrimary refuses an answer of a member that is not the primary of the grant's term.
func (t *transaction) checkPrimary(conn *labupstream.Conn, ended labupstream.Ended) error {
	switch {
	case !ended.Positioned && (t.rolledBack || ended.Status == 'E'):
		return nil
	case !ended.Positioned:
		return lab.Unknown(lab.ReasonLost, errors.New("the upstream did not tell its position"))
	case !ended.Position.InRecovery && ended.Position.Replayed.Term == t.grant.Term:
		return nil
	}

	conn.Break()

	if t.rolledBack {
		return lab.NotRun(lab.ReasonSuperseded, errSuperseded)
	}

	return lab.Unknown(lab.ReasonSuperseded, errSuperseded)
}

// checkRead refuses an answer of a member that turned out to be behind the floor.
func (t *transaction) checkRead(conn *labupstream.Conn, ended labupstream.Ended, result *lab.Result) error {
	if ended.Code == readOnlyCode && ended.Position.InRecovery && !ended.Passed {
		return lab.NotRun(lab.ReasonReadOnly, errors.New("the replica refused a write"))
	}

	if !ended.Positioned {
		if ended.Code != "" || ended.Status == 'E' {
			return nil
		}

		return lab.Unknown(lab.ReasonLost, errors.New("the upstream did not tell its position"))
	}

	position := ended.Position.Replayed
	if position.Term == 0 {
		position.Term = t.lastTerm()
	}

	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found || !fits(database, position) || !covers(database, position, t.header.Floor) {
		conn.Break()

		return lab.Unknown(lab.ReasonStale, errors.Newf("member is at %s, floor is %s", position, t.header.Floor))
	}

	result.Position = position

	return nil
}

// lastTerm returns the term that a replica without a running receiver last followed.
func (t *transaction) lastTerm() lab.Term {
	for _, v := range t.duty.gateway.Observer.Views(t.header.Database, nil) {
		if v.Member.Member == t.pool.Load().member.Member {
			return v.LastTerm
		}
	}

	return 0
}

// acknowledge waits until a replica has received the position. The wait ends early when the grant does, by force.
// It may last longer than the request's deadline: the write has run, and only its acknowledgement is missing.
func (t *transaction) acknowledge(position lab.Position) error {
	g := t.duty.gateway

	ctx, cancel := context.WithTimeout(t.unlimited, max(t.until-g.Clock.Now(), acknowledgeWait))
	defer cancel()

	err := g.Observer.Wait(ctx, t.header.Database, func(views []labobserver.View) bool {
		return received(views, position)
	})
	if err != nil {
		return lab.Unknown(reason(err), errors.Newf("wait for a replica to receive %s: %w", position, err))
	}

	if !t.duty.valid(t.grant, true) {
		return lab.Unknown(lab.ReasonSuperseded, errSuperseded)
	}

	return nil
}

// received reports whether a replica that stays has received a position of its own term.
func received(views []labobserver.View, position lab.Position) bool {
	for _, v := range views {
		if !v.Known || !v.Status.InRecovery || v.Member.Leaving {
			continue
		}

		if v.Status.Received.Term == position.Term && v.Status.Received.Offset >= position.Offset {
			return true
		}
	}

	return false
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

// Cancel asks the upstream to cancel what runs. The connection is not reused, because the request may arrive late.
func (t *transaction) Cancel() {
	t.mu.Lock()
	conn, p := t.conn, t.pool.Load()

	if conn == nil || t.stop == nil {
		t.mu.Unlock()

		return
	}

	t.cancelled = true
	t.mu.Unlock()

	p.cancel(conn)
}

// force ends the transaction for a reason: a running unit fails, an idle transaction is rolled back. It returns false
// when that was done before.
func (t *transaction) force(cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.forced != nil {
		return false
	}

	t.forced = cause

	if t.stop != nil {
		t.stop(cause)

		return true
	}

	if t.conn != nil {
		t.pool.Load().discard(t.conn, false, nil)
		t.conn = nil
	}

	return true
}

// Close ends the transaction; an unfinished one is rolled back by closing the connection.
func (t *transaction) Close() {
	if !t.ended {
		t.finish(t.abandoned(false))
	}
}

// finish gives back everything and resolves the request's name with an outcome.
func (t *transaction) finish(outcome lab.OnceState) {
	if t.ended {
		return
	}

	t.ended = true
	t.leave()
	t.resolve(outcome)
}

// leave gives back slot, connection and registration.
func (t *transaction) leave() {
	t.unbind()
	t.free()

	if p := t.pool.Swap(nil); p != nil {
		p.enter(-1)
	}

	t.duty.unregister(t)
}

// free gives the slot back.
func (t *transaction) free() {
	if t.release != nil {
		t.release()
		t.release = nil
	}
}

// unbind gives the connection back to the pool, or closes it when its state is in doubt.
func (t *transaction) unbind() {
	t.mu.Lock()
	conn := t.conn
	t.conn = nil
	cancelled := t.cancelled
	t.mu.Unlock()

	if conn == nil {
		return
	}

	p := t.pool.Load()
	conn.Silent = nil

	if conn.Broken() || cancelled || conn.Status() != 'I' {
		running := conn.Running() && t.release != nil
		p.discard(conn, running, t.release)
		t.release = nil

		return
	}

	if !conn.NeedsReset() {
		p.put(conn)

		return
	}

	reset(p, conn, t.release)
	t.release = nil
}

// reset brings the connection back to its initial state and into the pool, and then gives the slot back.
func reset(p *pool, conn *labupstream.Conn, release func()) {
	go func() {
		if release != nil {
			defer release()
		}

		ctx, cancel := context.WithTimeout(context.Background(), resetWait)
		defer cancel()

		if err := conn.Reset(ctx); err != nil {
			p.discard(conn, false, nil)

			return
		}

		p.put(conn)
	}()
}
