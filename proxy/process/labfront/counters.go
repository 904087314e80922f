package labfront

import "expvar"

// Counters holds counters of the listener's connections.
type Counters struct {
	Open            expvar.Int // connections that are open
	Accepted        expvar.Int // connections accepted
	Refused         expvar.Int // connections refused above the limit or while draining
	StartupTimeouts expvar.Int // connections closed because their startup took too long
	SlowReaders     expvar.Int // connections closed because the client did not read its response
	BytesIn         expvar.Int
	BytesOut        expvar.Int
}
