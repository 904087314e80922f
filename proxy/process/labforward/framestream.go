package labforward

import (
	"bufio"
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// frameStream sends and receives the frames of a transaction's stream. Calls of send may be concurrent, calls of
// receive may not.
type frameStream struct {
	stream         lab.Stream
	reader         *bufio.Reader
	requestID      uint64
	link           *Link // nil when both ends of the stream are in the same region
	traffic        Traffic
	receivedFrames uint64 // number of frames received so far

	mu         sync.Mutex
	sentFrames uint64 // number of frames written so far
}

func newFrameStream(stream lab.Stream, header lab.TransactionHeader, link *Link) *frameStream {
	s := &frameStream{
		stream: stream, reader: bufio.NewReader(stream), requestID: header.RequestID, link: link, traffic: TrafficWrite,
	}
	if header.ReadOnly {
		s.traffic = TrafficRead
	}

	return s
}

// send writes a frame and reports whether the peer may have received the whole frame.
func (s *frameStream) send(ctx context.Context, f frame) (received bool, err error) {
	f.RequestID = s.requestID

	out, err := encodeFrame(f)
	if err != nil {
		return false, err
	}

	// The lock is not held while the frame waits for the link, so that keepalive and cancel frames can overtake the
	// frames of a response.
	if err = s.waitForLink(ctx, f, len(out)); err != nil {
		return false, err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.sentFrames++
	setSequence(out, s.sentFrames)

	n, err := s.stream.Write(out)
	if err != nil {
		return n == len(out), errors.Newf("write frame: %w", err)
	}

	return true, nil
}

func (s *frameStream) waitForLink(ctx context.Context, f frame, size int) error {
	if s.link == nil {
		return nil
	}

	traffic := s.traffic
	if f.Kind == kindCancel || f.Kind == kindKeepAlive {
		traffic = TrafficControl
	}

	return s.link.WaitToSend(ctx, traffic, size)
}

// receive reads a frame and checks its request ID and sequence number.
func (s *frameStream) receive() (frame, error) {
	f, sequence, err := readFrame(s.reader)
	if err != nil {
		return frame{}, err
	}

	s.receivedFrames++

	if f.RequestID != s.requestID || sequence != s.receivedFrames {
		return frame{}, errors.Newf(
			"%w: got request %d frame %d, expected request %d frame %d",
			errFrame, f.RequestID, sequence, s.requestID, s.receivedFrames)
	}

	return f, nil
}
