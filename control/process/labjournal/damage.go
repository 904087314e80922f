package labjournal

import "fmt"

// DamageError reports stored data that is damaged by something other than a torn write.
type DamageError struct {
	File   string
	Offset int64 // bytes from the start of the file to the damaged record
	Err    error
}

// Error returns a message with the file and the offset.
func (e *DamageError) Error() string {
	return fmt.Sprintf("journal file %s is damaged at offset %d: %v", e.File, e.Offset, e.Err)
}

// Unwrap returns the error of the damaged record.
func (e *DamageError) Unwrap() error {
	return e.Err
}
