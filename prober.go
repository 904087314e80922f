package lab

import "context"

// Prober reads and promotes members over their own protocol, each time with a new connection.
type Prober interface {
	// Status reads a member's role and positions.
	Status(ctx context.Context, member Announcement) (MemberStatus, error)
	// Promote makes a member the primary and returns its status afterwards.
	Promote(ctx context.Context, member Announcement) (MemberStatus, error)
}
