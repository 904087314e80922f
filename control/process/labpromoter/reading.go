package labpromoter

import (
	"context"
	"sync"
	"time"

	"laburnumlock.dev/lab"
)

// probeTimeout bounds the probe of one member, so that an unresponsive member doesn't delay the choice.
const probeTimeout = time.Second

// reading is the status that a member returned over a new connection.
type reading struct {
	member lab.Announcement
	status lab.MemberStatus
}

// readMembers probes all members of a database concurrently and returns the readings of those that responded.
func (p *Promoter) readMembers(ctx context.Context, d *lab.Database) []reading {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	responses := make([]*reading, len(d.Members))
	var group sync.WaitGroup
	for i, m := range d.Members {
		group.Go(func() {
			if s, err := p.Prober.Status(ctx, m); err == nil {
				responses[i] = &reading{member: m, status: p.withTerm(m, s)}
			}
		})
	}
	group.Wait()
	var list []reading
	for _, r := range responses {
		if r != nil {
			list = append(list, *r)
		}
	}

	return list
}

// walPosition returns how far the WAL of a member reaches. A replica that restarted may have replayed more than it has
// received since its start, so the higher offset counts.
func walPosition(s lab.MemberStatus) lab.WALPosition {
	p := s.Received
	p.Offset = max(p.Offset, s.Replayed.Offset)

	return p
}

// withTerm completes the status of a replica that isn't streaming and therefore reports no timeline. It uses the
// timeline that a gateway reported last, unless the replica's WAL is now shorter than in that report.
func (p *Promoter) withTerm(m lab.Announcement, s lab.MemberStatus) lab.MemberStatus {
	if s.InRecovery && s.Received.Term == 0 {
		last := p.state(m.Database).streamPosition(m.Member)
		if last.Offset <= walPosition(s).Offset {
			s.Received.Term = last.Term
		}
	}

	return s
}
