package labmeteredreader

import (
	"io"

	"laburnumlock.dev/lab"
)

const (
	// uncountedBytes is the size up to which messages are not counted, so that ordinary ones cost nothing.
	uncountedBytes = 4 << 10
	// copies is the memory for a byte of a message that is received and decoded: the buffer, which grows by copying, and
	// the decoded strings.
	copies = 3
)

// Reader reads messages from a connection to another process. Its exported fields are set before use. It is not safe for
// concurrent use.
type Reader struct {
	Source io.Reader
	Memory lab.MemoryBudget // nil for no limit
	Evict  func()           // ends the connection, since the message is too large; called from any goroutine

	size    int
	counted int
	account lab.MemoryAccount
}

// Read reads a part of the present message.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.Source.Read(p)
	r.size += n

	if r.Memory == nil || r.size <= uncountedBytes {
		return n, err //nolint:wrapcheck // readers compare errors
	}

	if r.account == nil {
		r.account = r.Memory.Open(r.Evict)
	}

	r.account.Add(r.size*copies - r.counted)
	r.counted = r.size * copies

	return n, err //nolint:wrapcheck // readers compare errors
}

// Reset must be called when a message is no longer used. The next Read begins another one.
func (r *Reader) Reset() {
	if r.account != nil {
		r.account.Close()
	}

	r.size, r.counted, r.account = 0, 0, nil
}
