package labframe

import "encoding/binary"

// Default values for the largest length of a message, in bytes.
const (
	MessageLimit = 16 << 20 // messages after authentication
	SessionLimit = 1 << 20  // administrative messages, which carry no data
	StartupLimit = 10 << 10 // messages before authentication; PostgreSQL has the same limit for startup packets
)

// Splitter buffers received bytes and returns complete messages. Its zero value is ready for use. It holds no memory
// while no bytes are buffered.
type Splitter struct {
	buffer []byte
}

// Write appends a copy of the received bytes to the buffer.
func (s *Splitter) Write(data []byte) {
	s.buffer = append(s.buffer, data...)
}

// Buffered returns the number of buffered bytes that have not been returned in a message.
func (s *Splitter) Buffered() int {
	return len(s.buffer)
}

// Next returns the next message, or false when more bytes are needed. It returns a LengthError when the length field is
// invalid or exceeds limit. The message stays valid after further calls.
func (s *Splitter) Next(limit int) (Frame, bool, error) {
	if len(s.buffer) < HeaderSize {
		return Frame{}, false, nil
	}

	return s.splitFrame(s.buffer[0], 1, limit)
}

// NextStartup is like Next for messages without a type byte, which a client sends before authentication.
func (s *Splitter) NextStartup(limit int) (Frame, bool, error) {
	if len(s.buffer) < HeaderSize-1 {
		return Frame{}, false, nil
	}

	return s.splitFrame(0, 0, limit)
}

func (s *Splitter) splitFrame(frameType byte, typeSize, limit int) (Frame, bool, error) {
	length := int64(int32(binary.BigEndian.Uint32(s.buffer[typeSize:])))
	if length < HeaderSize-1 || length > int64(limit) {
		return Frame{}, false, &LengthError{Type: frameType, Length: length, Limit: limit}
	}

	size := int(length) + typeSize
	if len(s.buffer) < size {
		return Frame{}, false, nil
	}

	raw := s.buffer[:size:size]
	s.buffer = s.buffer[size:]

	if len(s.buffer) == 0 {
		s.buffer = nil // drops the reference to the array of the returned frames, so that an idle connection holds no buffer
	}

	return Frame{Type: frameType, Raw: raw, headerSize: HeaderSize - 1 + typeSize}, true, nil
}
