package labsession

import (
	"laburnumlock.dev/lab/proxy/request/labframe"
)

// Types of caller messages.
const (
	typeQuery     = 'Q'
	typeParse     = 'P'
	typeBind      = 'B'
	typeDescribe  = 'D'
	typeExecute   = 'E'
	typeClose     = 'C'
	typeFlush     = 'H'
	typeSync      = 'S'
	typeTerminate = 'X'
	typeFunction  = 'F'
	typeCopyData  = 'd'
	typeCopyDone  = 'c'
	typeCopyFail  = 'f'
)

// work handles complete messages until there are none.
func (s *Session) work() {
	for {
		f, ok := s.nextFrame()
		if !ok {
			return
		}

		s.recall()
		s.handle(f)
	}
}

// nextFrame returns the next complete message. Without one it ends the worker.
func (s *Session) nextFrame() (labframe.Frame, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()

	if !s.ended {
		f, ok, err := s.splitter.Next(s.server.messageLimit())
		if err != nil {
			s.violate(frameFailure(err))
		}

		if ok {
			return f, true
		}
	}

	s.running = false

	switch {
	case s.ended:
		s.release()
	case s.draining:
		s.leave()
	}

	return labframe.Frame{}, false
}

func (s *Session) handle(f labframe.Frame) {
	if s.skipping && f.Type != typeSync && f.Type != typeTerminate {
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
	case typeCopyData, typeCopyDone, typeCopyFail: // PostgreSQL ignores these outside of COPY
	case typeFunction:
		s.refuse(errFunctionCall)
	case typeTerminate:
		s.terminate()
	default:
		s.lock.Lock()
		s.violate(errMessageType)
		s.lock.Unlock()
	}
}

func (s *Session) terminate() {
	s.lock.Lock()
	defer s.lock.Unlock()

	if !s.ended {
		s.ended = true
		s.conn.Close()
	}
}
