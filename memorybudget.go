package lab

// MemoryBudget bounds the bytes that a process holds for its clients, members and peers.
type MemoryBudget interface {
	// Open returns an account for one connection. When the connection has to be closed to free memory, evict is called. It
	// must not block, and may be called from any goroutine.
	Open(evict func()) MemoryAccount
	// Reserve takes bytes for work that can't be interrupted and reports whether they are free. Release returns them.
	Reserve(bytes int) bool
	// Release returns reserved bytes.
	Release(bytes int)
}

// MemoryAccount counts the bytes that are freed when one connection is closed.
type MemoryAccount interface {
	// Add changes the number of bytes. If the budget is exceeded, it evicts the largest and slowest accounts.
	Add(bytes int)
	// Bytes returns the number of bytes.
	Bytes() int
	// Keep cancels an eviction, for example because the bytes have been sent meanwhile.
	Keep()
	// Close returns all bytes. Later calls have no effect.
	Close()
}
