package labconsensus

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// AddLearner lets an instance receive the log without a vote. A lost disk is replaced by a new identity: an instance
// that forgot its vote must not return under its old one.
func (g *Group) AddLearner(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "add learner", labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id})
}

// Promote makes a learner a voter, first waiting until it has caught up.
func (g *Group) Promote(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "promote", labreplica.Change{Kind: labreplica.ChangePromote, Instance: id})
}

// Remove takes a voter or learner out of the group; it fails with labreplica.ErrUnsafeChange when too few of the
// remaining voters are reachable.
func (g *Group) Remove(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "remove", labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id})
}

// change repeats while an earlier change is not committed or a learner is behind, until the context ends.
func (g *Group) change(ctx context.Context, name string, c labreplica.Change) error {
	for {
		_, err := g.submit(ctx, request{change: &c, interrupted: lab.ErrOutcomeUnknown})
		if !errors.Is(err, labreplica.ErrChangePending) && !errors.Is(err, labreplica.ErrLearnerBehind) {
			if err != nil {
				return errors.Newf("%s %s: %w", name, c.Instance, err)
			}

			return nil
		}

		if g.Clock.Sleep(ctx, g.TickInterval) != nil {
			return errors.Newf("%s %s: %w", name, c.Instance, err)
		}
	}
}
