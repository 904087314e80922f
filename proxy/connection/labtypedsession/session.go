package labtypedsession

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labdirectory"
)

const (
	// stalenessMargin is subtracted from the maximum staleness. A client measures the age of data from the time at which
	// it sends the first byte of its read, so the margin covers the transfer of the read to this proxy.
	stalenessMargin = 150 * time.Millisecond
	// responseMargin is the part of a statement's time limit that is reserved for sending the response to the client.
	responseMargin = 30 * time.Millisecond
	// defaultTimeout bounds a statement whose route has no timeout, for example because the route was removed from the
	// configuration during the transaction.
	defaultTimeout = 2 * time.Second

	stoppingDetail = "the proxy is stopping"
)

// Session is the session of one client. Do must not be called concurrently.
type Session struct {
	Database  string
	Key       string // key by which the client identified itself
	Directory *labdirectory.Directory
	Clock     lab.Clock
	Log       zerolog.Logger
	Counters  *Counters
	Quota     lab.OperationQuota // quotas of the organisations; nil if operations need no tokens
	Refusing  *atomic.Bool       // when true, no statement or transaction is begun any more; nil for never

	mutex      sync.Mutex                   // guards the fields below against the idle timer and Close
	values     map[string]string            // session values by name
	prepared   map[string]preparedStatement // prepared statements by name
	lastCommit lab.CommitPosition           // position of the session's newest commit
	held       int                          // bytes of the session values and prepared statements
	tx         *transaction                 // open transaction, nil if there is none
	// organisation is that of the key at the start of the current operation.
	organisation lab.OrganisationPolicy
	busy         bool // whether Do is running
	closed       bool // whether Close has been called
}

// preparedStatement is the content of a client's prepared statement.
type preparedStatement struct {
	writes bool // whether the statement is a write
	text   string
}

// Do runs one operation and returns the result for the client.
func (s *Session) Do(o lab.Operation) lab.OperationResult {
	s.mutex.Lock()
	s.busy = true
	s.mutex.Unlock()

	started := s.Clock.Now()
	r := s.do(o)
	s.Counters.observe(o, r, s.Clock.Now()-started)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.busy = false

	if s.closed {
		s.discardTransactionLocked()
	} else if s.tx != nil {
		s.tx.armIdleTimer(s)
	}

	r.Status = s.statusLocked()

	return r
}

func (s *Session) statusLocked() lab.TransactionStatus {
	switch {
	case s.tx == nil:
		return lab.StatusIdle
	case s.tx.failed:
		return lab.StatusFailed
	default:
		return lab.StatusInTransaction
	}
}

func (s *Session) do(o lab.Operation) lab.OperationResult {
	if s.tx != nil && s.tx.failed && o.Kind != lab.OperationRollback && o.Kind != lab.OperationCommit {
		return fault(lab.FaultMalformed, "the transaction has failed")
	}

	switch f := s.authorise(o); f {
	case lab.FaultNone:
	case lab.FaultAborted:
		return fault(f, "the key belongs to another organisation now")
	default:
		return fault(f, "the key is not valid")
	}

	if s.refuses(o) {
		if s.tx == nil {
			return fault(lab.FaultBusy, stoppingDetail)
		}

		s.failTransaction()

		return fault(lab.FaultAborted, stoppingDetail)
	}

	switch o.Kind {
	case lab.OperationSet:
		s.set(o)

		return lab.OperationResult{}
	case lab.OperationPrepare:
		s.prepare(o)

		return lab.OperationResult{}
	case lab.OperationDeallocate:
		return s.deallocate(o)
	case lab.OperationBegin:
		return s.begin(o)
	case lab.OperationCommit, lab.OperationRollback:
		return s.endTransaction(o)
	case lab.OperationRead, lab.OperationWrite, lab.OperationExecute:
		return s.statement(o)
	default:
		return fault(lab.FaultMalformed, "unknown statement")
	}
}

// refuses reports whether an operation would begin work at a member that Refusing no longer allows. A commit or rollback ends
// work.
func (s *Session) refuses(o lab.Operation) bool {
	if s.Refusing == nil || !s.Refusing.Load() {
		return false
	}

	switch o.Kind {
	case lab.OperationBegin, lab.OperationRead, lab.OperationWrite, lab.OperationExecute:
		return true
	default:
		return false
	}
}

// authorise checks the client's key in the active configuration and returns the fault of the operation, if any. An open
// transaction fails when the key is removed or moves to another organisation, since its connection belongs to the former
// one; a commit then also ends it.
func (s *Session) authorise(o lab.Operation) lab.Fault {
	if o.Kind == lab.OperationRollback {
		return lab.FaultNone
	}

	p, f := s.Directory.Organisation(s.Database, s.Key)
	if s.tx == nil {
		s.organisation = p

		return f
	}

	if f == lab.FaultNone && p.Name != s.organisation.Name {
		f = lab.FaultAborted
	}

	switch {
	case f == lab.FaultNone:
	case o.Kind == lab.OperationCommit:
		s.mutex.Lock()
		defer s.mutex.Unlock()

		s.discardTransactionLocked()
	default:
		s.failTransaction()
	}

	return f
}

// Authorised reports whether the client's key is valid in the active configuration.
func (s *Session) Authorised() bool {
	_, f := s.Directory.Organisation(s.Database, s.Key)

	return f == lab.FaultNone
}

func (s *Session) set(o lab.Operation) {
	if s.values == nil {
		s.values = map[string]string{}
	}

	if former, ok := s.values[o.Name]; ok {
		s.held -= entryBytes(o.Name, former)
	}

	s.values[o.Name] = o.Argument
	s.held += entryBytes(o.Name, o.Argument)
}

// entryBytes returns the bytes that a session value or prepared statement holds, including its part of the map.
func entryBytes(name, text string) int {
	const mapEntryBytes = 100

	return len(name) + len(text) + mapEntryBytes
}

// HeldBytes returns the bytes of the session values and prepared statements. It must not be called during Do.
func (s *Session) HeldBytes() int { return s.held }

func (s *Session) prepare(o lab.Operation) {
	if s.prepared == nil {
		s.prepared = map[string]preparedStatement{}
	}

	s.forget(o.Name)

	s.prepared[o.Name] = preparedStatement{writes: o.Writes, text: o.Argument}
	s.held += entryBytes(o.Name, o.Argument)
}

func (s *Session) deallocate(o lab.Operation) lab.OperationResult {
	if _, ok := s.prepared[o.Name]; !ok {
		return fault(lab.FaultNotPrepared, o.Name)
	}

	s.forget(o.Name)

	return lab.OperationResult{}
}

// forget removes a prepared statement, if there is one of the name.
func (s *Session) forget(name string) {
	if p, ok := s.prepared[name]; ok {
		s.held -= entryBytes(name, p.text)

		delete(s.prepared, name)
	}
}

// statement runs a read, write or execute.
func (s *Session) statement(o lab.Operation) lab.OperationResult {
	if o.Kind == lab.OperationExecute {
		p, ok := s.prepared[o.Name]
		if !ok {
			return fault(lab.FaultNotPrepared, o.Name)
		}

		o.Writes = p.writes
	} else {
		o.Writes = o.Kind == lab.OperationWrite
	}

	if s.tx != nil {
		return s.runInTransaction(o)
	}

	route, _, ok := s.Directory.Route(s.Database)
	if !ok {
		return fault(lab.FaultNoDatabase, s.Database)
	}

	a := s.newAttempt(o, route)

	if !a.takeToken() {
		return quotaRefusal()
	}

	r := a.runSingle(o)
	a.endToken()
	a.report(o, r)

	return r
}

// runSingle runs a statement outside a transaction.
func (a *attempt) runSingle(o lab.Operation) lab.OperationResult {
	switch {
	case o.Writes:
		return a.write(o)
	case a.route.Consistency == lab.ConsistencyPrimary:
		return a.readPrimary(o)
	default:
		return a.readReplica(o)
	}
}

// newAttempt creates the attempt for a statement. The time limit of the statement starts now.
func (s *Session) newAttempt(o lab.Operation, route lab.Route) *attempt {
	t := route.StatementTimeout
	if t <= 0 {
		t = defaultTimeout
	}

	return &attempt{
		session: s, requestID: o.RequestID, route: route, started: s.Clock.Now(),
		deadline: time.Now().Add(t - min(responseMargin, t/4)),
	}
}

// Close ends the session and rolls back an open transaction. If an operation is running, the transaction is rolled back
// after it.
func (s *Session) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.closed = true

	if !s.busy {
		s.discardTransactionLocked()
	}
}

func (s *Session) discardTransactionLocked() {
	if s.tx != nil {
		s.tx.discard()
		s.tx = nil
	}
}

// Idle reports whether no transaction is open and no operation runs.
func (s *Session) Idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return !s.busy && s.tx == nil
}

func fault(f lab.Fault, detail string) lab.OperationResult {
	return lab.OperationResult{Fault: f, Detail: detail}
}
