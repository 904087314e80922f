package labobserver

import (
	"time"

	"laburnumlock.dev/lab"
)

// View is the observed state of one member.
type View struct {
	Member        lab.Announcement
	PositionKnown bool // a position was read since the member last started
	ConnectFailed bool // the last attempt to connect, or the probe after it, failed
	Unreachable   bool // attempts to connect have failed for Observer.UnreachableAfter
	// UnresponsiveAt is set when a probe fails on an open connection while a new connection works. It is the time at
	// which the last such probe was sent, or 0 if there was none.
	UnresponsiveAt time.Duration
	Status         lab.MemberStatus
	LastTerm       lab.PrimaryTerm // last term that the member reported; it reports none while its WAL receiver is stopped
	AgeKnown       bool            // whether the age is known
	Age            time.Duration   // age of the data that a replica has replayed
}
