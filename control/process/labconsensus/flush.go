package labconsensus

import (
	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// flush processes the replica's output until there is none left: it persists data, sends messages and applies entries.
func (g *Group) flush() error {
	for {
		o := g.replica.Output()
		if o.Empty() {
			break
		}

		g.send(o.ImmediateMessages)

		if err := g.measure("sync", func() error { return g.persist(o) }); err != nil {
			return err
		}

		g.replica.Persisted()
		g.send(o.Messages)

		if err := g.measure("apply", func() error { return g.apply(o) }); err != nil {
			return err
		}
	}

	if err := g.measure("compact", g.compact); err != nil {
		return err
	}

	g.publish()
	g.failWaiters()

	return nil
}

func (g *Group) send(messages []labreplica.Message) {
	for _, m := range messages {
		g.Send(m.To, m)
	}
}

func (g *Group) persist(o labreplica.Output) error {
	if o.State != nil {
		if err := g.Journal.SaveState(*o.State); err != nil {
			return errors.Newf("store term and vote: %w", err)
		}
	}

	if o.Snapshot != nil {
		if err := g.Journal.SaveSnapshot(*o.Snapshot); err != nil {
			return errors.Newf("store snapshot: %w", err)
		}
	}

	if len(o.Entries) > 0 {
		if err := g.Journal.Append(o.Entries); err != nil {
			return errors.Newf("store entries: %w", err)
		}
	}

	return nil
}

func (g *Group) apply(o labreplica.Output) error {
	if o.Snapshot != nil {
		if err := g.StateMachine.Restore(o.Snapshot.Data); err != nil {
			return errors.Newf("restore snapshot %d: %w", o.Snapshot.Index, err)
		}

		g.snapshotIndex = o.Snapshot.Index
	}

	for _, e := range o.Committed {
		g.applyEntry(e)
	}

	for _, b := range o.Barriers {
		g.barriers[b].complete(nil, nil)
		delete(g.barriers, b)
	}

	return nil
}

func (g *Group) applyEntry(e lab.LogEntry) {
	var value any

	if c, ok := labreplica.Command(e); ok {
		value = g.StateMachine.Apply(e.Index, c)
	}

	w, ok := g.waiters[e.Index]
	if !ok {
		return
	}

	delete(g.waiters, e.Index)

	if w.term == e.Term {
		w.complete(value, nil)
	} else {
		w.complete(nil, lab.ErrOutcomeUnknown)
	}
}

// compact stores a snapshot when enough entries have been applied since the last one.
func (g *Group) compact() error {
	if g.replica.AppliedIndex()-g.snapshotIndex < g.SnapshotEntries {
		return nil
	}

	b, err := g.StateMachine.Snapshot()
	if err != nil {
		return errors.Newf("take snapshot: %w", err)
	}

	s := g.replica.Snapshot(b)
	if err := g.Journal.SaveSnapshot(s); err != nil {
		return errors.Newf("store snapshot: %w", err)
	}

	g.replica.Compact(s)
	g.snapshotIndex = s.Index

	return nil
}

// failWaiters completes each waiting request with an error if it was accepted in a term that this instance no longer
// leads.
func (g *Group) failWaiters() {
	term := g.replica.Term()
	leads := g.replica.Leading()

	for i, w := range g.waiters {
		if !leads || w.term != term {
			w.complete(nil, lab.ErrOutcomeUnknown)
			delete(g.waiters, i)
		}
	}

	for i, w := range g.barriers {
		if !leads || w.term != term {
			w.complete(nil, lab.ErrNotLeader)
			delete(g.barriers, i)
		}
	}
}
