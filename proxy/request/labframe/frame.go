package labframe

import "encoding/binary"

// HeaderSize is the length of a message's type byte and length field, in bytes.
const HeaderSize = 5

// Frame is one complete message; Raw holds it as received, with type byte and length.
type Frame struct {
	Type byte // 0 for a startup packet
	Raw  []byte

	headerSize int // bytes before the body
}

// Body returns the message without type byte and length.
func (f Frame) Body() []byte {
	return f.Raw[f.headerSize:]
}

// Append appends a message of the given type, whose body is the parts one after another, to out.
func Append(out []byte, messageType byte, parts ...[]byte) []byte {
	size := HeaderSize - 1
	for _, p := range parts {
		size += len(p)
	}

	out = append(out, messageType)
	out = binary.BigEndian.AppendUint32(out, uint32(size))

	for _, p := range parts {
		out = append(out, p...)
	}

	return out
}
