package labplatformcontrol

import (
	"time"

	"laburnumlock.dev/lab"
)

// Methods that control instances call on each other.
const (
	methodJoin      lab.Method = "keeper_join"
	methodPut       lab.Method = "keeper_put"
	methodGet       lab.Method = "keeper_get"
	methodAnnounce  lab.Method = "keeper_announce"
	methodBroadcast lab.Method = "keeper_spread"
	methodQuota     lab.Method = "control_quota"
	// methodAnnounceAll forwards several announcements. A single one is forwarded by methodAnnounce.
	methodAnnounceAll lab.Method = "keeper_announce_all"
)

type announceAllRequest struct {
	Announcements []lab.Announcement `msgpack:"a"`
}

// announceAllResponse is the result for each of the announcements, empty for those that the leader has received.
type announceAllResponse struct {
	Refusals []string `msgpack:"e"`
}

// joinRequest is sent periodically by each control instance to the leader.
type joinRequest struct {
	ID    lab.InstanceID `msgpack:"i"`
	Fresh bool           `msgpack:"f"` // the instance has never been a member of the group
	Zone  string         `msgpack:"z"` // availability zone of the instance
	// Stopping is true if the process is about to end. Such a request goes to all instances, as the leader may be the one
	// that stops.
	Stopping bool `msgpack:"s,omitempty"`
}

type joinResponse struct {
	Leader  lab.InstanceID `msgpack:"l"` // leader known to the responding instance, empty if none
	Removed bool           `msgpack:"r"` // the identity was a member of the group and has been removed
}

type putRequest struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"s"` // compressed document
}

// observation is the last announcement of a member, with its age.
type observation struct {
	Announcement lab.Announcement `msgpack:"a"`
	Age          time.Duration    `msgpack:"t"` // time since a control instance received it from the member
}

// contact says how long ago the leader has heard from a control instance.
type contact struct {
	Instance lab.InstanceID `msgpack:"i"`
	Age      time.Duration  `msgpack:"t"`
	Zone     string         `msgpack:"z,omitempty"` // availability zone, empty if it isn't known
}

// memberObservations are the observations of all members.
type memberObservations struct {
	Observations    []observation `msgpack:"s"`
	MembersComplete bool          `msgpack:"m"` // there are no other members
}

type broadcastRequest struct {
	// Term is the consensus term in which the sender led, or 0 if the sender is of a version without it.
	Term         uint64        `msgpack:"e,omitempty"`
	Observations []observation `msgpack:"s"`
	// MembersComplete is true if there are no other members than those of Observations.
	MembersComplete bool                `msgpack:"m"`
	Leaving         []lab.LeavingMember `msgpack:"l,omitempty"` // members of Observations that are leaving
	Contacts        []contact           `msgpack:"o,omitempty"` // the group's instances, as the leader has heard from them
	Proxies         []lab.Instance      `msgpack:"p"`           // the leader's proxy list; empty in most broadcasts, see proxyListRounds
	// Packed is a compressed memberObservations, sent instead of Observations and MembersComplete if there are many members.
	Packed []byte `msgpack:"k,omitempty"`
	// ProxiesComplete is true if Proxies is complete. Right after a start the leader knows only some proxies.
	ProxiesComplete bool `msgpack:"c"`
}
