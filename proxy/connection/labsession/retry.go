package labsession

import (
	"context"
	"time"

	"laburnumlock.dev/lab"
)

// Waiting time before automatic retries: it doubles from the first to the limit, and half of it is random.
const (
	firstBackoff = 10 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// retrier decides about automatic retries of a unit that opens a transaction.
type retrier struct {
	session *Session
	batch   *messageBatch
	header  lab.Header
	startBy time.Duration // Clock.Now by which the unit must have started
	retries int
}

// nextHeader returns the header of the next attempt.
func (r *retrier) nextHeader() lab.Header {
	h := r.header
	h.RequestID = r.session.server.Random.Uint64()
	h.Deadline = max(r.startBy-r.session.server.Clock.Now(), 0)

	return h
}

// waitForRetry reports whether the unit is to be tried again, after waiting for the backoff.
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
	if s.Clock.Now()+wait >= r.startBy || !s.RetryBudget.Retry() {
		return false
	}

	s.Counters.Retries.Add(1)

	return wait == 0 || s.Clock.Sleep(ctx, wait) == nil
}

// safeToRetry reports whether running the unit again can't run it twice, and could end differently.
func (r *retrier) safeToRetry(outcome lab.Outcome, reason string) bool {
	switch outcome {
	case lab.OutcomeNotRun:
		switch reason {
		case lab.ReasonRejected, lab.ReasonTooLarge, lab.ReasonCancelled, lab.ReasonRepeated, lab.ReasonDeadline:
			return false
		case lab.ReasonReadOnly:
			return r.header.ReadOnly && !r.session.block.beginReadOnly
		}

		return true
	case lab.OutcomeUnknown:
		return r.header.OnceName == "" && r.batch.idempotent()
	case lab.OutcomeDone:
	}

	return false
}

func (r *retrier) nextBackoff() time.Duration {
	wait := min(firstBackoff<<min(r.retries, 16), backoffLimit)
	r.retries++

	return wait/2 + time.Duration(r.session.server.Random.Uint64()%uint64(wait/2+1))
}
