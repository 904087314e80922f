package labsession

// Conn is a client connection. Its methods are safe for concurrent use.
type Conn interface {
	// Send queues a small message without blocking. The caller must not modify data afterwards.
	Send(data []byte)
	// Write queues data and blocks while the number of queued, unsent bytes exceeds the limit set by SetWriteLimit. It
	// fails when the connection is closed or the client stops reading for too long. The caller must not modify data
	// afterwards.
	Write(data []byte) error
	// SetWriteLimit sets the number of queued, unsent bytes above which Write blocks.
	SetWriteLimit(bytes int)
	// Close closes the connection after all queued data has been sent.
	Close()
}
