package labfailover

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// settleTime is how long after a call to the platform an earlier call may still take effect: longer than a promotion, which
// takes 600 to 1,000 ms.
const settleTime = 1500 * time.Millisecond

// promote orders the promotion until the candidate is the primary and no other open order can depose it. An order that gets
// no response may be executed later, so each repetition has a new, higher token, which lets the platform reject the earlier
// ones.
func (s *Replacement) promote(ctx context.Context, c lab.Announcement, received lab.CommitPosition) error {
	for {
		s.logEvidence(c, received)

		t, err := s.recordOrder(ctx, c)
		if err != nil {
			return errors.Newf("promote %s: %w", c.Member, err)
		}

		s.PrimaryCertain = false // the ordered member may lead from now on
		s.endStepDowns(func(r ReplicaState) bool { return r.Member.Member == c.Member })
		err = s.orderPromotion(ctx, c, t)
		answered, answeredAt := err == nil, s.Clock.Now()
		s.Log.Info().Str("service", s.Service).Str("member", c.Member).Uint64("token", t).Stringer("received", received).
			Strs("open", s.Orders.Open(s.Service)).AnErr("error", err).Msg("promotion_ordered")

		confirmed := false

		switch {
		case answered:
			confirmed, err = s.confirmPrimary(ctx, c)
		case refused(err):
			s.recordRefused(ctx, t)
		case !errors.Is(err, errOvertaken):
			confirmed = s.leads(ctx, c)
		}

		if confirmed && s.othersOpen(c) {
			confirmed, err = s.settle(ctx, c, answered, answeredAt)
		}

		if confirmed {
			return s.recordConfirmed(ctx, c, t, received, answered)
		}

		if err := s.afterOrder(ctx, c, err); err != nil {
			return errors.Newf("promote %s: %w", c.Member, err)
		}
	}
}

// refused reports whether the platform has finally refused an order.
func refused(err error) bool {
	o, _ := lab.OutcomeOf(err)

	return err != nil && o == lab.OutcomeNotRun
}

func (s *Replacement) recordRefused(ctx context.Context, token uint64) {
	if err := s.Orders.Refused(ctx, s.Service, token); err != nil {
		s.Log.Info().Err(err).Str("service", s.Service).Uint64("token", token).Msg("refused_order_left_open")
	}
}

func (s *Replacement) recordConfirmed(
	ctx context.Context, c lab.Announcement, token uint64, received lab.CommitPosition, answered bool,
) error {
	// Commits that an earlier term had beyond the log of the primary are rolled back.
	if received.Term < s.leadingAt.Term {
		received.Number = min(received.Number, s.leadingAt.Number)
	}

	s.Logs.RecordPromotion(s.Service, c.Member, received, s.highestTerm)

	if err := s.Orders.Confirm(ctx, s.Service, token, answered); err != nil {
		return errors.Newf("record confirmed promotion: %w", err)
	}

	s.Log.Info().Str("service", s.Service).Str("member", c.Member).Uint64("token", token).Bool("answered", answered).
		Msg("promotion_confirmed")

	s.OrderPending, s.finished = false, true

	return nil
}

// othersOpen reports whether an order for a member other than the candidate is open.
func (s *Replacement) othersOpen(c lab.Announcement) bool {
	return slices.ContainsFunc(s.Orders.Open(s.Service), func(m string) bool { return m != c.Member })
}

// settle waits until no order that the platform carried out before the given answer can take effect any more. The answer
// itself excludes those that it has not carried out. settle returns errDeposed if the candidate doesn't lead then.
func (s *Replacement) settle(ctx context.Context, c lab.Announcement, answered bool, answeredAt time.Duration) (bool, error) {
	if !answered {
		return false, nil
	}

	if err := sleep(ctx, settleTime-(s.Clock.Now()-answeredAt)); err != nil {
		return false, err
	}

	if !s.leads(ctx, c) {
		return false, errDeposed
	}

	return true, nil
}

// leads reports whether a member says that it is the primary.
func (s *Replacement) leads(ctx context.Context, c lab.Announcement) bool {
	st, err := s.memberState(ctx, c, lab.Operation{Kind: lab.OperationStatus})
	if err != nil || !st.Primary {
		return false
	}

	s.highestTerm = max(s.highestTerm, st.Term)
	s.leadingAt = st.Received

	return true
}

// recordOrder records an order in the replicated log, and checks at the same time that what was read before still holds.
func (s *Replacement) recordOrder(ctx context.Context, c lab.Announcement) (uint64, error) {
	var (
		token uint64
		err   error
		wait  sync.WaitGroup
	)

	bound := s.Logs.Bound(s.Service).Position
	if s.GivenUp && !s.staying {
		bound = receivedBy(s.Replicas, c.Member) // the commits beyond it are given up
	}

	wait.Go(func() { token, err = s.Orders.Order(ctx, s.Service, c, s.FormerPrimary.Member, bound) })

	s.verifiedAt = 0
	found := s.pauseAgain(ctx, c.Member)

	wait.Wait()

	if err != nil {
		return 0, errors.Newf("record order: %w", err)
	}

	if s.pauseAgain(ctx, c.Member) || found || !s.holds(ctx, c) {
		s.recordRefused(ctx, token) // it is never sent

		return 0, errOvertaken
	}

	return token, nil
}

// holds reports whether what an order rests on still holds.
func (s *Replacement) holds(ctx context.Context, c lab.Announcement) bool {
	if s.staying {
		return s.leads(ctx, c)
	}

	_, err := s.checkBound(c)

	return err == nil && s.hasNewestLog(c.Member) && (s.GivenUp || Complete(s.Replicas))
}

// afterOrder records that an order is unconfirmed. It returns an error unless the order is to be repeated.
func (s *Replacement) afterOrder(ctx context.Context, c lab.Announcement, err error) error {
	if !refused(err) {
		s.OrderPending, s.Ordered = true, c.Member

		for i := range s.Replicas {
			s.Replicas[i].PrimaryLog = false
		}
	}

	switch {
	case refused(err) || errors.Is(err, errOvertaken) || errors.Is(err, errDeposed):
		return err
	case ctx.Err() != nil:
		return ctx.Err()
	case s.overtaken(ctx, c):
		return errOvertaken
	}

	return sleep(ctx, pollInterval)
}

// logEvidence logs what an order is based on: the lower bound, and each replica with its last position and its age.
func (s *Replacement) logEvidence(c lab.Announcement, received lab.CommitPosition) {
	b := s.Logs.Bound(s.Service)
	s.Log.Info().Str("service", s.Service).Str("candidate", c.Member).Stringer("received", received).
		Stringer("bound", b.Position).Str("bound_source", b.Source).Str("former", s.FormerPrimary.Member).
		Bool("primary_serving", s.PrimaryServing).Bool("order_pending", s.OrderPending).Bool("given_up", s.GivenUp).
		Bool("stays_primary", s.staying).Msg("promotion_evidence")

	for _, r := range s.Replicas {
		s.Log.Info().Str("service", s.Service).Str("member", r.Member.Member).Str("address", r.Member.Address).
			Uint64("incarnation", r.Member.Incarnation).Bool("readable", r.Readable).
			Bool("paused", r.Paused).Bool("primary", r.Primary).Bool("former", r.Former).Bool("primary_log", r.PrimaryLog).
			Stringer("received", r.Received).Dur("read_ago", s.Clock.Now()-r.ReadAt).Msg("replica_counted")
	}
}

// orderPromotion sends an order to the platform, and watches the replicas meanwhile. It returns errOvertaken, without
// waiting for a response, if a replica has more commits.
func (s *Replacement) orderPromotion(ctx context.Context, c lab.Announcement, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	done := make(chan error, 1)

	go func() { done <- s.PromotionClient.Promote(ctx, s.Service, c.Member, token) }()

	for {
		select {
		case err := <-done:
			return err
		case <-time.After(pollInterval):
		}

		if s.overtaken(ctx, c) {
			return errOvertaken
		}
	}
}

// confirmPrimary waits until the ordered member is the primary and reports whether it is. It returns errOvertaken if a
// replica has more commits meanwhile: a newer order for that replica may still come in time.
func (s *Replacement) confirmPrimary(ctx context.Context, c lab.Announcement) (bool, error) {
	for end := time.Now().Add(confirmTimeout); time.Now().Before(end); {
		if s.leads(ctx, c) {
			return true, nil
		}

		if s.overtaken(ctx, c) {
			return false, errOvertaken
		}

		s.stopPrimary(ctx, c)

		if sleep(ctx, pollInterval) != nil {
			return false, nil
		}
	}

	return false, nil
}

// overtaken pauses replicas that have appeared, have started again or receive again, and reports whether one of them has
// more commits than the ordered member. A former primary that can still be reached is made a replica then, so that no more
// commits are acknowledged until the order takes effect.
func (s *Replacement) overtaken(ctx context.Context, c lab.Announcement) bool {
	if !s.pauseAgain(ctx, c.Member) {
		return false
	}

	st, err := s.memberState(ctx, s.FormerPrimary, lab.Operation{Kind: lab.OperationStatus})
	if err == nil && st.Primary && s.FormerPrimary.Member != c.Member {
		if err := s.stepDownPrimary(ctx, st); err != nil {
			s.Log.Warn().Err(err).Str("service", s.Service).Str("member", s.FormerPrimary.Member).Msg("step_down_failed")
		}
	}

	s.runOnMember(ctx, c.Member, lab.Operation{Kind: lab.OperationStatus})

	return !s.hasNewestLog(c.Member)
}

// stopPrimary makes a former primary that was lost, and can be reached again before the order takes effect, a replica. It
// doesn't wait for the member, which in most cases doesn't respond.
func (s *Replacement) stopPrimary(ctx context.Context, c lab.Announcement) {
	p := s.FormerPrimary
	if s.staying || s.PrimaryServing || p.Member == "" || p.Member == c.Member || s.Clock.Now()-s.stoppedAt < verifyInterval {
		return
	}

	s.stoppedAt = s.Clock.Now()
	term := s.pauseTerm

	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()

		l, err := s.Dialer.Dial(ctx, p, "")
		if err != nil {
			return
		}
		defer l.Close()

		st, err := s.state(ctx, l, lab.Operation{Kind: lab.OperationStatus})
		if err != nil || !st.Primary {
			return
		}

		if !s.Leading() || ctx.Err() != nil {
			return
		}

		_, err = s.state(ctx, l, lab.Operation{Kind: lab.OperationStepDown, Term: term})
		s.Log.Info().Err(err).Str("service", s.Service).Str("member", p.Member).Msg("lost_primary_stopped")
	}()
}
