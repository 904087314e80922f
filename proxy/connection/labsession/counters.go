package labsession

import "expvar"

// Counters count events of all sessions of a proxy.
type Counters struct {
	Logins                expvar.Int // sessions that became ready
	LoginsFailed          expvar.Int // refused startups and authentications
	Batches               expvar.Int // units run at a gateway
	LocalBatches          expvar.Int // units answered by the session
	Retries               expvar.Int // automatic retries
	NotRun                expvar.Int // requests reported as not run
	OutcomeUnknown        expvar.Int // requests reported as of unknown outcome
	ReplicaReads          expvar.Int // units answered by a replica
	LateResponses         expvar.Int // answers dropped because their caller had left
	Cancels               expvar.Int // cancel requests that found their session
	CancelsLost           expvar.Int // cancel requests without a session
	MinPositionsNotStored expvar.Int // writes answered before their floor was kept
	ProtocolViolations    expvar.Int // sessions closed for breaking the protocol
	Drained               expvar.Int // sessions closed by a graceful stop
}
