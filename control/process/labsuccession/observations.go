package labsuccession

import "time"

const (
	// ReportMaxAge is how long a proxy's report counts; proxies report at least every 400 ms.
	ReportMaxAge = time.Second
	// ProbeFailureThreshold is how long own probes must fail before a primary counts as lost. Most proxies must have missed it on
	// their own as well, so one probe that runs into its timeout is enough, and several that are refused at once.
	ProbeFailureThreshold = 200 * time.Millisecond
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

// Observations is what is known about a service's primary.
type Observations struct {
	PrimaryKnown      bool          // some member is the primary
	PrimaryMissingFor time.Duration // how long none has been known
	PrimaryLeaving    bool
	Successors        int           // replicas that stay
	FailingProxies    int           // proxies that cannot reach it
	ReachingProxies   int           // proxies that reached it recently
	ProbesFailedFor   time.Duration // how long own probes with new connections have failed
	OrderUnconfirmed  bool          // an earlier order was not confirmed
}

// MissingAfter is how long a service may be without a known primary before one is chosen; a member announces a change
// of its role at once, and otherwise every 1.2 s.
const MissingAfter = 4 * time.Second

// ReplacementReason says whether a primary is to be replaced. A primary that more proxies reach than miss stays: replacing it
// would cost all callers a pause, to help a minority whose path is cut.
func (e *Observations) ReplacementReason() Reason {
	switch {
	case e.Successors == 0:
		return ReasonNone
	case e.OrderUnconfirmed:
		return ReasonResumed
	case !e.PrimaryKnown && e.PrimaryMissingFor > MissingAfter:
		return ReasonMissing
	case e.PrimaryKnown && e.PrimaryLeaving:
		return ReasonLeaving
	case e.PrimaryKnown && e.ProbesFailedFor >= ProbeFailureThreshold && e.FailingProxies > e.ReachingProxies:
		return ReasonLost
	}

	return ReasonNone
}

// NeedsProbe reports whether the primary should be probed.
func (e *Observations) NeedsProbe() bool {
	return e.PrimaryKnown && e.FailingProxies > 0
}
