package labfront

import "sync/atomic"

// Counters count events of the listener.
type Counters struct {
	Open            atomic.Int64 // connections open now
	Accepted        atomic.Int64 // connections accepted
	Refused         atomic.Int64 // connections refused over the limit or while draining
	StartupTimeouts atomic.Int64 // connections closed because their startup took too long
	SlowReaders     atomic.Int64 // connections closed because the caller did not read its answer
	BytesIn         atomic.Int64
	BytesOut        atomic.Int64
}
