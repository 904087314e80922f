package labgateway

import (
	"context"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

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
func (t *transaction) finish(outcome lab.IdempotencyState) {
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
