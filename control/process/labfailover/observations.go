package labfailover

import "time"

const (
	// ReportMaxAge is how long a proxy's report is valid. A proxy sends its reports with each watch request. The leader
	// responds after at most 500 ms (watchWait in labsubscriber), and the proxy then sends the next request at once. The
	// reports are therefore renewed every 500 ms plus a round trip, or sooner, while the leader responds.
	ReportMaxAge = time.Second
	// ProbeFailureThreshold is how long control's own probes must fail before a primary counts as lost. One probe that
	// times out reaches the threshold, and so do several probes that fail at once. So short a time is enough, because
	// most proxies must have failed to reach the primary as well.
	ProbeFailureThreshold = 200 * time.Millisecond
)

// Reason is the reason for replacing a primary.
type Reason string

// Reasons for replacing a primary.
const (
	ReasonNone             Reason = ""
	ReasonLeaving          Reason = "primary_leaving"
	ReasonLost             Reason = "primary_lost"
	ReasonNoPrimary        Reason = "no_primary"
	ReasonOrderUnconfirmed Reason = "order_unconfirmed"
)

// Observations summarizes what control knows about the primary of a service.
type Observations struct {
	PrimaryKnown      bool          // a primary is known
	PrimaryMissingFor time.Duration // how long no primary has been known
	PrimaryLeaving    bool
	Successors        int // number of replicas that are not leaving
	FailingProxies    int // number of proxies that cannot reach the primary, of those that represent all
	ReachingProxies   int // number of proxies that reached the primary recently, of those that represent all
	// ReportedUnreachable is true if any proxy can't reach the primary.
	ReportedUnreachable bool
	ProbesFailedFor     time.Duration // how long control's own probes have failed, each over a new connection
	OrderUnconfirmed    bool          // an earlier promotion order was not confirmed
}

// MissingAfter is how long a service may be without a known primary before a new one is chosen. A member announces a
// change of its role at once, and otherwise announces itself every 1.2 s.
const MissingAfter = 4 * time.Second

// GiveUpAfter is how long a service may be without a candidate before the members that are missing are given up. A service
// whose members are lost for good would otherwise stay without a primary.
const GiveUpAfter = 10 * time.Minute

// ReplacementReason returns why the primary must be replaced, or ReasonNone. A primary counts as lost only
// if more proxies fail to reach it than reach it. Otherwise its replacement would interrupt all clients to help a
// minority whose network path is broken.
func (e *Observations) ReplacementReason() Reason {
	switch {
	case e.OrderUnconfirmed:
		return ReasonOrderUnconfirmed
	case e.Successors == 0:
		return ReasonNone
	case !e.PrimaryKnown && e.PrimaryMissingFor > MissingAfter:
		return ReasonNoPrimary
	case e.PrimaryKnown && e.PrimaryLeaving:
		return ReasonLeaving
	case e.PrimaryKnown && e.ProbesFailedFor >= ProbeFailureThreshold && e.FailingProxies > e.ReachingProxies:
		return ReasonLost
	}

	return ReasonNone
}

// NeedsProbe reports whether control should probe the primary because proxies fail to reach it.
func (e *Observations) NeedsProbe() bool {
	return e.PrimaryKnown && (e.ReportedUnreachable || e.FailingProxies > 0)
}
