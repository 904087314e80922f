package labsuccession

import "time"

const (
	// ReportAge is how long a proxy's report counts; proxies report at least every 400 ms.
	ReportAge = time.Second
	// LostAfter is how long own probes must fail before a primary counts as lost. Most proxies must have missed it on
	// their own as well, so one probe that runs into its timeout is enough, and several that are refused at once.
	LostAfter = 200 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// The reasons of a replacement.
const (
	ReasonNone    Reason = ""
	ReasonLeaving Reason = "primary_leaving"
	ReasonLost    Reason = "primary_lost"
	ReasonMissing Reason = "no_primary"
	ReasonResumed Reason = "order_unconfirmed"
)

// Evidence is what is known about a service's primary.
type Evidence struct {
	Known      bool          // some member is the primary
	Missing    time.Duration // how long none has been known
	Leaving    bool
	Successors int           // replicas that stay
	Failing    int           // proxies that cannot reach it
	Reaching   int           // proxies that reached it recently
	ProbesFail time.Duration // how long own probes with new connections have failed
	Unfinished bool          // an earlier order was not confirmed
}

// MissingAfter is how long a service may be without a known primary before one is chosen; a member announces a change
// of its role at once, and otherwise every 1.2 s.
const MissingAfter = 4 * time.Second

// Verdict says whether a primary is to be replaced. A primary that more proxies reach than miss stays: replacing it
// would cost all callers a pause, to help a minority whose path is cut.
func (e *Evidence) Verdict() Reason {
	switch {
	case e.Successors == 0:
		return ReasonNone
	case e.Unfinished:
		return ReasonResumed
	case !e.Known && e.Missing > MissingAfter:
		return ReasonMissing
	case e.Known && e.Leaving:
		return ReasonLeaving
	case e.Known && e.ProbesFail >= LostAfter && e.Failing > e.Reaching:
		return ReasonLost
	}

	return ReasonNone
}

// Suspicious reports whether the primary should be probed.
func (e *Evidence) Suspicious() bool {
	return e.Known && e.Failing > 0
}
