package lab

import "time"

// MethodWatch is the method by which a proxy receives the configuration document and the members from the control group,
// and reports the primaries that it observes. The leader answers, or another control instance that watches the leader.
const MethodWatch Method = "watch"

// WatchRequest is a long-polling request for changes. The leader responds as soon as there is a change, and at the
// latest after MaxWait.
type WatchRequest struct {
	Proxy                Instance        `msgpack:"p"`
	LeaderEpoch          uint64          `msgpack:"b"` // leader epoch in the latest response that the sender received
	MembersRevision      uint64          `msgpack:"r"` // revision of the sender's list of members; 0 if it has none
	ProxiesRevision      uint64          `msgpack:"n"` // revision of the sender's list of proxies
	ConfigurationVersion uint64          `msgpack:"v"` // version of the sender's active configuration document
	MaxWait              time.Duration   `msgpack:"w"` // time after which the leader responds even without a change
	Draining             bool            `msgpack:"d"` // the sender is draining
	Primaries            []PrimaryReport `msgpack:"s"` // primaries that the sender observes or can't reach
	// Positions are the newest positions of the primaries that the sender observes. RequestedAt is on the clock of the
	// process that identified itself with ClockEpoch; other processes ignore them.
	Positions  []PositionReport `msgpack:"x,omitempty"`
	ClockEpoch uint64           `msgpack:"k,omitempty"`
	// Acknowledged are the newest positions up to which the sender, or a proxy that watches it, knows every commit to be
	// acknowledged.
	Acknowledged []AcknowledgedPosition `msgpack:"q,omitempty"`
	Permissions  PermissionReport       `msgpack:"c"` // lists of commit permissions that the sender has
	// Relay is true if the sender is a control instance that answers the watches of other proxies. Of Proxy, only the ID is
	// set then, which is that of the control instance.
	Relay   bool           `msgpack:"y,omitempty"`
	Relayed []RelayedProxy `msgpack:"z,omitempty"` // proxies that watch the sender
	// AcceptsChanges is true if the sender applies WatchResponse.MemberChanges and changes of the list of permissions. Others
	// get whole lists.
	AcceptsChanges bool `msgpack:"h,omitempty"`
}

// RelayedProxy is what a control instance reports to the leader about a proxy that watches it.
type RelayedProxy struct {
	Proxy     Instance        `msgpack:"p"`
	Draining  bool            `msgpack:"d,omitempty"`
	Primaries []PrimaryReport `msgpack:"s,omitempty"`
}

// PrimaryReport is a proxy's observation of the primary of a service.
type PrimaryReport struct {
	Service        string        `msgpack:"s"`
	Member         string        `msgpack:"m"`
	UnreachableFor time.Duration `msgpack:"f"` // how long the primary has been unreachable; 0 while it is reachable
	// Observer is true if the sender is one of the few proxies that check the primary continuously. The other proxies
	// report a primary only while they can't reach it.
	Observer bool `msgpack:"o,omitempty"`
}

// PositionReport is a position that the primary of a service had reached.
type PositionReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names, since proxies get it twice a second

	Service     string
	Position    CommitPosition
	RequestedAt time.Duration // the position was requested at this time or later; see ClockEpoch of the message
}

// AcknowledgedPosition is a lower bound of what the primary of a service has acknowledged: a commit that was sent to the
// primary after it had reached this position was acknowledged, and replicas receive commits in order.
type AcknowledgedPosition struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names, since the leader gets it twice a second

	Service  string
	Position CommitPosition
}

// WatchResponse carries the changes that the leader of the control group knows.
type WatchResponse struct {
	// Leader is set if the responding instance can't answer because it isn't the leader; all other fields are then empty.
	Leader           InstanceID `msgpack:"l"`
	LeaderEpoch      uint64     `msgpack:"b"`           // identifies the leader that numbered the revisions
	MembersRevision  uint64     `msgpack:"r"`           // revision of the list of members and of MembersComplete; grows also when the leader changes
	ProxiesRevision  uint64     `msgpack:"n"`           // revision of the list of proxies; 0 if there is no change of it
	Configuration    []byte     `msgpack:"s"`           // compressed configuration document; empty unless newer than the proxy's
	Members          []byte     `msgpack:"m"`           // compressed MemberList; empty if the receiver has this MembersRevision or a newer one
	MemberChanges    []byte     `msgpack:"h,omitempty"` // compressed MemberChanges, sent instead of Members if that is possible
	Proxies          []byte     `msgpack:"x"`           // compressed list of Instance; empty if unchanged or not yet complete
	ProxyChanges     []byte     `msgpack:"y"`           // compressed ProxyChanges, sent instead of Proxies if that is possible
	MembersComplete  bool       `msgpack:"c"`           // no other members exist: announcements were received for long enough
	ControlAddresses []string   `msgpack:"a"`           // process addresses of the control instances
	ControlZones     []string   `msgpack:"e"`           // availability zones of ControlAddresses; empty strings if unknown

	ClockEpoch uint64           `msgpack:"k"` // identifies the clock of the responding process
	ReceivedAt time.Duration    `msgpack:"t"` // time on that clock at which the request was received
	SentAt     time.Duration    `msgpack:"u"` // time on that clock of the response
	Positions  []PositionReport `msgpack:"z"` // newest positions of the primaries
	// PackedPositions is the compressed list of positions, sent instead of Positions if there are many and the receiver accepts
	// changes.
	PackedPositions []byte `msgpack:"i,omitempty"`
	// Leaving lists the members that are leaving. It is complete in each response, since the times go on.
	Leaving     []LeavingMember `msgpack:"g,omitempty"`
	Permissions PermissionGrant `msgpack:"w"` // permissions to commit
}

// LeavingMember is a member that has announced that it will end.
type LeavingMember struct {
	Member      string        `msgpack:"m"`
	Incarnation uint64        `msgpack:"i"`
	For         time.Duration `msgpack:"f"` // time since a control instance first received the announcement
}

// ProxyChanges are the changes of the list of proxies since the revision that the receiver has.
type ProxyChanges struct {
	Set     []Instance   `msgpack:"s"` // proxies that were added or changed
	Removed []InstanceID `msgpack:"r"`
}

// MemberList lists all members that control knows.
type MemberList struct {
	Members   []Announcement    `msgpack:"m"`
	Primaries map[string]string `msgpack:"p"` // name of the primary by service
}

// MemberChanges are the changes of the list of members since the revision that the receiver has. Those of Removed come
// first: a member that has moved to another service is in both.
type MemberChanges struct {
	Removed   []MemberName      `msgpack:"r,omitempty"`
	Set       []Announcement    `msgpack:"s,omitempty"` // members that were added or changed
	Primaries map[string]string `msgpack:"p,omitempty"` // names of changed primaries by service; empty if none is known any more
}

// MemberName names a member of a service.
type MemberName struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec: no field names

	Service string
	Member  string
}
