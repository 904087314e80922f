package labpromoter

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// Errors of steps that are retried later.
var (
	errTooFewReadings = errors.New("too few readable members follow the term history")
	// errNoNewTerm means that the promoted member didn't know the current primary term and reused its timeline number.
	// The member has to be rebuilt.
	errNoNewTerm = errors.New("promoted member did not start a new primary term")
	errAmbiguous = errors.New("readable members don't agree on one primary")
)

// bootstrap starts the first primary term. The primary is the only readable member that is not in recovery.
func (p *Promoter) bootstrap(ctx context.Context, d *lab.Database) (bool, error) {
	if len(d.Members) < 2 {
		return false, nil
	}
	readings := p.readMembers(ctx, d)
	if len(readings) < 2 {
		return false, errors.Newf("bootstrap %s: %d of %d members are readable: %w", d.Name, len(readings), len(d.Members), errTooFewReadings)
	}
	var primary *reading
	for i, r := range readings {
		if r.status.InRecovery {
			continue
		}
		if primary != nil {
			return false, errors.Newf("bootstrap %s: %s and %s are both not in recovery: %w",
				d.Name, primary.member.Member, r.member.Member, errAmbiguous)
		}
		primary = &readings[i]
	}
	if primary == nil {
		return false, errors.Newf("bootstrap %s: all readable members are in recovery: %w", d.Name, errAmbiguous)
	}
	for _, r := range readings {
		if r.status.Received.Term > primary.status.Received.Term {
			return false, errors.Newf("bootstrap %s: %s is in a later term than the primary: %w",
				d.Name, r.member.Member, errAmbiguous)
		}
	}
	p.Logger.Info().Str("event", "first_term").Str("database", d.Name).Str("primary", primary.member.Member).
		Uint32("term", uint32(primary.status.Received.Term)).Send()

	return p.propose(ctx, &labcatalog.Command{Term: &labcatalog.TermStarted{
		Database: d.Name, Term: primary.status.Received.Term, Primary: primary.member.Member,
	}})
}
