package labframe

import "fmt"

// LengthError reports a message whose length field is malformed or over the limit.
type LengthError struct {
	Type   byte // 0 for a startup packet
	Length int64
	Limit  int // bytes
}

// Error describes the fault.
func (e *LengthError) Error() string {
	if e.TooLarge() {
		return fmt.Sprintf("message of type %q has %d bytes, the limit is %d", e.Type, e.Length, e.Limit)
	}

	return fmt.Sprintf("message of type %q has the invalid length %d", e.Type, e.Length)
}

// TooLarge reports whether the length is well-formed but over the limit.
func (e *LengthError) TooLarge() bool {
	return e.Length > int64(e.Limit)
}
