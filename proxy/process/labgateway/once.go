package labgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// reserve records the request's name before dispatch. For a repeated one it returns the transaction that answers.
func (t *transaction) reserve(ctx context.Context) (lab.Transaction, error) {
	if t.header.IdempotencyKey == "" {
		return nil, nil //nolint:nilnil // not named, not repeated
	}

	g := t.duty.gateway
	if g.Once == nil {
		return nil, lab.NotRunError(lab.ReasonNoRegistry, errors.New("no registry for request names"))
	}

	retention := defaultRetention

	if o, found := g.Routes.Organisation(t.header.Organisation); found && o.Parameters.IdempotencyRetentionMS > 0 {
		retention = time.Duration(o.Parameters.IdempotencyRetentionMS) * time.Millisecond
	}

	record, err := g.Once.Reserve(ctx, t.header.Organisation, t.header.Database, t.header.IdempotencyKey, retention)
	if err != nil {
		return nil, notRun(errors.Newf("reserve request name: %w", err))
	}

	switch record.State {
	case lab.IdempotencyNew, lab.IdempotencyNotRun:
		t.named = true

		return nil, nil //nolint:nilnil // not repeated
	case lab.IdempotencyDone:
		return &repeated{tag: record.CommandTag, position: t.currentPosition(ctx)}, nil
	case lab.IdempotencyPending:
	}

	return nil, lab.UnknownOutcomeError(lab.ReasonDuplicate, errors.New("the request name was used before and its outcome is not known"))
}

// currentPosition reads the primary's position, which covers the write of a repeated request.
func (t *transaction) currentPosition(ctx context.Context) lab.WALPosition {
	database, found := t.duty.gateway.Routes.Database(t.header.Database)
	if !found {
		return lab.WALPosition{}
	}

	p, found := t.duty.pool(database.Primary)
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

// resolve stores the outcome of the request's name, if it is known.
func (t *transaction) resolve(outcome lab.IdempotencyState) {
	if !t.named || outcome == lab.IdempotencyPending {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), resolveWait)
	defer cancel()

	g := t.duty.gateway
	record := lab.IdempotencyRecord{State: outcome, CommandTag: t.tag}

	if err := g.Once.Resolve(ctx, t.header.Organisation, t.header.Database, t.header.IdempotencyKey, record); err != nil {
		g.Logger.Warn().Err(err).Str("database", t.header.Database).Uint64("request_id", t.header.RequestID).
			Msg("request name not resolved")
	}
}
