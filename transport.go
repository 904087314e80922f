package lab

import (
	"context"
	"io"
)

// Method identifies a type of request between processes of the system.
type Method string

// The methods of requests between processes of the system.
const (
	MethodConsensus   Method = "consensus"   // one-way consensus message
	MethodHeartbeat   Method = "heartbeat"   // heartbeat of a proxy to control
	MethodTransaction Method = "transaction" // stream of a transaction from the entry proxy to the gateway
	MethodCancel      Method = "cancel"      // cancel request forwarded between proxies
	MethodRegistry    Method = "registry"    // operations of the idempotency registry
	MethodMinPosition Method = "floor"       // storing and loading minimum positions on other proxies
	MethodPing        Method = "ping"        // check that a process responds
)

// Stream is a bidirectional byte stream to another process.
type Stream interface {
	io.ReadWriteCloser
	// CloseWrite closes the sending direction, so that the peer reads the end of the stream.
	CloseWrite() error
	// Cancel aborts both directions.
	Cancel()
}

// PeerClient sends requests to other processes of the system.
type PeerClient interface {
	// Call sends a request, encoded with msgpack, to the process at address and decodes the response into response.
	Call(ctx context.Context, address string, method Method, request, response any) error
	// Open starts a stream whose first frame is the header, encoded with msgpack.
	Open(ctx context.Context, address string, method Method, header any) (Stream, error)
}

// PersistentPeerClient is a PeerClient that establishes connections in the background and keeps them open.
type PersistentPeerClient interface {
	PeerClient
	// Connected reports whether a connection to the address is open.
	Connected(address string) bool
	// Connect starts to establish a connection unless one is open or being established.
	Connect(address string)
}

// CallHandler serves one request and returns the response. It calls decode to decode the request into a typed value.
type CallHandler func(ctx context.Context, from InstanceID, decode func(request any) error) (response any, err error)

// StreamHandler serves one stream until the stream ends. It calls decode to decode the header into a typed value.
type StreamHandler func(ctx context.Context, from InstanceID, decode func(header any) error, stream Stream) error
