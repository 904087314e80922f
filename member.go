package lab

import "time"

// Announcement is the description that a member periodically posts about itself.
type Announcement struct {
	Database         string `json:"database"          msgpack:"d"`
	Member           string `json:"member"            msgpack:"m"`
	Address          string `json:"address"           msgpack:"a"` // host:port for the PostgreSQL protocol
	Region           string `json:"region"            msgpack:"r"`
	AvailabilityZone string `json:"availability_zone" msgpack:"z"`
	Incarnation      uint64 `json:"incarnation"       msgpack:"i"` // grows with each start of the member
	Slots            int    `json:"slots"             msgpack:"s"` // number of statements run concurrently
	Connections      int    `json:"connections"       msgpack:"c"` // connections accepted from proxies and control
	Draining         bool   `json:"leaving"           msgpack:"l"`
	// Primary is true if the member announces that it is the primary; some members don't announce their role.
	Primary bool `json:"primary,omitempty" msgpack:"p,omitempty"`
	// Sequence grows with each announcement of an incarnation. It is 0 if the member does not number its announcements.
	Sequence uint64 `json:"sequence,omitempty" msgpack:"q,omitempty"`
	// Terminated is true if the member has stopped and will not start again.
	Terminated bool `json:"gone,omitempty" msgpack:"g,omitempty"`
}

// MemberStatus is one observation of a member, read over the PostgreSQL protocol.
type MemberStatus struct {
	Database       string        `json:"database"    msgpack:"d"`
	Member         string        `json:"member"      msgpack:"m"`
	Reachable      bool          `json:"reachable"   msgpack:"u"` // judged by attempts to open a new connection
	UnreachableFor time.Duration `json:"lost_for"    msgpack:"l"` // time for which it has been unreachable; else 0
	InRecovery     bool          `json:"in_recovery" msgpack:"y"`
	Replayed       WALPosition   `json:"replayed"    msgpack:"p"` // end of the replayed WAL
	Received       WALPosition   `json:"received"    msgpack:"r"` // end of the received WAL
}
