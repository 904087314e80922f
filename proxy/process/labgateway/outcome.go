package labgateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/proxy/connection/labupstream"
)

// notRun gives an error the outcome not run, unless it carries an outcome already.
func notRun(err error) error {
	var o *lab.OutcomeError
	if errors.As(err, &o) {
		return err
	}

	return lab.NotRunError(reason(err), err)
}

// reason classifies the cause of a failure.
func reason(err error) string {
	switch {
	case errors.Is(err, errNoLease):
		return lab.ReasonNoLease
	case errors.Is(err, errMoved):
		return lab.ReasonMisrouted
	case errors.Is(err, errNoPrimary):
		return lab.ReasonNoPrimary
	case errors.Is(err, errSuperseded), errors.Is(err, errDivergent):
		return lab.ReasonSuperseded
	case errors.Is(err, errLeaving), errors.Is(err, errDraining):
		return lab.ReasonDraining
	case errors.Is(err, labupstream.ErrMalformed), errors.Is(err, errEnded):
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
