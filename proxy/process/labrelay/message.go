package labrelay

import (
	"time"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/laboutlier"
)

// Method is the stream method that relays statements for one member.
const Method lab.Method = "relay"

// header is the first message of a stream: it names the member and sets the priority of the statements.
type header struct {
	Service     string `msgpack:"s"`
	Member      string `msgpack:"m"`
	Incarnation uint64 `msgpack:"i"`
	Priority    int    `msgpack:"p"`
	// Organisation is empty if the deployment has none. Version is that of the configuration in which the sender found it.
	Organisation string `msgpack:"o,omitempty"`
	Version      uint64 `msgpack:"v,omitempty"`
	// Alternative is the condition of another member that can run the statements, nil if only this member can. The gateway
	// refuses the statements if it has ejected the member and finds it much worse.
	Alternative *laboutlier.Condition `msgpack:"a,omitempty"`
}

// request asks the gateway to run operations. The gateway binds a connection to the stream for the request, and keeps
// it bound while a transaction is open.
type request struct {
	Wait       time.Duration     `msgpack:"w"`           // maximum wait for a connection
	Deadline   time.Duration     `msgpack:"d"`           // time left for the request, including Wait
	Values     map[string]string `msgpack:"v,omitempty"` // session values of the client
	Operations []lab.Operation   `msgpack:"o"`           // empty to request only the primary's position
}

// response is the gateway's response to a request.
type response struct {
	Results  []lab.OperationResult `msgpack:"r"`
	Failure  string                `msgpack:"f,omitempty"` // error text, empty if the request succeeded
	NotRun   bool                  `msgpack:"n,omitempty"` // whether the request failed before any operation ran
	TimedOut bool                  `msgpack:"l,omitempty"` // whether the request failed because its deadline passed
	Busy     bool                  `msgpack:"b,omitempty"` // whether no connection became free in time for the request
	// Rejected reports that the organisation isn't configured at the gateway, which is set together with NotRun.
	Rejected bool `msgpack:"x,omitempty"`
	// Position is the newest position of the primary known to the gateway, and Age the time since the gateway requested
	// it. Both are zero when the gateway knows no position.
	Position lab.CommitPosition `msgpack:"p"`
	Age      time.Duration      `msgpack:"a"`
	// Ejected states that the request was refused because of header.Alternative.
	Ejected bool `msgpack:"e,omitempty"`
	// Condition is how well the member serves at the gateway.
	Condition laboutlier.Condition `msgpack:"c"`
}
