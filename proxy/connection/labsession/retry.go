package labsession

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
)

// Backoff before automatic retries. It doubles from firstBackoff up to backoffLimit, and up to half of it is random.
const (
	firstBackoff = 10 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// retrier decides on automatic retries of a batch that opens a transaction.
type retrier struct {
	session *Session
	batch   *messageBatch
	header  lab.TransactionHeader
	startBy time.Duration // latest time, by Clock.Now, at which an attempt may start the transaction
	retries int           // number of retries so far
}

// nextHeader returns the header of the next attempt, with a new request ID and the remaining time.
func (r *retrier) nextHeader() lab.TransactionHeader {
	h := r.header
	h.RequestID = r.session.server.Random.Uint64()
	h.TimeLeft = max(r.startBy-r.session.server.Clock.Now(), 0)

	return h
}

// waitForRetry reports whether the batch must be retried. If so, it first waits for the backoff.
func (r *retrier) waitForRetry(ctx context.Context, w *responseWriter, err error) bool {
	outcome, reason := lab.OutcomeOf(err)
	if w.written || ctx.Err() != nil || !r.safeToRetry(outcome, reason) {
		return false
	}

	wait := r.nextBackoff()
	if reason == lab.ReasonReadOnly {
		r.header.ReadOnly = false
		wait = 0
	}

	s := r.session.server
	if s.Clock.Now()+wait >= r.startBy || !s.RetryBudget.TakeRetry() {
		return false
	}

	s.Counters.Retries.Add(1)

	return wait == 0 || s.Clock.Sleep(ctx, wait) == nil
}

// safeToRetry reports whether a failed batch may be retried: the retry must be able to succeed, and must not apply the
// effects of the batch a second time.
func (r *retrier) safeToRetry(outcome lab.Outcome, reason string) bool {
	switch outcome {
	case lab.OutcomeNotRun:
		switch reason {
		case lab.ReasonRejected, lab.ReasonTooLarge, lab.ReasonCancelled, lab.ReasonDuplicate, lab.ReasonDeadline:
			return false
		case lab.ReasonReadOnly:
			return r.header.ReadOnly && !r.session.block.beginReadOnly
		}

		return true
	case lab.OutcomeUnknown:
		return r.header.IdempotencyKey == "" && r.batch.idempotent()
	case lab.OutcomeDuplicate:
	}

	return false
}

// nextBackoff returns the delay before the next retry.
func (r *retrier) nextBackoff() time.Duration {
	wait := min(firstBackoff<<min(r.retries, 16), backoffLimit)
	r.retries++

	return wait/2 + time.Duration(r.session.server.Random.Uint64()%uint64(wait/2+1))
}
