package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reserveKey records the request's idempotency key before the request is sent. If an earlier request
// with the same key has run, it returns a transaction that responds with the recorded command tag.
func (t *transaction) reserveKey(ctx context.Context) (lab.Transaction, error) {
	if t.header.IdempotencyKey == "" {
		return nil, nil //nolint:nilnil // no idempotency key
	}

	g := t.role.gateway
	if g.IdempotencyRegistry == nil {
		return nil, lab.NotRunError(lab.ReasonNoRegistry, errors.New("no idempotency registry is configured"))
	}

	retention := defaultKeyRetention

	if o, found := g.Catalog.Organisation(t.header.Organisation); found && o.Parameters.IdempotencyRetentionMS > 0 {
		retention = time.Duration(o.Parameters.IdempotencyRetentionMS) * time.Millisecond
	}

	record, err := g.IdempotencyRegistry.Reserve(
		ctx, t.header.Organisation, t.header.Database, t.header.IdempotencyKey, retention)
	if err != nil {
		return nil, asNotRun(errors.Newf("reserve idempotency key: %w", err))
	}

	switch record.State {
	case lab.IdempotencyNew, lab.IdempotencyNotRun:
		t.keyReserved = true

		return nil, nil //nolint:nilnil // not a duplicate
	case lab.IdempotencyDone:
		return &duplicate{tag: record.CommandTag, position: t.currentPosition(ctx)}, nil
	case lab.IdempotencyPending:
	}

	return nil, lab.UnknownOutcomeError(lab.ReasonDuplicate,
		errors.New("an earlier request with this idempotency key has an unknown outcome"))
}

// currentPosition reads the primary's current position. It covers what the earlier request with the same key wrote.
func (t *transaction) currentPosition(ctx context.Context) lab.WALPosition {
	database, found := t.role.gateway.Catalog.Database(t.header.Database)
	if !found {
		return lab.WALPosition{}
	}

	p, found := t.role.pool(database.Primary)
	if !found {
		return lab.WALPosition{}
	}

	conn, err := p.get(ctx, true)
	if err != nil {
		return lab.WALPosition{}
	}

	defer p.put(conn)

	position, err := conn.Probe(ctx)
	if err != nil || position.InRecovery {
		return lab.WALPosition{}
	}

	return position.Replayed
}

// resolveKey stores the outcome of the request under its idempotency key, if the outcome is known.
func (t *transaction) resolveKey(outcome lab.IdempotencyState) {
	if !t.keyReserved || outcome == lab.IdempotencyPending {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()

	g := t.role.gateway
	record := lab.IdempotencyRecord{State: outcome, CommandTag: t.lastTag}

	if err := g.IdempotencyRegistry.Resolve(
		ctx, t.header.Organisation, t.header.Database, t.header.IdempotencyKey, record); err != nil {
		g.Logger.Warn().Err(err).Str("database", t.header.Database).Uint64("request_id", t.header.RequestID).
			Msg("could not store the outcome of an idempotency key")
	}
}
