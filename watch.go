package lab

import "time"

// MethodWatch is how a proxy learns the document and the members from the leader of the control group, and reports
// what it sees of primaries.
const MethodWatch Method = "watch"

// WatchRequest asks for what changed; it is answered after a change or after Wait.
type WatchRequest struct {
	Proxy                Instance        `msgpack:"p"`
	LeaderEpoch          uint64          `msgpack:"b"` // of the answer that Revision comes from
	Revision             uint64          `msgpack:"r"`
	ProxiesRevision      uint64          `msgpack:"n"` // of the list of proxies held
	ConfigurationVersion uint64          `msgpack:"v"` // of the document in force at the sender
	MaxWait              time.Duration   `msgpack:"w"`
	Draining             bool            `msgpack:"d"`
	Primaries            []PrimaryReport `msgpack:"s"`
}

// PrimaryReport is what a proxy sees of a service's primary.
type PrimaryReport struct {
	Service        string        `msgpack:"s"`
	Member         string        `msgpack:"m"`
	UnreachableFor time.Duration `msgpack:"f"` // how long it has been unreachable; 0 when it was reached last
}

// WatchResponse is the state known to the leader.
type WatchResponse struct {
	Leader           InstanceID `msgpack:"l"` // set when another instance has to be asked; nothing else is set then
	LeaderEpoch      uint64     `msgpack:"b"` // distinguishes the revisions of different leaders
	Revision         uint64     `msgpack:"r"`
	ProxiesRevision  uint64     `msgpack:"n"` // of Proxies; 0 while the leader has not heard all of them
	Configuration    []byte     `msgpack:"s"` // the compressed document when it is newer than the one in force at the sender
	Members          []byte     `msgpack:"m"` // a compressed MemberList when the revision differs
	Proxies          []byte     `msgpack:"x"` // a compressed list of Instance when the placement differs
	MembersComplete  bool       `msgpack:"c"` // members that are missing don't exist; the leader has listened long enough
	ControlAddresses []string   `msgpack:"a"` // process addresses of the control group
}

// MemberList is all that control knows of the members.
type MemberList struct {
	Members   []Announcement    `msgpack:"m"`
	Primaries map[string]string `msgpack:"p"` // member by service
}
