package labgateway

import (
	"context"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// Cancel asks the upstream to cancel the running batch. The connection is not reused, because a cancel request that
// arrives late could cancel a statement of the next transaction.
func (t *transaction) Cancel() {
	t.mu.Lock()
	conn, p := t.conn, t.pool.Load()

	if conn == nil || t.stopBatch == nil {
		t.mu.Unlock()

		return
	}

	t.cancelled = true
	t.mu.Unlock()

	p.cancel(conn)
}

// terminate ends the transaction. A running batch fails with the cause. If no batch runs, the transaction is rolled
// back. terminate returns false if the transaction had already been terminated.
func (t *transaction) terminate(cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.terminateCause != nil {
		return false
	}

	t.terminateCause = cause

	if t.stopBatch != nil {
		t.stopBatch(cause)

		return true
	}

	if t.conn != nil {
		t.pool.Load().discard(t.conn, false, nil)
		t.conn = nil
	}

	return true
}

// Close ends the transaction. An unfinished transaction is rolled back by closing the connection.
func (t *transaction) Close() {
	if !t.ended {
		t.finish(t.abandonedState(false))
	}
}

// finish releases all resources and stores the outcome of the request under its idempotency key.
func (t *transaction) finish(outcome lab.IdempotencyState) {
	if t.ended {
		return
	}

	t.ended = true
	t.releaseAll()
	t.resolveKey(outcome)
}

// releaseAll releases the connection and the slot, and unregisters the transaction from its role.
func (t *transaction) releaseAll() {
	t.releaseConnection()
	t.freeSlot()

	if p := t.pool.Swap(nil); p != nil {
		p.addTransactions(-1)
	}

	t.role.unregister(t)
}

// freeSlot releases the admission slot, if one is held.
func (t *transaction) freeSlot() {
	if t.releaseSlot != nil {
		t.releaseSlot()
		t.releaseSlot = nil
	}
}

// releaseConnection returns the connection to the pool. It closes the connection instead if it is broken, if a batch on
// it was cancelled, or if a transaction is still open on it.
func (t *transaction) releaseConnection() {
	t.mu.Lock()
	conn := t.conn
	t.conn = nil
	cancelled := t.cancelled
	t.mu.Unlock()

	if conn == nil {
		return
	}

	p := t.pool.Load()
	conn.OnSilence = nil

	if conn.Broken() || cancelled || conn.Status() != 'I' {
		running := conn.MayBeRunning() && t.releaseSlot != nil
		p.discard(conn, running, t.releaseSlot)
		t.releaseSlot = nil

		return
	}

	if !conn.NeedsReset() {
		p.put(conn)

		return
	}

	resetConnection(p, conn, t.releaseSlot)
	t.releaseSlot = nil
}

// resetConnection resets the session in the background, returns the connection to the pool and releases the slot.
func resetConnection(p *pool, conn *labupstream.Conn, releaseSlot func()) {
	go func() {
		if releaseSlot != nil {
			defer releaseSlot()
		}

		ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
		defer cancel()

		if err := conn.Reset(ctx); err != nil {
			p.discard(conn, false, nil)

			return
		}

		p.put(conn)
	}()
}
