package labtransport

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"laburnumlock.dev/lab"
)

const streamCodeCancelled quic.StreamErrorCode = 1

// connectionCodeStopped is the error code with which a process closes its connections after a successful Drain.
const connectionCodeStopped quic.ApplicationErrorCode = 2

// stream adapts a QUIC stream to lab.Stream. quic-go keeps a stream until both directions have ended at this side: the sending
// one by exactly one Close or by CancelWrite, the other by its end or by CancelRead.
type stream struct {
	*quic.Stream

	ended func() // called once, when both directions are ended by Close or Cancel; nil for none

	mutex       sync.Mutex
	writeClosed bool // the sending direction has been closed or cancelled
	endedBoth   bool
}

// Read reads data from the peer. It fails with lab.ErrPeerStopped after the peer has stopped gracefully.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)

	return n, peerError(err)
}

// Write sends data to the peer. It fails with lab.ErrPeerStopped after the peer has stopped gracefully.
func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)

	return n, peerError(err)
}

func peerError(err error) error {
	var a *quic.ApplicationError
	if errors.As(err, &a) && a.Remote && a.ErrorCode == connectionCodeStopped {
		return errors.Mark(err, lab.ErrPeerStopped)
	}

	return err
}

// CloseWrite closes the sending direction.
func (s *stream) CloseWrite() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.writeClosed {
		return nil
	}

	s.writeClosed = true

	return s.Stream.Close()
}

// Close closes the sending direction and discards unread data.
func (s *stream) Close() error {
	s.CancelRead(streamCodeCancelled)
	defer s.end()

	return s.CloseWrite()
}

// Cancel aborts both directions.
func (s *stream) Cancel() {
	s.CancelRead(streamCodeCancelled)

	s.mutex.Lock()
	s.writeClosed = true
	s.CancelWrite(streamCodeCancelled)
	s.mutex.Unlock()

	s.end()
}

func (s *stream) end() {
	s.mutex.Lock()
	first := !s.endedBoth
	s.endedBoth = true
	s.mutex.Unlock()

	if first && s.ended != nil {
		s.ended()
	}
}
