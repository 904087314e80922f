package labsession

import (
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Types of client messages.
const (
	typeQuery        = 'Q'
	typeParse        = 'P'
	typeBind         = 'B'
	typeDescribe     = 'D'
	typeExecute      = 'E'
	typeClose        = 'C'
	typeFlush        = 'H'
	typeSync         = 'S'
	typeTerminate    = 'X'
	typeFunctionCall = 'F'
	typeCopyData     = 'd'
	typeCopyDone     = 'c'
	typeCopyFail     = 'f'
)

// handleMessages is the worker goroutine: it handles complete messages until none is left.
func (s *Session) handleMessages() {
	for {
		f, ok := s.nextFrame()
		if !ok {
			return
		}

		s.awaitMinPosition()
		s.handleFrame(f)
	}
}

// nextFrame returns the next complete message. When there is none, it marks the worker as stopped and returns false.
func (s *Session) nextFrame() (labframe.Frame, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if !s.closed {
		f, ok, err := s.splitter.Next(s.server.messageLimit())
		if err != nil {
			s.closeForViolation(frameFailure(err))
		}

		if ok {
			return f, true
		}
	}

	s.workerRunning = false

	switch {
	case s.closed:
		s.releaseResources()
	case s.draining:
		s.closeIfIdle()
	}

	return labframe.Frame{}, false
}

func (s *Session) handleFrame(f labframe.Frame) {
	if s.skipToSync && f.Type != typeSync && f.Type != typeTerminate {
		return
	}

	switch f.Type {
	case typeQuery:
		s.query(f)
	case typeParse, typeBind, typeDescribe, typeExecute, typeClose:
		s.collect(f)
	case typeFlush:
		s.flush()
	case typeSync:
		s.sync(f)
	case typeCopyData, typeCopyDone, typeCopyFail: // as in PostgreSQL, these messages are ignored outside of COPY
	case typeFunctionCall:
		s.respondError(errFunctionCall)
	case typeTerminate:
		s.terminate()
	default:
		s.lock.Lock()
		s.closeForViolation(errMessageType)
		s.lock.Unlock()
	}
}

func (s *Session) terminate() {
	s.lock.Lock()
	defer s.lock.Unlock()

	if !s.closed {
		s.closed = true
		s.conn.Close()
	}
}
