package lab

import "context"

// Prober reads the status of members and promotes them over the PostgreSQL protocol. It opens a new connection for each
// call.
type Prober interface {
	// Status reads the role and the WAL positions of a member.
	Status(ctx context.Context, member Announcement) (MemberStatus, error)
	// Promote makes a member the primary and returns its status afterwards.
	Promote(ctx context.Context, member Announcement) (MemberStatus, error)
}
