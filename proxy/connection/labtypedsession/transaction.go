package labtypedsession

import (
	"maps"
	"time"

	"laburnumlock.dev/lab"
)

// transaction is a client's transaction. Its first statement binds it to a member connection.
type transaction struct {
	route       lab.Route
	idleTimeout time.Duration // idle time after which the transaction fails and its connection is freed, 0 for no limit
	readOnly    bool
	failed      bool                 // whether the transaction can no longer be committed
	wrote       bool                 // whether a write has run in the transaction
	conn        lab.PooledConnection // connection to the member, nil before the first statement and after a failure
	timer       *time.Timer          // fires after idleTimeout
}

// begin starts a transaction without sending anything to a member: the first statement binds the connection.
func (s *Session) begin(o lab.Operation) lab.OperationResult {
	if s.tx != nil {
		return fault(lab.FaultMalformed, "a transaction is open")
	}

	route, idle, ok := s.Directory.Route(s.Database)
	if !ok {
		return fault(lab.FaultNoDatabase, s.Database)
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.tx = &transaction{route: route, idleTimeout: idle, readOnly: o.ReadOnly}

	return lab.OperationResult{}
}

func (s *Session) runInTransaction(o lab.Operation) lab.OperationResult {
	a := s.newAttempt(o, s.tx.route)

	if o.Writes && s.tx.readOnly {
		s.failTransaction()

		return fault(lab.FaultReadOnly, "the transaction only reads")
	}

	var r lab.OperationResult

	switch {
	case s.tx.conn != nil || a.bind():
		r = a.runBound(o)
	case a.refused:
		s.failTransaction()

		return quotaRefusal()
	default:
		s.failTransaction()

		r = a.notRunResult()
	}

	a.report(o, r)

	return r
}

// bind binds a member connection to the transaction and begins the transaction there. It takes the token of the operation,
// since nothing of the transaction was sent before.
func (a *attempt) bind() bool {
	t := a.session.tx

	if !a.takeToken() {
		return false
	}

	defer a.endToken()

	for !a.mustStop() {
		c, begin, ok := a.acquireForTransaction(t)
		if !ok || !a.begin(c, begin) {
			continue
		}

		t.conn = c

		return true
	}

	return false
}

// acquireForTransaction returns a connection for a transaction and the operation that begins the transaction. It uses a
// replica only if the transaction is read-only and its route allows reads at replicas.
func (a *attempt) acquireForTransaction(t *transaction) (lab.PooledConnection, lab.Operation, bool) {
	begin := lab.Operation{Kind: lab.OperationBegin}

	if !t.readOnly || t.route.Consistency == lab.ConsistencyPrimary {
		c, ok := a.acquirePrimary()

		return c, begin, ok
	}

	c, minPosition, primary, ok := a.acquireReader()
	if ok && !primary {
		begin.ReadOnly, begin.MinPosition = true, minPosition
	}

	return c, begin, ok
}

// runBound runs a statement on the transaction's connection. It retries the statement only while the member reports
// that the statement did not run and that the transaction is still open.
func (a *attempt) runBound(o lab.Operation) lab.OperationResult {
	s := a.session
	a.typicalLatency = s.Directory.TypicalLatency(s.tx.conn.Member())

	for {
		r, err := a.execute(s.tx.conn, a.responseDeadline(), o)
		if err != nil {
			// A transaction has no effect without a commit. The client may therefore be told that the transaction was
			// aborted, even if the statement still runs.
			c := s.tx.conn
			s.tx.conn = nil

			a.abandon(c, err)

			return a.abort("no response from the member")
		}

		a.recordResponse(s.tx.conn)
		a.lastRefusal = r

		if r.Fault.NotRun() && r.Status == lab.StatusInTransaction && !a.expired() {
			a.pause(retryDelay)

			continue
		}

		if r.Fault == lab.FaultNone {
			s.tx.wrote = s.tx.wrote || o.Writes

			return r
		}

		if r.Status != lab.StatusInTransaction || r.Fault.NotRun() {
			s.failTransaction()
		}

		return r
	}
}

// abort rolls back the transaction at the member and returns a result with the fault lab.FaultAborted.
func (a *attempt) abort(detail string) lab.OperationResult {
	a.session.failTransaction()

	return fault(lab.FaultAborted, detail)
}

// failTransaction rolls back the transaction at the member. For the client the transaction stays open in the failed
// state until the client ends it.
func (s *Session) failTransaction() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.tx.discard()
	s.tx.failed = true
}

// discard closes the member connection, so that the member rolls back the transaction.
func (t *transaction) discard() {
	if t.timer != nil {
		t.timer.Stop()
	}

	if t.conn != nil {
		t.conn.Discard()
		t.conn = nil
	}
}

// endTransaction commits or rolls back the transaction.
func (s *Session) endTransaction(o lab.Operation) lab.OperationResult {
	if s.tx == nil {
		return fault(lab.FaultMalformed, "no transaction is open")
	}

	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		s.discardTransactionLocked()
	}()

	switch {
	case o.Kind == lab.OperationRollback:
		s.rollback()

		return lab.OperationResult{}
	case s.tx.failed:
		return fault(lab.FaultAborted, "the transaction has failed")
	default:
		return s.commit(o)
	}
}

// rollback rolls back the transaction in the background. It releases the connection when the member confirms the
// rollback and discards it otherwise.
func (s *Session) rollback() {
	c := s.tx.conn
	if c == nil {
		return
	}

	s.tx.conn = nil
	values := maps.Clone(s.values)

	// The client needn't wait for the rollback, since the transaction can no longer be committed.
	go func() {
		r, err := c.Run(time.Now().Add(setupTimeout), values, lab.Operation{Kind: lab.OperationRollback})
		if err != nil || r[0].Fault != lab.FaultNone || r[0].Status != lab.StatusIdle {
			c.Discard()

			return
		}

		c.Release()
	}()
}

func (s *Session) commit(o lab.Operation) lab.OperationResult {
	a := s.newAttempt(o, s.tx.route)
	r := a.commit(o)

	if !a.refused {
		a.report(o, r)
	}

	return r
}

func (a *attempt) commit(o lab.Operation) lab.OperationResult {
	s := a.session

	// The result of a commit contains the member's proof that it ran the commit. A transaction without statements
	// therefore needs a connection too.
	if s.tx.conn == nil && !a.bind() {
		if a.refused {
			return quotaRefusal()
		}

		return a.notRunResult()
	}

	for {
		c := s.tx.conn
		end := func() bool { return true }

		if s.tx.wrote {
			commit, ok := a.beginCommit(c)
			if !ok {
				s.Counters.NotPermitted.Add(1)

				return a.abort(noPermission)
			}

			end = commit.End
		}

		sentAt := s.Clock.Now()

		r, err := c.Run(a.deadline, s.values, o)
		permitted := end()

		if notRun(err) {
			return a.abort("the commit was not sent")
		}

		if err != nil {
			s.tx.conn = nil

			a.abandon(c, err)

			return a.noResponseResult(err)
		}

		a.recordResponse(c)

		switch {
		case r[0].Fault == lab.FaultNone:
			s.tx.conn = nil
			releaseOrDiscard(c, r[0])

			if !s.tx.wrote {
				return r[0]
			}

			return a.commitResult(c.Member(), r[0], sentAt, permitted)
		case r[0].Fault.NotRun() && r[0].Status == lab.StatusInTransaction && !a.expired():
			a.pause(retryDelay)
		default:
			return r[0]
		}
	}
}

// armIdleTimer starts the timer for idleTimeout. If the client stays idle until then, the timer fails the transaction
// and closes its member connection. The session's mutex must be held.
func (t *transaction) armIdleTimer(s *Session) {
	if t.idleTimeout <= 0 || t.conn == nil {
		return
	}

	if t.timer != nil {
		t.timer.Stop()
	}

	t.timer = time.AfterFunc(t.idleTimeout, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		if s.busy || s.tx != t || t.conn == nil {
			return
		}

		s.Log.Info().Str("database", s.Database).Dur("idle", t.idleTimeout).Msg("idle_transaction_ended")
		t.discard()

		t.failed = true
	})
}
