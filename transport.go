package lab

import (
	"context"
	"io"
)

// Method names a kind of request between the system's processes.
type Method string

// The methods between the system's processes.
const (
	MethodConsensus   Method = "consensus"   // one-way consensus message
	MethodHeartbeat   Method = "heartbeat"   // proxy to control
	MethodTransaction Method = "transaction" // stream from entry proxy to gateway
	MethodCancel      Method = "cancel"      // cancel request forwarded between proxies
	MethodRegistry    Method = "registry"    // at-most-once registry operations
	MethodMinPosition Method = "floor"       // floors kept at peers
	MethodPing        Method = "ping"
)

// Stream is a bidirectional byte stream to another process; CloseWrite ends the sending side.
type Stream interface {
	io.ReadWriteCloser
	// CloseWrite tells the peer that no more bytes follow.
	CloseWrite() error
	// Cancel aborts both directions at once.
	Cancel()
}

// PeerClient calls other processes of the system.
type PeerClient interface {
	// Call sends a msgpack request to the process at address and decodes its answer into answer.
	Call(ctx context.Context, address string, method Method, request, answer any) error
	// Open starts a stream whose first frame is the msgpack header.
	Open(ctx context.Context, address string, method Method, header any) (Stream, error)
}

// PersistentPeerClient are peers whose connections are set up in the background.
type PersistentPeerClient interface {
	PeerClient
	// Connected reports whether a connection to the address stands.
	Connected(address string) bool
	// Connect sets a connection up unless one stands or is being set up.
	Connect(address string)
}

// CallHandler answers one request; decode reads the request into a typed value.
type CallHandler func(ctx context.Context, from InstanceID, decode func(request any) error) (answer any, err error)

// StreamHandler serves one stream and returns when it is done; decode reads the header into a typed value.
type StreamHandler func(ctx context.Context, from InstanceID, decode func(header any) error, stream Stream) error
