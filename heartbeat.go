package lab

import "time"

// GatewayRole is the exclusive right to use a database's members in one region.
type GatewayRole struct {
	Database string `json:"database" msgpack:"d"`
	Region   string `json:"region"   msgpack:"r"`
}

// Grant is one duty under a lease.
type Grant struct {
	Role     GatewayRole `json:"duty"     msgpack:"d"`
	Epoch    uint64      `json:"epoch"    msgpack:"e"` // of the placement
	Term     PrimaryTerm `json:"term"     msgpack:"t"` // term in which writes may be sent, 0 for none
	Writable bool        `json:"writable" msgpack:"w"` // the primary is in this duty's region and its term is in force
}

// Heartbeat is what a proxy periodically sends to control.
type Heartbeat struct {
	RequestID     uint64         `msgpack:"q"`
	Instance      Instance       `msgpack:"i"`
	Draining      bool           `msgpack:"d"`
	AppliedIndex  uint64         `msgpack:"c"` // log index up to which the catalog is in force at the sender
	Grants        []Grant        `msgpack:"h"` // grants in use; one that is missing has been released
	Statuses      []MemberStatus `msgpack:"s"` // observations that changed
	Announcements []Announcement `msgpack:"a"` // announcements received that changed
}

// HeartbeatResponse renews a lease and brings the catalog's changes.
type HeartbeatResponse struct {
	RequestID     uint64        `msgpack:"q"`
	LeaderAddress string        `msgpack:"l"` // address of the leader when the answering instance is not; else empty
	LeaderTerm    uint64        `msgpack:"t"` // consensus term of the answering leader
	TTL           time.Duration `msgpack:"v"` // counted from the moment the heartbeat was sent; 0 renews nothing
	Grants        []Grant       `msgpack:"g"` // everything the sender may do until the lease ends
	NextDelay     time.Duration `msgpack:"n"` // pause until the next heartbeat when a change is pending; 0 for the usual one
	Delta         CatalogDelta  `msgpack:"d"`
}

// CatalogDelta carries the catalog objects that changed after an index.
type CatalogDelta struct {
	BaseIndex     uint64         `msgpack:"s"` // log index the delta builds on; 0 for the full catalog
	Index         uint64         `msgpack:"x"` // log index reached with this delta
	Version       uint64         `msgpack:"v"` // configuration version at that index
	Organisations []Organisation `msgpack:"o"`
	Databases     []Database     `msgpack:"d"`
	Proxies       []Instance     `msgpack:"p"` // all live proxies by id when the set changed after Since, else empty
}
