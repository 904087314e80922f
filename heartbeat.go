package lab

import "time"

// GatewayRole is the exclusive right to execute statements on the members of a database in one region.
type GatewayRole struct {
	Database string `json:"database" msgpack:"d"`
	Region   string `json:"region"   msgpack:"r"`
}

// Grant is one gateway role that a lease grants.
type Grant struct {
	Role     GatewayRole `json:"duty"     msgpack:"d"`
	Epoch    uint64      `json:"epoch"    msgpack:"e"` // epoch of the gateway placement
	Term     PrimaryTerm `json:"term"     msgpack:"t"` // primary term in which writes may be sent; 0 for none
	Writable bool        `json:"writable" msgpack:"w"` // writes may be sent: the primary is in the region, Term is current
}

// Heartbeat is the message by which a proxy renews its lease and reports observations to control.
type Heartbeat struct {
	RequestID     uint64         `msgpack:"q"`
	Instance      Instance       `msgpack:"i"`
	Draining      bool           `msgpack:"d"`
	AppliedIndex  uint64         `msgpack:"c"` // log index up to which the sender has applied the catalog
	Grants        []Grant        `msgpack:"h"` // all grants that the sender uses; it has released any other
	Statuses      []MemberStatus `msgpack:"s"` // member statuses that changed since the last heartbeat
	Announcements []Announcement `msgpack:"a"` // member announcements received since the last heartbeat
}

// HeartbeatResponse renews a lease and carries the changes of the catalog.
type HeartbeatResponse struct {
	RequestID     uint64        `msgpack:"q"`
	LeaderAddress string        `msgpack:"l"` // address of the leader; empty if the leader itself responds
	LeaderTerm    uint64        `msgpack:"t"` // consensus term of the responding leader
	TTL           time.Duration `msgpack:"v"` // lease duration, counted from when the heartbeat was sent; 0 if not renewed
	Grants        []Grant       `msgpack:"g"` // all grants of the sender; valid until the lease expires
	NextDelay     time.Duration `msgpack:"n"` // time to the next heartbeat while a change is pending; 0 for the usual time
	Delta         CatalogDelta  `msgpack:"d"`
}

// CatalogDelta holds the catalog objects that changed after a log index.
type CatalogDelta struct {
	BaseIndex     uint64         `msgpack:"s"` // log index that the delta is based on; 0 for the full catalog
	Index         uint64         `msgpack:"x"` // log index of the catalog after the delta is applied
	Version       uint64         `msgpack:"v"` // configuration version at Index
	Organisations []Organisation `msgpack:"o"`
	Databases     []Database     `msgpack:"d"`
	Proxies       []Instance     `msgpack:"p"` // all live proxies, sorted by id; empty if unchanged since BaseIndex
}
