package labpromoter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const (
	// replicated is the number of members of a complete group; a further one makes an unreachable one replaceable.
	replicated = 3
	// DepartAfter is how long a member must be unreachable before its replacement takes its place.
	DepartAfter = 10 * time.Second
	// LeaveAfter is the same for a member that announced that it leaves.
	LeaveAfter = time.Second
)

var errBehind = errors.New("members have not caught up yet")

// tending reports whether a member may have to be replaced. Without this a dead member would count for ever among
// those that may have acknowledged writes, and the loss of a second one right after the repair would stop promotion.
func (p *Promoter) tending(d *lab.Database) bool {
	if p.Confirmed == nil || d.Primary == "" {
		return false
	}
	if len(p.Catalog.Departing(d.Name)) > 0 {
		return true
	}
	if len(d.Members) <= replicated {
		return false
	}
	for _, m := range d.Members {
		if m.Member != d.Primary && (m.Draining || p.watch(d.Name).anyLost(m.Member)) {
			return true
		}
	}

	return false
}

// tend takes an unreachable member out of use when the group is complete without it, and forgets it when the others
// have all that it may have acknowledged.
func (p *Promoter) tend(ctx context.Context, now time.Duration, d *lab.Database) (bool, error) {
	if !p.tending(d) {
		return false, nil
	}
	if departing := p.Catalog.Departing(d.Name); len(departing) > 0 {
		return p.forget(ctx, d, departing)
	}
	readings := map[string]reading{}
	for _, r := range p.read(ctx, d) {
		readings[r.member.Member] = r
	}
	if len(readings) < replicated {
		return false, nil
	}
	for _, m := range d.Members {
		_, reachable := readings[m.Member]
		absent := p.watch(d.Name).absence(now, m.Member, reachable)
		if m.Member == d.Primary || reachable || absent < LeaveAfter || (!m.Draining && absent < DepartAfter) {
			continue
		}
		p.Logger.Info().Str("event", "member_departed").Str("database", d.Name).Str("member", m.Member).Send()

		return p.propose(ctx, &labcatalog.Command{Departed: &labcatalog.MemberDeparted{
			Database: d.Name, Member: m.Member, BaseIndex: d.Index,
		}})
	}

	return false, nil
}

// forget compares all members with a position of the primary that was read after its gateway stopped counting on the
// departing member; everything that it helped to acknowledge lies before.
func (p *Promoter) forget(ctx context.Context, d *lab.Database, departing map[string]labcatalog.Departing) (bool, error) {
	m, _ := d.Member(d.Primary)
	for name, x := range departing {
		if p.Confirmed(d.Name) < x.Index {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		primary, err := p.Prober.Status(probe, m)
		cancel()
		if err != nil {
			return false, errors.Newf("read primary of %s: %w", d.Name, err)
		}
		if !p.caughtUp(ctx, d, position(primary)) {
			return false, errors.Newf("forget %s of %s: %w", name, d.Name, errBehind)
		}
		p.Logger.Info().Str("event", "member_forgotten").Str("database", d.Name).Str("member", name).Send()

		return p.propose(ctx, &labcatalog.Command{Forgotten: &labcatalog.MemberForgotten{
			Database: d.Name, Member: name, BaseIndex: d.Index,
		}})
	}

	return false, nil
}

// caughtUp reports whether every member in use has the log up to a position of the term in force.
func (p *Promoter) caughtUp(ctx context.Context, d *lab.Database, at lab.WALPosition) bool {
	readings := p.read(ctx, d)
	for _, r := range readings {
		have := position(r.status)
		follows := r.status.InRecovery || r.member.Member == d.Primary
		if !follows || have.Term != at.Term || have.Offset < at.Offset {
			return false
		}
	}

	return at.Term == d.CurrentTerm() && len(readings) == len(d.Members)
}
