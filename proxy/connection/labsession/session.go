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

	lock     sync.Mutex
	splitter labframe.Splitter
	phase    *login // nil once the session is ready
	running  bool   // a worker owns the fields below
	draining bool
	ended    bool               // the connection is gone or closing
	stop     context.CancelFunc // ends what the worker waits for
	current  lab.Transaction    // the transaction whose Run is in progress
	canceled bool               // a cancel request arrived while the unit ran

	// Fixed after startup.
	organisation string
	database     string
	processID    uint32

	// Owned by the worker, or by whoever holds the lock while none runs.
	token      labtoken.Token
	statements statements
	settings   settings
	options    options
	block      block
	roaming    *roaming // nil unless the session is known by name and carries no token
	open       *unit    // extended messages collected so far
	skipping   bool     // the open unit has failed; messages up to Sync are ignored

	tokenChanged bool // a floor was raised since the token was last reported
	flushing     bool // an answer without ReadyForQuery is being written
	implicit     bool // the block was opened for messages up to a Flush and ends with the next Sync
}

// Ready reports whether startup and authentication are done.
func (s *Session) Ready() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.phase == nil
}

// Busy reports whether a worker handles messages of the caller.
func (s *Session) Busy() bool {
	s.lock.Lock()
	defer s.lock.Unlock()

	return s.running
}

// Receive takes bytes from the caller. It does not block.
func (s *Session) Receive(data []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if s.ended {
		return
	}

	s.splitter.Write(data)

	if s.phase != nil && !s.startup() {
		return
	}

	if s.splitter.Buffered() > s.server.pendingLimit() {
		s.violate(errTooMuchPending)

		return
	}

	if !s.running && s.splitter.Buffered() > 0 {
		s.running = true

		go s.work()
	}
}

// Closed tells the session that its connection is gone.
func (s *Session) Closed() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.ended = true
	if s.stop != nil {
		s.stop()
	}

	if !s.running {
		s.release()
	}
}

// Drain closes the session with admin_shutdown as soon as no transaction of it is in progress.
func (s *Session) Drain() {
	s.lock.Lock()
	defer s.lock.Unlock()

	s.draining = true
	if !s.running && !s.ended {
		s.leave()
	}
}

// leave closes a draining session unless it is in a transaction. The lock is held and no worker runs.
func (s *Session) leave() {
	if s.block.status() != statusIdle {
		return
	}

	s.server.Counters.Drained.Add(1)
	s.finish(errShutdown)
}

// finish sends a last message and closes the connection. The lock is held.
func (s *Session) finish(last *failure) {
	if s.ended {
		return
	}

	s.ended = true
	s.conn.Send(last.fatal())
	s.conn.Close()

	if s.stop != nil {
		s.stop()
	}

	if !s.running {
		s.release()
	}
}

func (s *Session) violate(f *failure) {
	s.server.Counters.Violations.Add(1)
	s.server.Log.Warn().Str("organisation", s.organisation).Str("database", s.database).
		Str("code", f.code).Str("reason", f.message).Msg("session_closed")
	s.finish(f)
}

// release gives up what the session holds. The lock is held and no worker runs.
func (s *Session) release() {
	if s.processID != 0 {
		s.server.Keys.remove(s.processID)
		s.processID = 0
	}

	s.block.abandon()
	s.statements.clear()
	s.open = nil
}

// cancelRequest cancels what runs, if anything does.
func (s *Session) cancelRequest() {
	s.lock.Lock()
	t := s.current

	if t == nil && s.stop != nil {
		s.stop()
	}

	s.canceled = t != nil || s.stop != nil
	s.lock.Unlock()

	if t != nil {
		t.Cancel() // may wait for the network
	}
}
