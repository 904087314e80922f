package labgateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/process/labobserver"
)

// acknowledge waits until a replica has received the position. The wait ends early when the grant does, by force.
// It may last longer than the request's deadline: the write has run, and only its acknowledgement is missing.
func (t *transaction) acknowledge(position lab.WALPosition) error {
	g := t.duty.gateway

	ctx, cancel := context.WithTimeout(t.unlimited, max(t.until-g.Clock.Now(), acknowledgeWait))
	defer cancel()

	err := g.Observer.Wait(ctx, t.header.Database, func(views []labobserver.View) bool {
		return received(views, position)
	})
	if err != nil {
		return lab.UnknownOutcomeError(reason(err), errors.Newf("wait for a replica to receive %s: %w", position, err))
	}

	if !t.duty.valid(t.grant, true) {
		return lab.UnknownOutcomeError(lab.ReasonSuperseded, errSuperseded)
	}

	return nil
}

// received reports whether a replica that stays has received a position of its own term.
func received(views []labobserver.View, position lab.WALPosition) bool {
	for _, v := range views {
		if !v.Known || !v.Status.InRecovery || v.Member.Draining {
			continue
		}

		if v.Status.Received.Term == position.Term && v.Status.Received.Offset >= position.Offset {
			return true
		}
	}

	return false
}
