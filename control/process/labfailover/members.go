package labfailover

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

// busyDelay is the delay before an operation that a member has refused because it is busy is repeated.
const busyDelay = 20 * time.Millisecond

// runOnReplicas concurrently runs an operation on all replicas except one. Each replica responds with its state, from
// which runOnReplicas updates the elements of Replicas.
func (s *Replacement) runOnReplicas(ctx context.Context, operation lab.Operation, except string) {
	var wait sync.WaitGroup

	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.Member.Member != except && !r.SteppedDown {
			wait.Go(func() { s.runOnReplica(ctx, r, operation) })
		}
	}

	wait.Wait()
}

func (s *Replacement) runOnMember(ctx context.Context, member string, operation lab.Operation) {
	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.Member.Member == member {
			s.runOnReplica(ctx, r, operation)
		}
	}
}

func (s *Replacement) runOnReplica(ctx context.Context, r *ReplicaState, operation lab.Operation) {
	st, err := s.memberState(ctx, r.Member, operation)

	var other *lab.OtherMemberError
	if errors.As(err, &other) && other.Member != "" {
		st, err = s.succeed(ctx, r, other.Member, operation)
	}

	if err == nil && operation.Kind == lab.OperationPauseReplication && !st.Paused {
		err = errNotPaused
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.recordState(r, st, err)
}

// succeed lets the member that responds at the address of a replica take the place of the replica, whose log it has.
func (s *Replacement) succeed(
	ctx context.Context, r *ReplicaState, member string, operation lab.Operation,
) (lab.MemberState, error) {
	successor := lab.Announcement{
		Database: r.Member.Database, Member: member, Address: r.Member.Address, Region: r.Member.Region,
		AvailabilityZone: r.Member.AvailabilityZone,
	}

	st, err := s.memberState(ctx, successor, operation)
	if err != nil {
		return st, err
	}

	s.Log.Info().Str("service", s.Service).Str("member", r.Member.Member).Str("successor", member).Msg("replica_succeeded")
	s.Succeeded(r.Member)
	r.Member = successor

	return st, nil
}

func (s *Replacement) recordState(r *ReplicaState, st lab.MemberState, err error) {
	r.Readable = err == nil
	if err != nil {
		s.Log.Info().Err(err).Str("service", s.Service).Str("member", r.Member.Member).Msg("replica_unreadable")

		return
	}

	r.Received, r.Primary, r.Ordered = st.Received, st.Primary, r.Member.Member == s.Ordered
	r.Term, r.Paused, r.ReadAt = st.Term, st.Paused, s.Clock.Now()
	r.PrimaryLog = r.Former && s.PrimaryCertain && !st.Primary && !st.Received.IsZero()
	s.highestTerm = max(s.highestTerm, st.Term)

	// The log of a primary, or of its successor, can end with commits that no replica has received.
	if !st.Primary && !r.Former {
		s.Logs.RecordReplica(s.Service, r.Member.Member, st.Received)
	}

	s.Log.Info().Str("service", s.Service).Str("member", r.Member.Member).Bool("primary", st.Primary).
		Bool("paused", st.Paused).Uint64("term", st.Term).Stringer("received", st.Received).Msg("replica_read")
}

// memberState runs an operation on a member over the connection to it, or over a new connection if there is none, and
// returns the member's state.
func (s *Replacement) memberState(ctx context.Context, m lab.Announcement, o lab.Operation) (lab.MemberState, error) {
	l, ok := s.connectionTo(m.Member)
	if !ok {
		dialing, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()

		var err error
		if l, err = s.Dialer.Dial(dialing, m, ""); err != nil {
			return lab.MemberState{}, errors.Newf("connect to %s: %w", m.Member, err)
		}

		s.mutex.Lock()
		s.connections[m.Member] = l
		s.mutex.Unlock()
	}

	// An instance that has been deposed must not disturb the attempts of its successor.
	if o.Kind != lab.OperationStatus && (!s.Leading() || ctx.Err() != nil) {
		return lab.MemberState{}, errors.Newf("change state of %s: %w", m.Member, lab.ErrNotLeader)
	}

	if o.Kind == lab.OperationPauseReplication {
		s.mutex.Lock()
		s.paused[m.Member] = true // also if the response is lost
		s.mutex.Unlock()
	}

	st, err := s.state(ctx, l, o)
	if err != nil {
		s.closeConnection(m.Member)

		return lab.MemberState{}, errors.Newf("read state of %s: %w", m.Member, err)
	}

	if st.Primary {
		s.Logs.RecordLeading(s.Service, m.Member, st.Received)
	}

	return st, nil
}

func (s *Replacement) connectionTo(member string) (lab.MemberConnection, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	l, ok := s.connections[member]

	return l, ok
}

// state runs an operation and repeats it while the member is too busy to run it.
func (s *Replacement) state(ctx context.Context, l lab.MemberConnection, o lab.Operation) (lab.MemberState, error) {
	end := time.Now().Add(probeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}

	for {
		st, err := s.Dialer.State(end, l, o)
		if outcome, _ := lab.OutcomeOf(err); err == nil || outcome != lab.OutcomeNotRun || time.Now().After(end.Add(-busyDelay)) {
			return st, err
		}

		if err := sleep(ctx, busyDelay); err != nil {
			return lab.MemberState{}, err
		}
	}
}

func (s *Replacement) closeConnection(member string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if l, ok := s.connections[member]; ok {
		l.Close()
		delete(s.connections, member)
	}
}

func (s *Replacement) closeConnections() {
	for _, l := range s.connections {
		l.Close()
	}

	s.connections = map[string]lab.MemberConnection{}
}
