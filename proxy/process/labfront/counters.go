package labfront

import "expvar"

// Counters count events of the listener.
type Counters struct {
	Open            expvar.Int // connections open now
	Accepted        expvar.Int // connections accepted
	Refused         expvar.Int // connections refused over the limit or while draining
	StartupTimeouts expvar.Int // connections closed because their startup took too long
	SlowReaders     expvar.Int // connections closed because the caller did not read its answer
	BytesIn         expvar.Int
	BytesOut        expvar.Int
}
