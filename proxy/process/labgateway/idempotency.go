package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reserveKey records the request's idempotency key before the request is sent. For a duplicate of a request that has
// run, it returns a transaction that responds with the recorded outcome.
func (t *transaction) reserveKey(ctx context.Context) (lab.Transaction, error) {
	if t.header.OnceName == "" {
		return nil, nil //nolint:nilnil // no idempotency key
	}

	g := t.role.gateway
	if g.IdempotencyRegistry == nil {
		return nil, lab.NotRun(lab.ReasonNoRegistry, errors.New("no idempotency registry is configured"))
	}

	retention := defaultKeyRetention

	if o, found := g.Catalog.Organisation(t.header.Organisation); found && o.Parameters.OnceRetentionMS > 0 {
		retention = time.Duration(o.Parameters.OnceRetentionMS) * time.Millisecond
	}

	record, err := g.IdempotencyRegistry.Reserve(
		ctx, t.header.Organisation, t.header.Database, t.header.OnceName, retention)
	if err != nil {
		return nil, asNotRun(errors.Newf("reserve idempotency key: %w", err))
	}

	switch record.State {
	case lab.OnceNew, lab.OnceNotRun:
		t.keyReserved = true

		return nil, nil //nolint:nilnil // not a duplicate
	case lab.OnceDone:
		return &duplicate{tag: record.Tag, position: t.currentPosition(ctx)}, nil
	case lab.OncePending:
	}

	return nil, lab.Unknown(lab.ReasonRepeated,
		errors.New("an earlier request with this idempotency key has an unknown outcome"))
}

// currentPosition reads the primary's current position, which covers the write of the request that ran before.
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

// resolveKey stores the outcome of the request's idempotency key, if the outcome is known.
func (t *transaction) resolveKey(outcome lab.OnceState) {
	if !t.keyReserved || outcome == lab.OncePending {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()

	g := t.role.gateway
	record := lab.OnceRecord{State: outcome, Tag: t.lastTag}

	if err := g.IdempotencyRegistry.Resolve(
		ctx, t.header.Organisation, t.header.Database, t.header.OnceName, record); err != nil {
		g.Logger.Warn().Err(err).Str("database", t.header.Database).Uint64("request_id", t.header.RequestID).
			Msg("could not store the outcome of an idempotency key")
	}
}
