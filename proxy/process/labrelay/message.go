package labrelay

import (
	"time"

	"laburnumlock.dev/lab"
)

// Method is the stream on which statements for one member are passed on.
const Method lab.Method = "relay"

// header opens a stream.
type header struct {
	Service     string `msgpack:"s"`
	Member      string `msgpack:"m"`
	Incarnation uint64 `msgpack:"i"`
	Priority    int    `msgpack:"p"`
}

// request asks for operations on the stream's connection, which the gateway binds to the stream while a transaction is
// open on it.
type request struct {
	Wait       time.Duration     `msgpack:"w"` // for a connection
	Deadline   time.Duration     `msgpack:"d"` // time left, that wait included
	Values     map[string]string `msgpack:"v,omitempty"`
	Operations []lab.Operation   `msgpack:"o"` // none to learn the primary's position only
}

type response struct {
	Results  []lab.OperationResult `msgpack:"r"`
	Failure  string                `msgpack:"f,omitempty"`
	NotRun   bool                  `msgpack:"n,omitempty"` // with a failure: nothing ran
	TimedOut bool                  `msgpack:"l,omitempty"` // with a failure: the deadline passed
	Busy     bool                  `msgpack:"b,omitempty"` // with a failure: no connection became free in time
	// Position of the primary and how long ago the gateway asked for it; zero when it doesn't know one.
	Position lab.CommitPosition `msgpack:"p"`
	Age      time.Duration      `msgpack:"a"`
}
