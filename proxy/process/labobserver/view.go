package labobserver

import (
	"time"

	"laburnumlock.dev/lab"
)

// View is the observed state of one member.
type View struct {
	Member        lab.Announcement
	PositionKnown bool // a position was read since the member started
	ConnectFailed bool // the last new connection or its first probe failed
	Unreachable   bool // new connections have failed for Observer.UnreachableAfter
	// UnresponsiveAt is the start of the last failed probe of an open connection after which a new connection worked.
	// It is 0 when there was none.
	UnresponsiveAt time.Duration
	Status         lab.MemberStatus
	LastTerm       lab.PrimaryTerm // last known term; a replica whose WAL receiver doesn't run reports none
	AgeKnown       bool            // whether Age is set
	Age            time.Duration   // age of the data that a replica has replayed
}
