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

// retry decides about automatic retries of a unit that opens a transaction.
type retry struct {
	session *Session
	unit    *unit
	header  lab.TransactionHeader
	until   time.Duration // Clock.Now by which the unit must have started
	count   int
}

// next returns the header of the next attempt.
func (r *retry) next() lab.TransactionHeader {
	h := r.header
	h.RequestID = r.session.server.Random.Uint64()
	h.TimeLeft = max(r.until-r.session.server.Clock.Now(), 0)

	return h
}

// allowed reports whether the unit is to be tried again, after waiting for the backoff.
func (r *retry) allowed(ctx context.Context, a *answer, err error) bool {
	outcome, reason := lab.OutcomeOf(err)
	if a.written || ctx.Err() != nil || !r.safe(outcome, reason) {
		return false
	}

	wait := r.backoff()
	if reason == lab.ReasonReadOnly {
		r.header.ReadOnly = false
		wait = 0
	}

	s := r.session.server
	if s.Clock.Now()+wait >= r.until || !s.Budget.Retry() {
		return false
	}

	s.Counters.Retries.Add(1)

	return wait == 0 || s.Clock.Sleep(ctx, wait) == nil
}

// safe reports whether running the unit again can't run it twice, and could end differently.
func (r *retry) safe(outcome lab.Outcome, reason string) bool {
	switch outcome {
	case lab.OutcomeNotRun:
		switch reason {
		case lab.ReasonRejected, lab.ReasonTooLarge, lab.ReasonCancelled, lab.ReasonDuplicate, lab.ReasonDeadline:
			return false
		case lab.ReasonReadOnly:
			return r.header.ReadOnly && !r.session.block.readOnly
		}

		return true
	case lab.OutcomeUnknown:
		return r.header.IdempotencyKey == "" && r.unit.pure()
	case lab.OutcomeDuplicate:
	}

	return false
}

func (r *retry) backoff() time.Duration {
	wait := min(firstBackoff<<min(r.count, 16), backoffLimit)
	r.count++

	return wait/2 + time.Duration(r.session.server.Random.Uint64()%uint64(wait/2+1))
}
