package labsession

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// run runs a unit at a gateway, with retries where they are safe.
func (s *Session) run(u *unit) {
	ctx, done := s.watch()
	defer done()

	s.server.Counters.Units.Add(1)

	if s.server.Latency != nil {
		began := s.server.Clock.Now()
		defer func() { s.server.Latency(u.reads(), s.server.Clock.Now()-began) }()
	}

	if s.block.bound != nil {
		a := &answer{session: s, steps: u.steps}
		r, err := s.attempt(ctx, u.wire(false), a)
		s.conclude(u, a, r, err)

		return
	}

	h, failed := s.header(u)
	if failed != nil {
		s.refuse(failed)

		return
	}

	s.server.Budget.Request()
	s.first(ctx, u, h)
}

// first runs the unit that opens a transaction.
func (s *Session) first(ctx context.Context, u *unit, h lab.TransactionHeader) {
	p := u.prefixed(s.prefix())
	w := p.wire(len(s.settings.active) > 0)
	retry := retry{session: s, unit: u, header: h, until: s.server.Clock.Now() + h.TimeLeft}

	for {
		a := &answer{session: s, steps: p.steps, shift: p.shift(u)}
		r, err := s.openRun(ctx, retry.next(), w, a)

		if err == nil || !retry.allowed(ctx, a, err) {
			s.conclude(u, a, r, err)

			return
		}
	}
}

// prefix returns the statements to run before the first statement of a transaction.
func (s *Session) prefix() []string {
	texts := s.settings.texts()
	if s.block.begin != "" {
		texts = append([]string{s.block.begin}, texts...)
	}

	return texts
}

// openRun opens a transaction and runs its first unit.
func (s *Session) openRun(ctx context.Context, h lab.TransactionHeader, w lab.MessageBatch, a *answer) (lab.BatchResult, error) {
	limited, cancel := context.WithTimeout(ctx, h.TimeLeft+beginGrace)
	defer cancel()

	t, err := s.server.Gateway.Begin(limited, h)
	if err != nil {
		return lab.BatchResult{}, err
	}

	s.block.bound = t
	s.block.local.once = h.IdempotencyKey

	r, err := s.attempt(ctx, w, a)
	if err == nil && r.FromReplica && a.code == codeReadOnly && !a.written && r.Status == statusIdle {
		err = lab.NotRunError(lab.ReasonReadOnly, errReadOnly)
	}

	return r, err
}

var errReadOnly = errors.New("statement is not allowed on a replica")

// beginGrace is added to the deadline for a gateway to report that the deadline passed.
const beginGrace = time.Second

// attempt runs a unit in the bound transaction.
func (s *Session) attempt(ctx context.Context, w lab.MessageBatch, a *answer) (lab.BatchResult, error) {
	t := s.block.bound
	if !s.setCurrent(t) {
		t.Close()
		s.block.bound = nil

		return lab.BatchResult{}, lab.NotRunError(lab.ReasonCancelled, context.Canceled)
	}

	r, err := t.Run(ctx, w, a)
	a.done.Store(true)
	s.clearCurrent()

	if err != nil || r.Status == statusIdle {
		s.block.bound = nil
	}

	return r, err
}

// watch returns the context of a unit, which ends when the caller leaves.
func (s *Session) watch() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())

	s.lock.Lock()
	defer s.lock.Unlock()

	s.stop, s.canceled = cancel, false
	if s.ended {
		cancel()
	}

	return ctx, func() {
		cancel()
		s.lock.Lock()
		defer s.lock.Unlock()

		s.stop = nil
	}
}

// setCurrent makes cancel requests reach the transaction; it returns false when the unit was cancelled already.
func (s *Session) setCurrent(t lab.Transaction) bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.ended || s.canceled {
		return false
	}

	s.current = t

	return true
}

func (s *Session) clearCurrent() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.current = nil
}

// conclude answers a unit that was run.
func (s *Session) conclude(u *unit, a *answer, r lab.BatchResult, err error) {
	if err != nil {
		s.unfinished(u, a, err)

		return
	}

	a.add()

	if a.failed {
		s.forget(u, a.confirmed)
	}

	if r.FromReplica {
		s.server.Counters.ReplicaReads.Add(1)
	}

	s.settle(a, r.Status)

	if a.failed && s.flushing {
		s.skipping = true
	}

	s.token, s.tokenChanged = s.raise(r.Position)
	s.keepFloor(u, r)
	s.ready(a.buffer)
}

// settle brings the session's transaction state up to date with the upstream's.
func (s *Session) settle(a *answer, status byte) {
	pending := s.block.changes
	if a.commits || a.rolled {
		pending = nil

		if a.commits {
			for _, c := range s.block.changes {
				s.apply(c)
			}
		}
	}

	if !a.failed {
		pending = append(pending, a.changes...)
	}

	// A syntax error in the first statement keeps the BEGIN that was sent with it from running.
	if s.block.begin != "" && a.failed && !a.began && status == statusIdle {
		s.block.fail()

		return
	}

	s.block.update(status)
	s.implicit = s.implicit && status != statusIdle

	if status != statusIdle {
		s.block.changes = pending

		return
	}

	for _, c := range pending {
		s.apply(c)
	}
}

func (s *Session) apply(c change) {
	s.settings.apply(c, !s.server.unchanged(c.setting.Name, c.setting.Value))
}

// unfinished answers a unit whose run failed.
func (s *Session) unfinished(u *unit, a *answer, err error) {
	s.forget(u, a.confirmed)

	if !a.abort() {
		s.lock.Lock()
		defer s.lock.Unlock()

		s.finish(outcomeFailure(err))

		return
	}

	if u.ends(labstatement.Rollback) && s.block.status() != statusIdle {
		s.block.end() // losing the connection rolled it back
		s.ready(u.localAnswer("ROLLBACK"))

		return
	}

	if u.ends(labstatement.Commit) {
		s.block.end()
	}

	s.block.fail()
	s.skipping = s.skipping || s.flushing
	s.ready(append(a.buffer, s.describeError(err).encode("ERROR")...))
}

// describeError counts and translates an error of the gateway.
func (s *Session) describeError(err error) *failure {
	outcome, _ := lab.OutcomeOf(err)

	switch outcome {
	case lab.OutcomeNotRun:
		s.server.Counters.NotRun.Add(1)

		s.lock.Lock()
		defer s.lock.Unlock()

		if s.canceled {
			return errCancelled
		}
	case lab.OutcomeUnknown:
		s.server.Counters.Unknown.Add(1)
	case lab.OutcomeDuplicate:
	}

	return outcomeFailure(err)
}
