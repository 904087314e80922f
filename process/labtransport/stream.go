package labtransport

import (
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"laburnumlock.dev/lab"
)

const streamCodeCancelled quic.StreamErrorCode = 1

// connectionCodeStopped is the error code with which a process closes its connections after a successful Drain.
const connectionCodeStopped quic.ApplicationErrorCode = 2

// stream adapts a QUIC stream to lab.Stream.
type stream struct {
	*quic.Stream
	done func() // called when the stream is closed or cancelled
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
	return s.Stream.Close()
}

// Close closes the sending direction and discards unread data.
func (s *stream) Close() error {
	s.CancelRead(streamCodeCancelled)
	defer s.done()

	return s.Stream.Close()
}

// Cancel aborts both directions.
func (s *stream) Cancel() {
	s.CancelRead(streamCodeCancelled)
	s.CancelWrite(streamCodeCancelled)
	s.done()
}
