package labtypedsession

import (
	"context"

	"laburnumlock.dev/lab"
)

// quotaDetail is the detail of the result of an operation that the organisation's quota doesn't allow.
const quotaDetail = "quota"

func quotaRefusal() lab.OperationResult {
	return fault(lab.FaultBusy, quotaDetail)
}

// takeToken takes the token that the operation needs before anything of it is sent to a member. It returns false if the
// organisation's quota allows no operation now.
func (a *attempt) takeToken() bool {
	s := a.session
	if s.Quota == nil || s.organisation.Rate <= 0 {
		return true
	}

	ctx, cancel := context.WithDeadline(context.Background(), a.deadline)
	defer cancel()

	token, err := s.Quota.Take(ctx, s.organisation)
	if err != nil {
		a.refused = true

		s.Counters.QuotaRefusals.Add(1)

		return false
	}

	a.token = token

	return true
}

// endToken gives the token back if nothing was sent to a member. Otherwise it is spent.
func (a *attempt) endToken() {
	if a.token != (lab.QuotaToken{}) {
		a.session.Quota.End(a.token, a.sent)
		a.token = lab.QuotaToken{}
	}
}

// recordSent records that operations may have been sent to a member, given the error of the try. A gateway that refuses to
// run them has sent nothing.
func (a *attempt) recordSent(err error) {
	o, reason := lab.OutcomeOf(err)
	refused := err != nil && o == lab.OutcomeNotRun &&
		(reason == lab.ReasonOverload || reason == lab.ReasonMisrouted || reason == lab.ReasonEjected)

	a.sent = a.sent || !refused
}
