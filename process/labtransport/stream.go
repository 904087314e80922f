package labtransport

import (
	"github.com/quic-go/quic-go"
)

const codeCancelled quic.StreamErrorCode = 1

// stream adapts a QUIC stream to lab.Stream.
type stream struct {
	*quic.Stream
	done func()
}

// CloseWrite ends the sending side.
func (s *stream) CloseWrite() error {
	return s.Stream.Close()
}

// Close ends the sending side and drops what was not read.
func (s *stream) Close() error {
	s.CancelRead(codeCancelled)
	defer s.done()

	return s.Stream.Close()
}

// Cancel aborts both directions.
func (s *stream) Cancel() {
	s.CancelRead(codeCancelled)
	s.CancelWrite(codeCancelled)
	s.done()
}
