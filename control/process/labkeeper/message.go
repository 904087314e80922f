package labkeeper

import (
	"time"

	"laburnumlock.dev/lab"
)

// The methods between control instances.
const (
	methodJoin      lab.Method = "keeper_join"
	methodPut       lab.Method = "keeper_put"
	methodGet       lab.Method = "keeper_get"
	methodAnnounce  lab.Method = "keeper_announce"
	methodBroadcast lab.Method = "keeper_spread"
)

// joinRequest is sent periodically by each instance.
type joinRequest struct {
	ID    lab.InstanceID `msgpack:"i"`
	Fresh bool           `msgpack:"f"` // has never been a member
}

type joinResponse struct {
	Leader  lab.InstanceID `msgpack:"l"`
	Removed bool           `msgpack:"r"` // the identity was a member and is no longer
}

type putRequest struct {
	Version uint64 `msgpack:"v"`
	Packed  []byte `msgpack:"s"`
}

// observation is an announcement and how long ago the member made it.
type observation struct {
	Announcement lab.Announcement `msgpack:"a"`
	Age          time.Duration    `msgpack:"t"`
}

type broadcastRequest struct {
	Observations []observation  `msgpack:"s"`
	Proxies      []lab.Instance `msgpack:"p"` // that watch the leader
}
