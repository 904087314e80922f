package labplatformcontrol

import (
	"context"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/version/labgroupstate"
)

// orderLog records the steps of one replacement in the replicated log of the control group.
type orderLog struct {
	controller *Controller
	token      uint64 // fencing token of the newest order that the replacement rests on, 0 for none
	term       uint64 // consensus term in which the replacement began, 0 for any: its steps rest on each other
}

func (o *orderLog) Begin(ctx context.Context, service string) (bool, error) {
	state := o.controller.participation().state
	if state.AttemptOpen(service) {
		if err := o.controller.participation().group.Barrier(ctx); err != nil {
			return false, err
		}
	}

	// The barrier may have brought the end of an attempt.
	open := state.AttemptOpen(service)
	if !open {
		c := labgroupstate.Command{Attempt: &labgroupstate.Attempt{Service: service, Open: true}}
		if _, err := o.controller.proposeInTerm(ctx, o.term, c); err != nil {
			return false, err
		}
	}

	if p, _ := state.Promotion(service); p.Token != o.token {
		return open, labgroupstate.ErrSuperseded
	}

	return open, nil
}

func (o *orderLog) Order(
	ctx context.Context, service string, member lab.Announcement, former string, bound lab.CommitPosition,
) (uint64, error) {
	v, err := o.controller.proposeInTerm(ctx, o.term, labgroupstate.Command{Order: &labgroupstate.Order{
		Service: service, Member: member.Member, Address: member.Address, FormerPrimary: former, Bound: bound,
		After: o.token, Conditional: true,
	}})
	if err != nil {
		return 0, err
	}

	switch t := v.(type) {
	case uint64:
		o.token = t

		return t, nil
	case error:
		return 0, errors.Newf("record order: %w", t)
	default:
		return 0, errors.Newf("promotion order was not recorded: unexpected result %v", v)
	}
}

func (o *orderLog) Refused(ctx context.Context, service string, token uint64) error {
	_, err := o.controller.proposeInTerm(ctx, o.term, labgroupstate.Command{
		OrderRefused: &labgroupstate.OrderRefused{Service: service, Token: token},
	})

	return err
}

func (o *orderLog) Confirm(ctx context.Context, service string, token uint64, answered bool) error {
	v, err := o.controller.proposeInTerm(ctx, o.term, labgroupstate.Command{
		OrderConfirmed: &labgroupstate.OrderConfirmed{Service: service, Token: token, Answered: answered},
	})
	if err != nil {
		return err
	}

	if v != true {
		return labgroupstate.ErrSuperseded
	}

	o.controller.openService(service, true)

	return nil
}

func (o *orderLog) Open(service string) []string {
	var out []string

	for _, p := range o.controller.participation().state.OpenOrders(service) {
		out = append(out, p.Member)
	}

	return out
}

func (o *orderLog) End(ctx context.Context, service string) error {
	_, err := o.controller.proposeInTerm(ctx, o.term, labgroupstate.Command{Attempt: &labgroupstate.Attempt{Service: service}})

	return err
}
