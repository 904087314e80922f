package labdialogue

import (
	"maps"
	"time"

	"laburnumlock.dev/lab"
)

// transaction is a caller's transaction; a member connection is bound to it from its first statement on.
type transaction struct {
	route    lab.Route
	idle     time.Duration // after which it is ended, 0 for never
	readOnly bool
	failed   bool
	wrote    bool
	conn     lab.PooledConnection // nil before the first statement and after a failure
	timer    *time.Timer
}

// begin starts a transaction. Nothing is sent to a member yet: the connection is bound by the first statement.
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

	s.tx = &transaction{route: route, idle: idle, readOnly: o.ReadOnly}

	return lab.OperationResult{}
}

func (s *Session) inTransaction(o lab.Operation) lab.OperationResult {
	a := s.attempt(o, s.tx.route)

	if o.Writes && s.tx.readOnly {
		s.fail()

		return fault(lab.FaultReadOnly, "the transaction only reads")
	}

	var r lab.OperationResult

	if s.tx.conn != nil || a.bind() {
		r = a.runBound(o)
	} else {
		s.fail()

		r = a.refused()
	}

	a.report(o, r)

	return r
}

// bind binds a member connection to the transaction and begins it there.
func (a *attempt) bind() bool {
	t := a.session.tx

	for !a.over() {
		c, begin, ok := a.candidate(t)
		if !ok || !a.open(c, begin) {
			continue
		}

		t.conn = c

		return true
	}

	return false
}

// candidate returns a connection for a transaction and how it begins there: at a replica only when it never writes and
// the route allows it.
func (a *attempt) candidate(t *transaction) (lab.PooledConnection, lab.Operation, bool) {
	begin := lab.Operation{Kind: lab.OperationBegin}

	if !t.readOnly || t.route.Consistency == lab.ConsistencyPrimary {
		c, ok := a.primary()

		return c, begin, ok
	}

	c, after, primary, ok := a.reader()
	if ok && !primary {
		begin.ReadOnly, begin.MinPosition = true, after
	}

	return c, begin, ok
}

// runBound runs a statement on the transaction's connection. It is repeated only while the member says that it did not
// run and that the transaction still stands.
func (a *attempt) runBound(o lab.Operation) lab.OperationResult {
	s := a.session
	a.typical = s.Directory.Typical(s.tx.conn.Member())

	for {
		r, err := a.execute(s.tx.conn, a.patience(), o)
		if err != nil {
			// Nothing is committed without a commit, so the promise is true whatever still runs.
			c := s.tx.conn
			s.tx.conn = nil

			a.unanswered(c, err)

			return a.aborted("no answer from the member")
		}

		a.noteAnswer(s.tx.conn)
		a.last = r

		if r.Fault.NotRun() && r.Status == lab.StatusInTransaction && !a.expired() {
			a.pause(retryPause)

			continue
		}

		if r.Fault == lab.FaultNone {
			s.tx.wrote = s.tx.wrote || o.Writes

			return r
		}

		if r.Status != lab.StatusInTransaction || r.Fault.NotRun() {
			s.fail()
		}

		return r
	}
}

// aborted ends the transaction at the member; nothing of it is kept.
func (a *attempt) aborted(detail string) lab.OperationResult {
	a.session.fail()

	return fault(lab.FaultAborted, detail)
}

// fail ends a transaction at the member while the caller has still to end it.
func (s *Session) fail() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.tx.drop()
	s.tx.failed = true
}

// drop closes the member connection, which rolls back.
func (t *transaction) drop() {
	if t.timer != nil {
		t.timer.Stop()
	}

	if t.conn != nil {
		t.conn.Discard()
		t.conn = nil
	}
}

// end commits or rolls back.
func (s *Session) end(o lab.Operation) lab.OperationResult {
	if s.tx == nil {
		return fault(lab.FaultMalformed, "no transaction is open")
	}

	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		s.abandonLocked()
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

// rollback ends the transaction at the member and keeps the connection where the member confirms.
func (s *Session) rollback() {
	c := s.tx.conn
	if c == nil {
		return
	}

	s.tx.conn = nil
	values := maps.Clone(s.values)

	// The caller needn't wait: nothing of the transaction can be kept any more.
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
	a := s.attempt(o, s.tx.route)
	r := a.commit(o)
	a.report(o, r)

	return r
}

func (a *attempt) commit(o lab.Operation) lab.OperationResult {
	s := a.session

	// A commit succeeds only with a member's proof, also after no statement.
	if s.tx.conn == nil && !a.bind() {
		return a.refused()
	}

	for {
		c := s.tx.conn
		asked := s.Clock.Now()

		r, err := c.Run(a.deadline, s.values, o)
		if notRun(err) {
			return a.aborted("the commit was not sent")
		}

		if err != nil {
			s.tx.conn = nil

			a.unanswered(c, err)

			return a.lost(err)
		}

		a.noteAnswer(c)

		switch {
		case r[0].Fault == lab.FaultNone:
			s.tx.conn = nil
			giveBack(c, r[0])

			if s.tx.wrote {
				a.committed(c.Member(), asked, r[0].Position)
			}

			return r[0]
		case r[0].Fault.NotRun() && r[0].Status == lab.StatusInTransaction && !a.expired():
			a.pause(retryPause)
		default:
			return r[0]
		}
	}
}

// rest arms the timer that frees the member connection of a transaction whose caller stays idle; it is called with the
// session's mutex held.
func (t *transaction) rest(s *Session) {
	if t.idle <= 0 || t.conn == nil {
		return
	}

	if t.timer != nil {
		t.timer.Stop()
	}

	t.timer = time.AfterFunc(t.idle, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()

		if s.busy || s.tx != t || t.conn == nil {
			return
		}

		s.Log.Info().Str("database", s.Database).Dur("idle", t.idle).Msg("idle_transaction_ended")
		t.drop()

		t.failed = true
	})
}
