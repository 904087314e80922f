package labconsensus

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// AddLearner adds an instance that receives the log but does not vote. An instance that lost its disk must be added
// under a new identity, because it forgot its vote.
func (g *Group) AddLearner(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "add learner", labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id})
}

// Promote waits until a learner has caught up and makes it a voter.
func (g *Group) Promote(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "promote", labreplica.Change{Kind: labreplica.ChangePromote, Instance: id})
}

// Demote makes a voter a learner, which keeps its log. It fails with labreplica.ErrUnsafeChange when too few of the
// remaining voters are reachable. A leader that demotes itself steps down once that is committed.
func (g *Group) Demote(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "demote", labreplica.Change{Kind: labreplica.ChangeDemote, Instance: id})
}

// Remove removes a voter or learner from the group. It fails with labreplica.ErrUnsafeChange when too few of the
// remaining voters are reachable.
func (g *Group) Remove(ctx context.Context, id lab.InstanceID) error {
	return g.change(ctx, "remove", labreplica.Change{Kind: labreplica.ChangeRemove, Instance: id})
}

// change requests a membership change. While an earlier change is uncommitted or a learner has not caught up, it
// retries until the context ends.
func (g *Group) change(ctx context.Context, name string, c labreplica.Change) error {
	for {
		_, err := g.submit(ctx, request{change: &c, interruptedErr: lab.ErrOutcomeUnknown})
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
