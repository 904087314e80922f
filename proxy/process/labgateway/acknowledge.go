package labgateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

// waitForReplica waits until a replica has received the position. The wait ends early when the transaction is
// terminated, for example because its grant has ended. The wait may exceed the request's deadline, because the write
// has already run and only its acknowledgement is missing.
func (t *transaction) waitForReplica(position lab.WALPosition) error {
	g := t.role.gateway

	ctx, cancel := context.WithTimeout(t.batchContext, max(t.batchDeadline-g.Clock.Now(), minAcknowledgeTimeout))
	defer cancel()

	err := g.Observer.Wait(ctx, t.header.Database, func(views []labobserver.View) bool {
		return receivedByReplica(views, position)
	})
	if err != nil {
		return lab.UnknownOutcomeError(outcomeReason(err), errors.Newf("wait for a replica to receive %s: %w", position, err))
	}

	if !t.role.grantValid(t.grant, true) {
		return lab.UnknownOutcomeError(lab.ReasonSuperseded, errSuperseded)
	}

	return nil
}

// receivedByReplica reports whether any replica in the term of the position has received the position. Draining
// replicas do not count.
func receivedByReplica(views []labobserver.View, position lab.WALPosition) bool {
	for _, v := range views {
		if !v.PositionKnown || !v.Status.InRecovery || v.Member.Draining {
			continue
		}

		if v.Status.Received.Term == position.Term && v.Status.Received.Offset >= position.Offset {
			return true
		}
	}

	return false
}
