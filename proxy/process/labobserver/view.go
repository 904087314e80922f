package labobserver

import (
	"time"

	"laburnumlock.dev/lab"
)

// View is what is known of one member.
type View struct {
	Member         lab.Announcement
	Known          bool          // the position was read since the member started
	Failing        bool          // the last new connection failed
	Unreachable    bool          // new connections to it have failed for a while
	UnresponsiveAt time.Duration // when open connections were last found silent while a new one worked
	Status         lab.MemberStatus
	LastTerm       lab.PrimaryTerm // last term read; a replica without a running receiver tells none
	AgeKnown       bool
	Age            time.Duration // of the data a replica has replayed
}
