package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reserve records the request's name before dispatch. For a repeated one it returns the transaction that answers.
func (t *transaction) reserve(ctx context.Context) (lab.Transaction, error) {
	if t.header.OnceName == "" {
		return nil, nil //nolint:nilnil // not named, not repeated
	}

	g := t.duty.gateway
	if g.Once == nil {
		return nil, lab.NotRun(lab.ReasonNoRegistry, errors.New("no registry for request names"))
	}

	retention := defaultRetention

	if o, found := g.Routes.Organisation(t.header.Organisation); found && o.Parameters.OnceRetentionMS > 0 {
		retention = time.Duration(o.Parameters.OnceRetentionMS) * time.Millisecond
	}

	record, err := g.Once.Reserve(ctx, t.header.Organisation, t.header.Database, t.header.OnceName, retention)
	if err != nil {
		return nil, notRun(errors.Newf("reserve request name: %w", err))
	}

	switch record.State {
	case lab.OnceNew, lab.OnceNotRun:
		t.named = true

		return nil, nil //nolint:nilnil // not repeated
	case lab.OnceDone:
		return &repeated{tag: record.Tag, position: t.currentPosition(ctx)}, nil
	case lab.OncePending:
	}

	return nil, lab.Unknown(lab.ReasonRepeated, errors.New("the request name was used before and its outcome is not known"))
}

// currentPosition reads the primary's position, which covers the write of a repeated request.
func (t *transaction) currentPosition(ctx context.Context) lab.Position {
	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found {
		return lab.Position{}
	}

	p, found := t.duty.pool(database.Primary)
	if !found {
		return lab.Position{}
	}

	conn, err := p.get(ctx, true)
	if err != nil {
		return lab.Position{}
	}

	defer p.put(conn)

	position, err := conn.Probe(ctx)
	if err != nil || position.InRecovery {
		return lab.Position{}
	}

	return position.Replayed
}

// resolve stores the outcome of the request's name, if it is known.
func (t *transaction) resolve(outcome lab.OnceState) {
	if !t.named || outcome == lab.OncePending {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), resolveWait)
	defer cancel()

	g := t.duty.gateway
	record := lab.OnceRecord{State: outcome, Tag: t.tag}

	if err := g.Once.Resolve(ctx, t.header.Organisation, t.header.Database, t.header.OnceName, record); err != nil {
		g.Logger.Warn().Err(err).Str("database", t.header.Database).Uint64("request_id", t.header.RequestID).
			Msg("request name not resolved")
	}
}
