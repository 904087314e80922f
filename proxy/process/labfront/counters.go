package labfront

import "expvar"

// Counters counts the connections of a listener and the bytes that they transfer.
type Counters struct {
	Open            expvar.Int // connections that are open
	Accepted        expvar.Int // connections accepted
	Refused         expvar.Int // connections refused because the limit was reached or the proxy was draining
	StartupTimeouts expvar.Int // connections closed because their startup took too long
	SlowReaders     expvar.Int // connections closed because the client did not read its response
	BytesIn         expvar.Int // bytes received from clients
	BytesOut        expvar.Int // bytes queued to be sent to clients
}
