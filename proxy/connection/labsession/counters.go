package labsession

import "expvar"

// Counters counts the events of all sessions of a proxy.
type Counters struct {
	Logins                expvar.Int // sessions that completed startup
	LoginsFailed          expvar.Int // rejected startups and authentications
	Batches               expvar.Int // batches that require a gateway
	LocalBatches          expvar.Int // batches handled without a gateway
	Retries               expvar.Int // automatic retries
	NotRun                expvar.Int // requests reported as not run
	OutcomeUnknown        expvar.Int // requests reported as having an unknown outcome
	ReplicaReads          expvar.Int // batches executed by a replica
	LateResponses         expvar.Int // responses dropped because the batch had ended or the client had disconnected
	Cancels               expvar.Int // cancel requests whose key belonged to a session of this proxy
	CancelsLost           expvar.Int // cancel requests dropped because no session had their key
	MinPositionsNotStored expvar.Int // writes acknowledged before their minimum position was stored
	ProtocolViolations    expvar.Int // sessions closed because of a protocol violation
	Drained               expvar.Int // sessions closed because the proxy was draining
}
