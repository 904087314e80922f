package labframe

import "fmt"

// LengthError is returned for a message whose length field is invalid or exceeds the limit.
type LengthError struct {
	Type   byte  // type byte of the message; 0 for a startup packet
	Length int64 // value of the length field, which excludes the type byte
	Limit  int   // largest permitted length, in bytes
}

// Error returns a description with the type, the length and the exceeded limit.
func (e *LengthError) Error() string {
	if e.TooLarge() {
		return fmt.Sprintf("message of type %q has %d bytes, the limit is %d", e.Type, e.Length, e.Limit)
	}

	return fmt.Sprintf("message of type %q has the invalid length %d", e.Type, e.Length)
}

// TooLarge reports whether the length is valid but exceeds the limit.
func (e *LengthError) TooLarge() bool {
	return e.Length > int64(e.Limit)
}
