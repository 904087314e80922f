package labslope

import (
	"context"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

const controlID lab.InstanceID = "control"

// localLog is a replicated log without other replicas. It applies each command immediately and is always the leader.
type localLog struct {
	catalog *labcatalog.Catalog
	index   uint64 // index of the last applied command
}

func (l *localLog) Propose(_ context.Context, command []byte) (any, error) {
	l.index++

	return l.catalog.Apply(l.index, command), nil
}

func (l *localLog) Barrier(context.Context) error { return nil }

func (l *localLog) Leadership() lab.Leadership {
	return lab.Leadership{Leader: controlID, IsLeader: true, Term: 1}
}
