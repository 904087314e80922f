package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reserveKey records the request's name before dispatch. For a repeated one it returns the transaction that answers.
func (t *transaction) reserveKey(ctx context.Context) (lab.Transaction, error) {
	if t.header.OnceName == "" {
		return nil, nil //nolint:nilnil // not named, not repeated
	}

	g := t.role.gateway
	if g.IdempotencyRegistry == nil {
		return nil, lab.NotRun(lab.ReasonNoRegistry, errors.New("no registry for request names"))
	}

	retention := defaultKeyRetention

	if o, found := g.Catalog.Organisation(t.header.Organisation); found && o.Parameters.OnceRetentionMS > 0 {
		retention = time.Duration(o.Parameters.OnceRetentionMS) * time.Millisecond
	}

	record, err := g.IdempotencyRegistry.Reserve(ctx, t.header.Organisation, t.header.Database, t.header.OnceName, retention)
	if err != nil {
		return nil, asNotRun(errors.Newf("reserve request name: %w", err))
	}

	switch record.State {
	case lab.OnceNew, lab.OnceNotRun:
		t.keyReserved = true

		return nil, nil //nolint:nilnil // not repeated
	case lab.OnceDone:
		return &duplicate{tag: record.Tag, position: t.currentPosition(ctx)}, nil
	case lab.OncePending:
	}

	return nil, lab.Unknown(lab.ReasonRepeated, errors.New("the request name was used before and its outcome is not known"))
}

// currentPosition reads the primary's position, which covers the write of a repeated request.
func (t *transaction) currentPosition(ctx context.Context) lab.Position {
	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found {
		return lab.Position{}
	}

	p, found := t.role.pool(database.Primary)
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

// resolveKey stores the outcome of the request's name, if it is known.
func (t *transaction) resolveKey(outcome lab.OnceState) {
	if !t.keyReserved || outcome == lab.OncePending {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()

	g := t.role.gateway
	record := lab.OnceRecord{State: outcome, Tag: t.lastTag}

	if err := g.IdempotencyRegistry.Resolve(ctx, t.header.Organisation, t.header.Database, t.header.OnceName, record); err != nil {
		g.Logger.Warn().Err(err).Str("database", t.header.Database).Uint64("request_id", t.header.RequestID).
			Msg("request name not resolved")
	}
}
