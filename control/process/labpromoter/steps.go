package labpromoter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// The reasons for a promotion.
const (
	reasonLost      = "lost"      // the gateway can't connect to the primary
	reasonSuspected = "suspected" // the gateway hasn't reported on the primary, and control can't connect to it
	reasonLeaving   = "leaving"   // the primary announced that it is leaving
	reasonRetired   = "retired"   // another process uses the primary's address now
)

// reason returns why the primary should be replaced, or an empty string if it should not.
func (p *Promoter) reason(now time.Duration, d *lab.Database) string {
	w := p.state(d.Name)
	if d.Primary == "" || w.coolingDown(now) {
		return ""
	}
	m, known := d.Member(d.Primary)
	if !known {
		return reasonRetired
	}
	// Only the gateway in the primary's region counts. Gateways of other regions may lose their connections to the
	// primary without any effect on writes.
	g, _ := d.Placement(m.Region)
	if _, lost := w.reportedUnreachableSince(d.Primary, g.Instance); lost {
		return reasonLost
	}
	if w.isSuspected() {
		return reasonSuspected
	}
	if m.Draining && hasSuccessor(d) {
		return reasonLeaving
	}

	return ""
}

func hasSuccessor(d *lab.Database) bool {
	for _, m := range d.Members {
		if m.Member != d.Primary && !m.Draining {
			return true
		}
	}

	return false
}

// start commits the start of a promotion once its reason is confirmed. This ends the writes of the current primary
// term. Without a reason for a promotion, it calls removeMember.
func (p *Promoter) start(ctx context.Context, now time.Duration, d *lab.Database) (bool, error) {
	reason := p.reason(now, d)
	switch reason {
	case "":
		return p.removeMember(ctx, now, d)
	case reasonLost:
		if !p.lossConfirmed(ctx, now, d) {
			return false, nil
		}
	case reasonSuspected:
		if !p.state(d.Name).recordPrimaryProbe(now, p.reachable(ctx, d)) {
			return false, nil
		}
	case reasonLeaving:
		if len(p.readMembers(ctx, d)) < requiredReadings(d, d.Primary, len(p.Catalog.Departing(d.Name))) {
			return false, errors.Newf("replace leaving primary of %s: %w", d.Name, errTooFewReadings)
		}
	}
	p.Logger.Info().Str("event", "promotion_started").Str("database", d.Name).Str("old_primary", d.Primary).
		Uint32("term", uint32(d.CurrentTerm()+1)).Str("reason", reason).Send()
	p.state(d.Name).promotionStart(now)

	return p.propose(ctx, &labcatalog.Command{Started: &labcatalog.PromotionStarted{
		Database: d.Name, Term: d.CurrentTerm() + 1, Primary: d.Primary, Reason: reason,
	}})
}

// lossConfirmed reports whether the primary is reported as unreachable and either control can't reach it or the report
// has lasted for ReachableLossDelay.
func (p *Promoter) lossConfirmed(ctx context.Context, now time.Duration, d *lab.Database) bool {
	m, _ := d.Member(d.Primary)
	g, _ := d.Placement(m.Region)
	since, lost := p.state(d.Name).reportedUnreachableSince(d.Primary, g.Instance)

	return lost && (now-since >= ReachableLossDelay || !p.reachable(ctx, d))
}

// reachable reports whether control can connect to the primary and finds it in the current primary term, not in
// recovery.
func (p *Promoter) reachable(ctx context.Context, d *lab.Database) bool {
	m, _ := d.Member(d.Primary)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, err := p.Prober.Status(ctx, m)

	return err == nil && !s.InRecovery && s.Received.Term == d.CurrentTerm()
}

// choose commits the choice of the most advanced member, or reinstates the old primary, once no proxy can write in the
// old primary term.
func (p *Promoter) choose(ctx context.Context, now time.Duration, d *lab.Database, r labcatalog.Promotion) (bool, error) {
	begun := p.state(d.Name).promotionStart(now)
	if !p.WritesEnded(d.Name) {
		return false, nil
	}
	readings := p.readMembers(ctx, d)
	best, v := selectCandidate(d, r, readings, len(p.Catalog.Departing(d.Name)), now-begun < CatchUpTimeout)
	switch v {
	case decisionWait:
		return false, errors.Newf("choose primary of %s, %d of %d members readable: %w",
			d.Name, len(readings), len(d.Members), errTooFewReadings)
	case decisionCatchUp:
		return false, nil
	case decisionReinstate:
		p.Logger.Info().Str("event", "promotion_cancelled").Str("database", d.Name).Str("primary", best.member.Member).Send()
		p.state(d.Name).finishPromotion(best.member.Member, now+ReinstatementCooldown)

		return p.propose(ctx, &labcatalog.Command{Cancelled: &labcatalog.PromotionCancelled{
			Database: d.Name, Term: r.Term, Primary: best.member.Member,
		}})
	case decisionPromote:
	}
	p.Logger.Info().Str("event", "promotion_chosen").Str("database", d.Name).Str("member", best.member.Member).
		Stringer("position", walPosition(best.status)).Send()
	p.state(d.Name).chosenUnreachableFor(0, false)

	return p.propose(ctx, &labcatalog.Command{Chosen: &labcatalog.PromotionChosen{
		Database: d.Name, Term: r.Term, Member: best.member.Member, Incarnation: best.member.Incarnation,
		Position: walPosition(best.status), BaseChoiceIndex: r.ChoiceIndex,
	}})
}

// promote promotes the chosen member and commits the primary term that it reports.
func (p *Promoter) promote(ctx context.Context, now time.Duration, d *lab.Database, r labcatalog.Promotion) (bool, error) {
	m, known := d.Member(r.Chosen)
	if !known {
		return p.choose(ctx, now, d, r)
	}
	needsNew, err := p.needsNewChoice(ctx, d, m, r)
	if needsNew {
		return p.choose(ctx, now, d, r)
	}
	if err != nil {
		if p.state(d.Name).chosenUnreachableFor(now, true) >= RechooseAfter {
			return p.choose(ctx, now, d, r)
		}

		return false, err
	}
	if err := p.confirmChoice(ctx, d.Name, r); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, PromoteTimeout)
	defer cancel()
	s, err := p.Prober.Promote(ctx, m)
	if err != nil {
		return false, errors.Newf("promote %s of %s: %w", m.Member, d.Name, err)
	}
	if s.InRecovery || s.Received.Term < r.Term {
		return false, errors.Newf("promote %s of %s to term %d: it is at %s: %w", m.Member, d.Name, r.Term, s.Received, errNoNewTerm)
	}
	p.Logger.Info().Str("event", "term_started").Str("database", d.Name).Str("primary", m.Member).
		Uint32("term", uint32(s.Received.Term)).Stringer("switch_point", s.Replayed).Send()
	p.state(d.Name).finishPromotion(m.Member, 0)

	return p.propose(ctx, &labcatalog.Command{Term: &labcatalog.TermStarted{
		Database: d.Name, Term: s.Received.Term, Offset: s.Replayed.Offset, Primary: m.Member, ChoiceIndex: r.ChoiceIndex,
	}})
}

// confirmChoice returns an error unless this instance is still the leader and the choice is still current. Without this
// check, an instance that resumes after another one became the leader would promote a second member, which would then
// have to be rebuilt.
func (p *Promoter) confirmChoice(ctx context.Context, database string, r labcatalog.Promotion) error {
	if err := p.Barrier(ctx); err != nil {
		return errors.Newf("confirm choice for %s: %w", database, err)
	}
	if now, running := p.Catalog.Promotion(database); !running || now.ChoiceIndex != r.ChoiceIndex {
		return errors.Newf("choice of %s for %s was replaced: %w", r.Chosen, database, labcatalog.ErrInvalidStep)
	}

	return nil
}

// needsNewChoice probes the chosen member and reports whether another member must be chosen because the data of the
// chosen one was replaced.
func (p *Promoter) needsNewChoice(ctx context.Context, d *lab.Database, m lab.Announcement, r labcatalog.Promotion) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, err := p.Prober.Status(ctx, m)
	if err != nil {
		return false, errors.Newf("read chosen member %s of %s: %w", m.Member, d.Name, err)
	}
	s = p.withTerm(m, s)
	if !s.InRecovery {
		return s.Received.Term < r.Term, nil
	}

	return walPosition(s).Offset < r.Position.Offset, nil
}
