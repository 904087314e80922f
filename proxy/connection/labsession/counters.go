package labsession

import "sync/atomic"

// Counters count events of all sessions of a proxy.
type Counters struct {
	Logins       atomic.Int64 // sessions that became ready
	LoginsFailed atomic.Int64 // refused startups and authentications
	Units        atomic.Int64 // units run at a gateway
	LocalUnits   atomic.Int64 // units answered by the session
	Retries      atomic.Int64 // automatic retries
	NotRun       atomic.Int64 // requests reported as not run
	Unknown      atomic.Int64 // requests reported as of unknown outcome
	ReplicaReads atomic.Int64 // units answered by a replica
	LateAnswers  atomic.Int64 // answers dropped because their caller had left
	Cancels      atomic.Int64 // cancel requests that found their session
	CancelsLost  atomic.Int64 // cancel requests without a session
	Violations   atomic.Int64 // sessions closed for breaking the protocol
	Drained      atomic.Int64 // sessions closed by a graceful stop
}
