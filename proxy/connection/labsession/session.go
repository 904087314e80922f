package labsession

import (
	"context"
	"sync"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labtoken"
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Session is the session of one client connection.
type Session struct {
	server *Server
	conn   Conn

	lock               sync.Mutex
	splitter           labframe.Splitter
	startup            *startupState      // nil once the session is ready
	workerRunning      bool               // a worker goroutine is running
	draining           bool               // Drain was called
	closed             bool               // the connection is closed or is being closed
	cancelBatch        context.CancelFunc // cancels the context of the running batch; nil when no batch runs
	runningTransaction lab.Transaction    // transaction whose Run method is in progress; nil when there is none
	cancelRequested    bool               // a cancel request arrived while the current batch was running

	// Fixed after startup.
	organisation string
	database     string
	processID    uint32 // process ID in the session's cancel key

	// The following fields are owned by the worker while it runs, and guarded by lock otherwise.
	token        labtoken.Token
	statements   preparedStatements
	settings     settings
	options      options
	block        transactionBlock
	namedSession *namedSession // nil unless the client gave a session name and no token
	openBatch    *messageBatch // extended-protocol messages received since the last Sync or Flush
	skipToSync   bool          // an error occurred; messages up to the next Sync are ignored

	tokenChanged  bool // a minimum position was raised after the token was last reported to the client
	withholdReady bool // responses end without ReadyForQuery: a Flush or a Sync in an implicit block is being handled
	implicitBlock bool // the proxy opened the transaction block at a Flush and ends it at the next Sync
}

// Ready reports whether startup and authentication are complete.
func (s *Session) Ready() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.startup == nil
}

// Busy reports whether a worker is handling messages of the client.
func (s *Session) Busy() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.workerRunning
}

// Receive processes bytes received from the client. It does not block.
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

// ConnectionClosed notifies the session that its connection was closed. It cancels the running batch.
func (s *Session) ConnectionClosed() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.closed = true
	if s.cancelBatch != nil {
		s.cancelBatch()
	}

	if !s.workerRunning {
		s.releaseResources()
	}
}

// Drain closes the session with SQLSTATE 57P01 (admin_shutdown) as soon as it is not in a transaction.
func (s *Session) Drain() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.draining = true
	if !s.workerRunning && !s.closed {
		s.closeIfIdle()
	}
}

// closeIfIdle closes a draining session unless it is in a transaction. The caller holds s.lock, and no worker is
// running.
func (s *Session) closeIfIdle() {
	if s.block.status() != statusIdle {
		return
	}

	s.server.Counters.Drained.Add(1)
	s.closeWith(errShutdown)
}

// closeWith sends a fatal error and closes the connection. The caller holds s.lock.
func (s *Session) closeWith(last *failure) {
	if s.closed {
		return
	}

	s.closed = true
	s.conn.Send(last.fatal())
	s.conn.Close()

	if s.cancelBatch != nil {
		s.cancelBatch()
	}

	if !s.workerRunning {
		s.releaseResources()
	}
}

// closeForViolation logs and counts a protocol violation and closes the connection. The caller holds s.lock.
func (s *Session) closeForViolation(f *failure) {
	s.server.Counters.ProtocolViolations.Add(1)
	s.server.Log.Warn().Str("organisation", s.organisation).Str("database", s.database).
		Str("code", f.code).Str("reason", f.message).Msg("session_closed")
	s.closeWith(f)
}

// releaseResources releases the session's cancel key, transaction and prepared statements. The caller holds s.lock, and
// no worker is running.
func (s *Session) releaseResources() {
	if s.processID != 0 {
		s.server.Keys.remove(s.processID)
		s.processID = 0
	}

	s.block.abandon()
	s.statements.clear()
	s.openBatch = nil
}

// cancelRunning cancels the running batch, if there is one. If the batch was already sent to the gateway, it cancels
// the statement that runs on the upstream; otherwise it cancels the context of the batch.
func (s *Session) cancelRunning() {
	s.lock.Lock()
	t := s.runningTransaction

	if t == nil && s.cancelBatch != nil {
		s.cancelBatch()
	}

	s.cancelRequested = t != nil || s.cancelBatch != nil
	s.lock.Unlock()

	if t != nil {
		t.Cancel() // called without the lock, since it may block on the network
	}
}
