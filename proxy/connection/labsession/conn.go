package labsession

// Conn is the caller's connection as its session uses it. All methods may be called from any goroutine.
type Conn interface {
	// Send queues a small message without blocking; data must not be changed afterwards.
	Send(data []byte)
	// Write queues data, which must not be changed afterwards, and blocks while the caller reads too slowly. It fails
	// when the connection is closed or the caller made no progress in time.
	Write(data []byte) error
	// Limit sets how many bytes of answers may be on their way to the caller before Write blocks.
	Limit(bytes int)
	// Close closes the connection after what was queued has been sent.
	Close()
}
