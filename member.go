package lab

import "time"

// Announcement is what an upstream periodically posts about itself.
type Announcement struct {
	Database         string `json:"database"          msgpack:"d"`
	Member           string `json:"member"            msgpack:"m"`
	Address          string `json:"address"           msgpack:"a"` // host:port of the PostgreSQL protocol
	Region           string `json:"region"            msgpack:"r"`
	AvailabilityZone string `json:"availability_zone" msgpack:"z"`
	Incarnation      uint64 `json:"incarnation"       msgpack:"i"` // grows with every start of the upstream
	Slots            int    `json:"slots"             msgpack:"s"` // statements it runs at once
	Connections      int    `json:"connections"       msgpack:"c"` // connections it accepts from the system
	Draining         bool   `json:"leaving"           msgpack:"l"`
	// Primary is the member's own view of its role, where it announces one.
	Primary bool `json:"primary,omitempty" msgpack:"p,omitempty"`
	// Sequence grows with each announcement of one incarnation, where the member numbers them.
	Sequence uint64 `json:"sequence,omitempty" msgpack:"q,omitempty"`
	// Terminated marks a member that has ended for good.
	Terminated bool `json:"gone,omitempty" msgpack:"g,omitempty"`
}

// MemberStatus is one observation of a member, read over its own protocol.
type MemberStatus struct {
	Database       string        `json:"database"    msgpack:"d"`
	Member         string        `json:"member"      msgpack:"m"`
	Reachable      bool          `json:"reachable"   msgpack:"u"` // judged by a new connection
	UnreachableFor time.Duration `json:"lost_for"    msgpack:"l"` // how long it has been unreachable
	InRecovery     bool          `json:"in_recovery" msgpack:"y"`
	Replayed       WALPosition   `json:"replayed"    msgpack:"p"`
	Received       WALPosition   `json:"received"    msgpack:"r"`
}
