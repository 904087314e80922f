package labsuccession

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"laburnumlock.dev/lab"
)

const (
	// probeTimeout bounds one look at a member: a round trip between regions takes 24 ms, and a new connection keeps a
	// member's slot for 12 ms and may have to queue for it.
	probeTimeout = 400 * time.Millisecond
	// callTimeout bounds one call to the platform. An order without an answer is repeated under a higher token.
	callTimeout = 400 * time.Millisecond
	// confirmTimeout bounds the wait for an ordered member to lead, well above a promotion's 600 to 1,000 ms.
	confirmTimeout = 2500 * time.Millisecond
	pollInterval   = 40 * time.Millisecond
	// catchUpTimeout is how long a replica may take to receive what another one already has while the primary serves.
	catchUpTimeout = 600 * time.Millisecond
)

// Orders makes each order durable before it is called.
type Orders interface {
	// Order records a promotion and returns its fencing token.
	Order(ctx context.Context, service, member, former string) (uint64, error)
	// Done records that the order with the token was carried out.
	Done(ctx context.Context, service string, token uint64) error
}

// Succession replaces the primary of one service.
type Succession struct {
	Service string
	Region  string // preferred for the new primary; the former one's
	Former  lab.Announcement
	// Serves says that the former primary still serves, so that replicas can catch up with it.
	Serves   bool
	Replicas []Standing // Member and Excused are set
	// Known returns the replicas known at the moment; one that appears during the replacement receives commits too.
	Known  func() []Standing
	Dialer lab.MemberDialer
	Caller lab.PromotionClient
	Orders Orders
	Log    zerolog.Logger

	mutex sync.Mutex // guards the fields below while replicas are inspected at the same time
	links map[string]lab.MemberConnection
	term  uint64
}

var errNoCandidate = errors.New("no replica is known to hold every acknowledged commit")

// Run replaces the primary once and returns the new one. After an error nothing was decided, or an order is left
// unconfirmed, which must be followed by another one.
func (s *Succession) Run(ctx context.Context) (lab.Announcement, error) {
	s.links = map[string]lab.MemberConnection{}
	defer s.release()

	s.inspect(ctx, lab.Operation{Kind: lab.OperationStatus}, "")

	c, ok := s.choose()
	if !ok {
		return lab.Announcement{}, errNoCandidate
	}

	for {
		var err error
		if c, err = s.settle(ctx, c); err != nil {
			return lab.Announcement{}, err
		}

		if !s.stopNew(ctx) {
			break
		}
	}

	if err := s.promote(ctx, c); err != nil {
		return lab.Announcement{}, err
	}

	return c, nil
}

func (s *Succession) choose() (lab.Announcement, bool) {
	if s.Serves {
		if c, ok := Preferred(s.Replicas, s.Region); ok {
			return c, true
		}
	}

	return Choose(s.Replicas, s.Region)
}

// settle stops all replicas but the candidate from receiving and waits until the candidate has what they have. When it
// does not get there, the one with the newest log becomes the candidate.
func (s *Succession) settle(ctx context.Context, c lab.Announcement) (lab.Announcement, error) {
	pause := lab.Operation{Kind: lab.OperationPauseReplication, Term: s.term + 1}
	status := lab.Operation{Kind: lab.OperationStatus}

	s.inspect(ctx, pause, c.Member)

	if !s.readable(c.Member) {
		return lab.Announcement{}, errNoCandidate
	}

	for end := time.Now().Add(s.patience()); !Covers(s.Replicas, c.Member) && time.Now().Before(end); {
		if err := sleep(ctx, pollInterval); err != nil {
			return lab.Announcement{}, err
		}

		s.inspectOne(ctx, c.Member, status)
	}

	if Covers(s.Replicas, c.Member) {
		return c, nil
	}

	s.inspectOne(ctx, c.Member, pause)

	c, ok := Choose(s.Replicas, s.Region)
	if !ok || !Covers(s.Replicas, c.Member) {
		return lab.Announcement{}, errNoCandidate
	}

	return c, nil
}

// stopNew stops replicas from receiving that were not known before, and reports whether there were any.
func (s *Succession) stopNew(ctx context.Context) bool {
	found := false

	for _, k := range s.Known() {
		known := slices.ContainsFunc(s.Replicas, func(r Standing) bool { return r.Member.Member == k.Member.Member })
		if known {
			continue
		}

		found = true

		s.Replicas = append(s.Replicas, k)
		s.inspectOne(ctx, k.Member.Member, lab.Operation{Kind: lab.OperationPauseReplication, Term: s.term + 1})
	}

	return found
}

func (s *Succession) patience() time.Duration {
	if s.Serves {
		return catchUpTimeout
	}

	return 0
}

// readable reports whether the candidate and every replica that is not excused answered.
func (s *Succession) readable(candidate string) bool {
	for _, r := range s.Replicas {
		if !r.Readable && (!r.Excused || r.Member.Member == candidate) {
			return false
		}
	}

	return true
}

// promote calls until the candidate leads. A call without an answer may be carried out later, so each repetition has a
// token of its own, which the platform checks then.
func (s *Succession) promote(ctx context.Context, c lab.Announcement) error {
	for {
		t, err := s.Orders.Order(ctx, s.Service, c.Member, s.Former.Member)
		if err != nil {
			return errors.Newf("record order: %w", err)
		}

		err = s.call(ctx, c, t)
		s.Log.Info().Str("service", s.Service).Str("member", c.Member).Uint64("token", t).AnErr("error", err).
			Msg("promotion_ordered")

		if err == nil && s.confirm(ctx, c) {
			if err := s.Orders.Done(ctx, s.Service, t); err != nil {
				return errors.Newf("record promotion: %w", err)
			}

			return nil
		}

		if o, _ := lab.OutcomeOf(err); err != nil && o == lab.OutcomeNotRun {
			return errors.Newf("promote %s: %w", c.Member, err)
		}

		if ctx.Err() != nil {
			return errors.Newf("promote %s: %w", c.Member, ctx.Err())
		}
	}
}

func (s *Succession) call(ctx context.Context, c lab.Announcement, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return s.Caller.Promote(ctx, s.Service, c.Member, token)
}

func (s *Succession) confirm(ctx context.Context, c lab.Announcement) bool {
	for end := time.Now().Add(confirmTimeout); time.Now().Before(end); {
		if st, err := s.state(ctx, c, lab.Operation{Kind: lab.OperationStatus}); err == nil && st.Primary {
			return true
		}

		s.stopNew(ctx)

		if sleep(ctx, pollInterval) != nil {
			return false
		}
	}

	return false
}

// inspect runs an operation on all replicas but one at the same time and notes what they have received.
func (s *Succession) inspect(ctx context.Context, operation lab.Operation, except string) {
	var wait sync.WaitGroup

	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.Member.Member != except {
			wait.Go(func() { s.read(ctx, r, operation) })
		}
	}

	wait.Wait()
}

func (s *Succession) read(ctx context.Context, r *Standing, operation lab.Operation) {
	st, err := s.state(ctx, r.Member, operation)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.note(r, st, err)
}

func (s *Succession) inspectOne(ctx context.Context, member string, operation lab.Operation) {
	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.Member.Member == member {
			s.read(ctx, r, operation)
		}
	}
}

func (s *Succession) note(r *Standing, st lab.MemberState, err error) {
	r.Readable = err == nil
	if err != nil {
		s.Log.Info().Err(err).Str("service", s.Service).Str("member", r.Member.Member).Msg("replica_unreadable")

		return
	}

	r.Received = st.Received
	s.term = max(s.term, st.Term)

	s.Log.Info().Str("service", s.Service).Str("member", r.Member.Member).Bool("primary", st.Primary).
		Uint64("term", st.Term).Stringer("received", st.Received).Msg("replica_read")
}

func (s *Succession) state(ctx context.Context, m lab.Announcement, o lab.Operation) (lab.MemberState, error) {
	s.mutex.Lock()
	l := s.links[m.Member]
	s.mutex.Unlock()

	st, l, err := s.ask(ctx, m, l, o)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.links[m.Member] = l

	return st, err
}

// ask runs an operation over the link, or over a new one, which it returns.
func (s *Succession) ask(
	ctx context.Context, m lab.Announcement, l lab.MemberConnection, o lab.Operation,
) (lab.MemberState, lab.MemberConnection, error) {
	if l == nil {
		dialing, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()

		var err error
		if l, err = s.Dialer.Dial(dialing, m); err != nil {
			return lab.MemberState{}, nil, errors.Newf("connect to %s: %w", m.Member, err)
		}
	}

	st, err := s.Dialer.State(time.Now().Add(probeTimeout), l, o)
	if err != nil {
		l.Close()

		return lab.MemberState{}, nil, errors.Newf("read state of %s: %w", m.Member, err)
	}

	return st, l, nil
}

// release lets the replicas receive again and closes the links.
func (s *Succession) release() {
	for m, l := range s.links {
		if l == nil {
			continue
		}

		if _, err := l.Run(time.Now().Add(probeTimeout), lab.Operation{Kind: lab.OperationResumeReplication}); err != nil {
			s.Log.Warn().Err(err).Str("service", s.Service).Str("member", m).Msg("resume_failed")
		}

		l.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
