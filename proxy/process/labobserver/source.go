package labobserver

import (
	"context"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// Source opens connections over which the positions of members are read.
type Source interface {
	// Open connects to a member and returns a Reader for the connection.
	Open(ctx context.Context, member lab.Announcement) (Reader, error)
}

// Reader reads a member's position over one open connection.
type Reader interface {
	// Probe reads the member's current position.
	Probe(ctx context.Context) (labupstream.Position, error)
	// Abort closes the connection without waiting for the member.
	Abort()
	// Close closes the connection and waits a short time for the member to close it too.
	Close()
}

// Upstreams is the Source that connects to members over the network.
type Upstreams struct {
	Dialer *labupstream.Dialer
}

// Open connects to a member.
func (u Upstreams) Open(ctx context.Context, member lab.Announcement) (Reader, error) {
	conn, err := u.Dialer.Dial(ctx, member.Address, member.Database)
	if err != nil {
		return nil, err
	}

	return conn, nil
}
