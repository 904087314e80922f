package labpromoter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const (
	// completeGroupSize is the number of members of a complete group. An unreachable member is removed only if at least
	// this many members are readable.
	completeGroupSize = 3
	// ReplaceUnreachableAfter is how long a member must be unreachable before it is removed from the group.
	ReplaceUnreachableAfter = 10 * time.Second
	// ReplaceLeavingAfter is how long a leaving member must be unreachable before it is removed from the group.
	ReplaceLeavingAfter = time.Second
)

var errNotCaughtUp = errors.New("members have not caught up yet")

// mayRemoveMember reports whether the group may have a member to remove. A dead member that is never removed would
// count forever among the members that may have acknowledged writes. Even after a new member has replaced the dead one,
// the loss of another member would then prevent a promotion.
func (p *Promoter) mayRemoveMember(d *lab.Database) bool {
	if p.WriterAppliedIndex == nil || d.Primary == "" {
		return false
	}
	if len(p.Catalog.Departing(d.Name)) > 0 {
		return true
	}
	if len(d.Members) <= completeGroupSize {
		return false
	}
	for _, m := range d.Members {
		if m.Member != d.Primary && (m.Draining || p.state(d.Name).reportedUnreachable(m.Member)) {
			return true
		}
	}

	return false
}

// removeMember takes an unreachable member out of use if the group is complete without it. A member out of use is
// departing until the other members have all writes that it may have acknowledged. Then forgetMember removes it.
func (p *Promoter) removeMember(ctx context.Context, now time.Duration, d *lab.Database) (bool, error) {
	if !p.mayRemoveMember(d) {
		return false, nil
	}
	if departing := p.Catalog.Departing(d.Name); len(departing) > 0 {
		return p.forgetMember(ctx, d, departing)
	}
	readings := map[string]reading{}
	for _, r := range p.readMembers(ctx, d) {
		readings[r.member.Member] = r
	}
	if len(readings) < completeGroupSize {
		return false, nil
	}
	for _, m := range d.Members {
		_, reachable := readings[m.Member]
		unreachable := p.state(d.Name).unreachableFor(now, m.Member, reachable)
		if m.Member == d.Primary || reachable || unreachable < ReplaceLeavingAfter || (!m.Draining && unreachable < ReplaceUnreachableAfter) {
			continue
		}
		p.Logger.Info().Str("event", "member_departed").Str("database", d.Name).Str("member", m.Member).Send()

		return p.propose(ctx, &labcatalog.Command{Departed: &labcatalog.MemberDeparted{
			Database: d.Name, Member: m.Member, BaseIndex: d.Index,
		}})
	}

	return false, nil
}

// forgetMember removes a departing member once all members in use have caught up with the primary. First the
// gateway must have stopped counting acknowledgements of the departing member. The primary's position is read after
// that, so every write that the departing member helped to acknowledge lies before this position.
func (p *Promoter) forgetMember(ctx context.Context, d *lab.Database, departing map[string]labcatalog.DepartingMember) (bool, error) {
	m, _ := d.Member(d.Primary)
	for name, x := range departing {
		if p.WriterAppliedIndex(d.Name) < x.Index {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		primary, err := p.Prober.Status(probe, m)
		cancel()
		if err != nil {
			return false, errors.Newf("read primary of %s: %w", d.Name, err)
		}
		if !p.caughtUp(ctx, d, walPosition(primary)) {
			return false, errors.Newf("forget departing member %s of %s: %w", name, d.Name, errNotCaughtUp)
		}
		p.Logger.Info().Str("event", "member_forgotten").Str("database", d.Name).Str("member", name).Send()

		return p.propose(ctx, &labcatalog.Command{Forgotten: &labcatalog.MemberForgotten{
			Database: d.Name, Member: name, BaseIndex: d.Index,
		}})
	}

	return false, nil
}

// caughtUp reports whether every member in use has the WAL up to a position of the current primary term.
func (p *Promoter) caughtUp(ctx context.Context, d *lab.Database, at lab.WALPosition) bool {
	readings := p.readMembers(ctx, d)
	for _, r := range readings {
		have := walPosition(r.status)
		follows := r.status.InRecovery || r.member.Member == d.Primary
		if !follows || have.Term != at.Term || have.Offset < at.Offset {
			return false
		}
	}

	return at.Term == d.CurrentTerm() && len(readings) == len(d.Members)
}
