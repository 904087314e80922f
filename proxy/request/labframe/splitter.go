package labframe

import "encoding/binary"

// Default size limits of one message, in bytes.
const (
	MessageLimit = 16 << 20 // after authentication
	SessionLimit = 1 << 20  // administrative messages that need no data
	StartupLimit = 10 << 10 // before authentication; PostgreSQL's own limit for startup packets
)

// Splitter collects bytes and returns complete messages; the zero value is ready and holds no memory while empty.
type Splitter struct {
	buffer []byte
}

// Write adds received bytes, which are copied.
func (s *Splitter) Write(data []byte) {
	s.buffer = append(s.buffer, data...)
}

// Buffered returns the number of bytes not yet returned in a message.
func (s *Splitter) Buffered() int {
	return len(s.buffer)
}

// Next returns the next message of at most limit bytes, and false when more bytes are needed. The message stays valid.
func (s *Splitter) Next(limit int) (Frame, bool, error) {
	if len(s.buffer) < HeaderSize {
		return Frame{}, false, nil
	}

	return s.splitFrame(s.buffer[0], 1, limit)
}

// NextStartup returns the next message without type byte, as sent before the start of the session.
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
		s.buffer = nil // frames own the array; an idle connection keeps no buffer
	}

	return Frame{Type: frameType, Raw: raw, headerSize: HeaderSize - 1 + typeSize}, true, nil
}
