package labgateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// asNotRun returns the error with lab.OutcomeNotRun, unless the error already carries an outcome.
func asNotRun(err error) error {
	var o *lab.OutcomeError
	if errors.As(err, &o) {
		return err
	}

	return lab.NotRunError(outcomeReason(err), err)
}

// outcomeReason maps an error to the reason that is reported for it, such as lab.ReasonNoLease for errNoLease.
func outcomeReason(err error) string {
	switch {
	case errors.Is(err, errNoLease):
		return lab.ReasonNoLease
	case errors.Is(err, errMisrouted):
		return lab.ReasonMisrouted
	case errors.Is(err, errNoPrimary):
		return lab.ReasonNoPrimary
	case errors.Is(err, errSuperseded), errors.Is(err, errDiverged):
		return lab.ReasonSuperseded
	case errors.Is(err, errMemberDraining), errors.Is(err, errGatewayDraining):
		return lab.ReasonDraining
	case errors.Is(err, labupstream.ErrMalformed), errors.Is(err, errTransactionEnded):
		return lab.ReasonRejected
	case errors.Is(err, labupstream.ErrTooLarge):
		return lab.ReasonTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		return lab.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return lab.ReasonCancelled
	}

	return lab.ReasonConnectionLost
}
