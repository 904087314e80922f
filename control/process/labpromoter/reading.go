package labpromoter

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// probeTimeout bounds one position reading, so that a silent member doesn't delay the choice.
const probeTimeout = time.Second

// reading is what a member answered over a new connection.
type reading struct {
	member lab.Announcement
	status lab.MemberStatus
}

// readMembers asks all members of a database at once and returns those that answered.
func (p *Promoter) readMembers(ctx context.Context, d *lab.Database) []reading {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make([]*reading, len(d.Members))
	var group sync.WaitGroup
	for i, m := range d.Members {
		group.Go(func() {
			if s, err := p.Prober.Status(ctx, m); err == nil {
				answers[i] = &reading{member: m, status: p.withTerm(m, s)}
			}
		})
	}
	group.Wait()
	var list []reading
	for _, r := range answers {
		if r != nil {
			list = append(list, *r)
		}
	}

	return list
}

// walPosition returns how much of the log a member has; a replica that restarted may have replayed more than it received
// since.
func walPosition(s lab.MemberStatus) lab.WALPosition {
	p := s.Received
	p.Offset = max(p.Offset, s.Replayed.Offset)

	return p
}

// withTerm completes the position of a replica that isn't streaming and therefore reports no timeline: it is the one
// that a gateway last saw the replica stream.
func (p *Promoter) withTerm(m lab.Announcement, s lab.MemberStatus) lab.MemberStatus {
	if s.InRecovery && s.Received.Term == 0 {
		last := p.state(m.Database).streamPosition(m.Member)
		if last.Offset <= walPosition(s).Offset {
			s.Received.Term = last.Term
		}
	}

	return s
}
