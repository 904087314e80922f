package labsession

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/request/labstatement"
)

// runBatch runs a batch at a gateway. A batch that opens a transaction is retried when this is safe.
func (s *Session) runBatch(b *messageBatch) {
	ctx, done := s.startBatchContext()
	defer done()

	s.server.Counters.Batches.Add(1)

	if s.server.ObserveLatency != nil {
		began := s.server.Clock.Now()
		defer func() { s.server.ObserveLatency(b.onlyReads(), s.server.Clock.Now()-began) }()
	}

	if s.block.transaction != nil {
		w := &responseWriter{session: s, steps: b.steps}
		r, err := s.runInTransaction(ctx, b.forGateway(false), w)
		s.finishBatch(b, w, r, err)

		return
	}

	h, failed := s.transactionHeader(b)
	if failed != nil {
		s.respondError(failed)

		return
	}

	s.server.RetryBudget.RecordRequest()
	s.runFirstBatch(ctx, b, h)
}

// runFirstBatch runs a batch that opens a transaction, and retries it when this is safe.
func (s *Session) runFirstBatch(ctx context.Context, b *messageBatch, h lab.TransactionHeader) {
	p := b.withPrefix(s.prefixStatements())
	request := p.forGateway(len(s.settings.active) > 0)
	retry := retrier{session: s, batch: b, header: h, startBy: s.server.Clock.Now() + h.TimeLeft}

	for {
		w := &responseWriter{session: s, steps: p.steps, prefixLength: p.prefixLength(b)}
		r, err := s.beginAndRun(ctx, retry.nextHeader(), request, w)

		if err == nil || !retry.waitForRetry(ctx, w, err) {
			s.finishBatch(b, w, r, err)

			return
		}
	}
}

// prefixStatements returns the statements to run before the first statement of a transaction: the pending BEGIN and the
// session's settings.
func (s *Session) prefixStatements() []string {
	texts := s.settings.statements()
	if s.block.pendingBegin != "" {
		texts = append([]string{s.block.pendingBegin}, texts...)
	}

	return texts
}

// beginAndRun opens a transaction at a gateway and runs its first batch.
func (s *Session) beginAndRun(
	ctx context.Context, h lab.TransactionHeader, request lab.MessageBatch, w *responseWriter,
) (lab.BatchResult, error) {
	beginCtx, cancel := context.WithTimeout(ctx, h.TimeLeft+beginGrace)
	defer cancel()

	t, err := s.server.Gateway.Begin(beginCtx, h)
	if err != nil {
		return lab.BatchResult{}, err
	}

	s.block.transaction = t
	s.block.localOptions.idempotencyKey = h.IdempotencyKey

	r, err := s.runInTransaction(ctx, request, w)
	if err == nil && r.FromReplica && w.sqlState == codeReadOnly && !w.written && r.Status == statusIdle {
		err = lab.NotRunError(lab.ReasonReadOnly, errReadOnly)
	}

	return r, err
}

var errReadOnly = errors.New("statement is not allowed on a replica")

// beginGrace is added to the timeout of Begin, so that the gateway can report a missed deadline before the timeout.
const beginGrace = time.Second

// runInTransaction runs a batch in the transaction that is open at a gateway.
func (s *Session) runInTransaction(ctx context.Context, request lab.MessageBatch, w *responseWriter) (lab.BatchResult, error) {
	t := s.block.transaction
	if !s.setRunning(t) {
		t.Close()
		s.block.transaction = nil

		return lab.BatchResult{}, lab.NotRunError(lab.ReasonCancelled, context.Canceled)
	}

	r, err := t.Run(ctx, request, w)
	w.done.Store(true)
	s.clearRunning()

	if err != nil || r.Status == statusIdle {
		s.block.transaction = nil
	}

	return r, err
}

// startBatchContext returns a context for one batch and a function that releases it. The context is cancelled when the
// client disconnects, or by a cancel request that arrives before the batch is sent.
func (s *Session) startBatchContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())

	s.lock.Lock()
	defer s.lock.Unlock()

	s.cancelBatch, s.cancelRequested = cancel, false
	if s.closed {
		cancel()
	}

	return ctx, func() {
		cancel()
		s.lock.Lock()
		defer s.lock.Unlock()

		s.cancelBatch = nil
	}
}

// setRunning records the transaction whose Run method is about to be called; cancel requests then cancel its statement.
// It returns false when the batch was already cancelled or the connection is closed.
func (s *Session) setRunning(t lab.Transaction) bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.closed || s.cancelRequested {
		return false
	}

	s.runningTransaction = t

	return true
}

func (s *Session) clearRunning() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.runningTransaction = nil
}

// finishBatch updates the session's state after a batch has run, and completes the response.
func (s *Session) finishBatch(b *messageBatch, w *responseWriter, r lab.BatchResult, err error) {
	if err != nil {
		s.failBatch(b, w, err)

		return
	}

	w.writeInserted()

	if w.failed {
		s.removeFailedStatements(b, w.parsedNames)
	}

	if r.FromReplica {
		s.server.Counters.ReplicaReads.Add(1)
	}

	s.updateBlock(w, r.Status)

	if w.failed && s.withholdReady {
		s.skipToSync = true
	}

	s.token, s.tokenChanged = s.raiseMinPosition(r.Position)
	s.storeMinPosition(b, r)
	s.endResponse(w.buffer)
}

// updateBlock updates the transaction block from the response and the upstream's transaction status.
func (s *Session) updateBlock(w *responseWriter, status byte) {
	pending := s.block.uncommittedChanges
	if w.committed || w.rolledBack {
		pending = nil

		if w.committed {
			for _, c := range s.block.uncommittedChanges {
				s.applySetting(c)
			}
		}
	}

	if !w.failed {
		pending = append(pending, w.settingChanges...)
	}

	// A BEGIN is sent together with the statement after it. If that statement has a syntax error, the upstream does not
	// run the BEGIN either and stays idle. The client has already received a response to its BEGIN, so the session marks
	// the block as aborted.
	if s.block.pendingBegin != "" && w.failed && !w.prefixExecuted && status == statusIdle {
		s.block.fail()

		return
	}

	s.block.update(status)
	s.implicitBlock = s.implicitBlock && status != statusIdle

	if status != statusIdle {
		s.block.uncommittedChanges = pending

		return
	}

	for _, c := range pending {
		s.applySetting(c)
	}
}

func (s *Session) applySetting(c settingChange) {
	s.settings.apply(c, !s.server.matchesFresh(c.setting.Name, c.setting.Value))
}

// failBatch completes the response to a batch that the gateway failed to run.
func (s *Session) failBatch(b *messageBatch, w *responseWriter, err error) {
	s.removeFailedStatements(b, w.parsedNames)

	if !w.discardUnwritten() {
		s.lock.Lock()
		defer s.lock.Unlock()

		s.closeWith(outcomeFailure(err))

		return
	}

	if b.isSingle(labstatement.Rollback) && s.block.status() != statusIdle {
		s.block.end() // the gateway closes the connection after an error, which rolls the transaction back
		s.endResponse(b.localResponse("ROLLBACK"))

		return
	}

	if b.isSingle(labstatement.Commit) {
		s.block.end()
	}

	s.block.fail()
	s.skipToSync = s.skipToSync || s.withholdReady
	s.endResponse(append(w.buffer, s.recordFailure(err).encode("ERROR")...))
}

// recordFailure counts an error of the gateway and returns the error that the client receives for it.
func (s *Session) recordFailure(err error) *failure {
	outcome, _ := lab.OutcomeOf(err)

	switch outcome {
	case lab.OutcomeNotRun:
		s.server.Counters.NotRun.Add(1)

		s.lock.Lock()
		defer s.lock.Unlock()

		if s.cancelRequested {
			return errCancelled
		}
	case lab.OutcomeUnknown:
		s.server.Counters.OutcomeUnknown.Add(1)
	case lab.OutcomeDuplicate:
	}

	return outcomeFailure(err)
}
