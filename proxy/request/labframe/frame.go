package labframe

import "encoding/binary"

// HeaderSize is the size of the type byte and the length field of a message, in bytes.
const HeaderSize = 5

// Frame is one complete message.
type Frame struct {
	Type byte   // type byte of the message; 0 for a startup packet
	Raw  []byte // the message as received, with type byte and length field

	headerSize int // number of bytes before the body
}

// Body returns the message without its type byte and length field.
func (f Frame) Body() []byte {
	return f.Raw[f.headerSize:]
}

// Append appends a message of the given type to out. The body of the message is the concatenation of the parts.
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
