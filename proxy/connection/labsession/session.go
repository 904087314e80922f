package labsession

import (
	"context"
	"sync"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Session is one caller's session.
type Session struct {
	server *Server
	conn   Conn

	lock               sync.Mutex
	splitter           labframe.Splitter
	startup            *startupState // nil once the session is ready
	workerRunning      bool          // a worker owns the fields below
	draining           bool
	closed             bool               // the connection is gone or closing
	cancelRun          context.CancelFunc // ends what the worker waits for
	runningTransaction lab.Transaction    // the transaction whose Run is in progress
	cancelRequested    bool               // a cancel request arrived while the unit ran

	// Fixed after startup.
	organisation string
	database     string
	processID    uint32

	// Owned by the worker, or by whoever holds the lock while none runs.
	token        labtoken.Token
	statements   preparedStatements
	settings     settings
	options      options
	block        transactionBlock
	namedSession *namedSession // nil unless the session is known by name and carries no token
	openBatch    *messageBatch // extended messages collected so far
	skipToSync   bool          // the open unit has failed; messages up to Sync are ignored

	tokenChanged  bool // a floor was raised since the token was last reported
	flushing      bool // an answer without ReadyForQuery is being written
	implicitBlock bool // the block was opened for messages up to a Flush and ends with the next Sync
}

// Ready reports whether startup and authentication are done.
func (s *Session) Ready() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.startup == nil
}

// Busy reports whether a worker handles messages of the caller.
func (s *Session) Busy() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.workerRunning
}

// Receive takes bytes from the caller. It does not block.
func (s *Session) Receive(data []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.closed {
		return
	}

	s.splitter.Write(data)

	if s.startup != nil && !s.handleStartup() {
		return
	}

	if s.splitter.Buffered() > s.server.pendingLimit() {
		s.closeForViolation(errTooMuchPending)

		return
	}

	if !s.workerRunning && s.splitter.Buffered() > 0 {
		s.workerRunning = true

		go s.handleMessages()
	}
}

// ConnectionClosed tells the session that its connection is gone.
func (s *Session) ConnectionClosed() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.closed = true
	if s.cancelRun != nil {
		s.cancelRun()
	}

	if !s.workerRunning {
		s.releaseResources()
	}
}

// Drain closes the session with admin_shutdown as soon as no transaction of it is in progress.
func (s *Session) Drain() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.draining = true
	if !s.workerRunning && !s.closed {
		s.closeIfIdle()
	}
}

// closeIfIdle closes a draining session unless it is in a transaction. The lock is held and no worker runs.
func (s *Session) closeIfIdle() {
	if s.block.status() != statusIdle {
		return
	}

	s.server.Counters.Drained.Add(1)
	s.closeWith(errShutdown)
}

// closeWith sends a last message and closes the connection. The lock is held.
func (s *Session) closeWith(last *failure) {
	if s.closed {
		return
	}

	s.closed = true
	s.conn.Send(last.fatal())
	s.conn.Close()

	if s.cancelRun != nil {
		s.cancelRun()
	}

	if !s.workerRunning {
		s.releaseResources()
	}
}

func (s *Session) closeForViolation(f *failure) {
	s.server.Counters.ProtocolViolations.Add(1)
	s.server.Log.Warn().Str("organisation", s.organisation).Str("database", s.database).
		Str("code", f.code).Str("reason", f.message).Msg("session_closed")
	s.closeWith(f)
}

// releaseResources gives up what the session holds. The lock is held and no worker runs.
func (s *Session) releaseResources() {
	if s.processID != 0 {
		s.server.Keys.remove(s.processID)
		s.processID = 0
	}

	s.block.abandon()
	s.statements.clear()
	s.openBatch = nil
}

// cancelRunning cancels what runs, if anything does.
func (s *Session) cancelRunning() {
	s.lock.Lock()
	t := s.runningTransaction

	if t == nil && s.cancelRun != nil {
		s.cancelRun()
	}

	s.cancelRequested = t != nil || s.cancelRun != nil
	s.lock.Unlock()

	if t != nil {
		t.Cancel() // may wait for the network
	}
}
