package labfailover

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"laburnumlock.dev/lab"
)

const (
	// verifyInterval is the interval at which paused replicas are asked whether they still are, and unreadable ones are
	// tried again. A replica that starts again closes its connection, which is noticed at once.
	verifyInterval = 200 * time.Millisecond
	// verifyTimeout bounds such a request.
	verifyTimeout = 200 * time.Millisecond
)

// pauseAgain pauses replicas that were not known before, that have started again or that receive again. It reports whether
// a replica other than the candidate may have received commits.
func (s *Replacement) pauseAgain(ctx context.Context, candidate string) bool {
	if s.staying {
		return false
	}

	s.endSupersededStepDowns()

	found := s.updateReplicas(candidate)
	found = s.forgetRestarted() || found
	found = s.verifyPauses(ctx, candidate) || found

	for i := range s.Replicas {
		if r := &s.Replicas[i]; r.Member.Member != candidate && !r.SteppedDown && !r.Primary && r.Readable && !r.Paused {
			found = true

			s.runOnReplica(ctx, r, lab.Operation{Kind: lab.OperationPauseReplication, Term: s.pauseTerm})
		}
	}

	return found
}

// verifyPauses asks the replicas that should be paused for their state, and tries again to read those that are needed. It
// reports whether a replica is no longer paused, or can be read again.
func (s *Replacement) verifyPauses(ctx context.Context, candidate string) bool {
	if s.Clock.Now()-s.verifiedAt < verifyInterval || slices.ContainsFunc(s.Replicas, func(r ReplicaState) bool { return r.PrimaryLog }) {
		return false
	}

	s.verifiedAt = s.Clock.Now()

	var (
		wait    sync.WaitGroup
		changed atomic.Bool
	)

	for i := range s.Replicas {
		r := &s.Replicas[i]

		switch {
		case r.Member.Member == candidate || r.Primary || r.SteppedDown:
		case r.Readable:
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
				defer cancel()

				s.runOnReplica(ctx, r, lab.Operation{Kind: lab.OperationStatus})

				if !r.Readable || !r.Paused {
					changed.Store(true)
				}
			})
		default:
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
				defer cancel()

				s.runOnReplica(ctx, r, lab.Operation{Kind: lab.OperationPauseReplication, Term: s.pauseTerm})

				if r.Readable {
					changed.Store(true)
				}
			})
		}
	}

	wait.Wait()

	return changed.Load()
}

// updateReplicas adds the replicas that have become known, in place of those whose address they have taken over.
func (s *Replacement) updateReplicas(candidate string) bool {
	found := false

	for _, k := range s.CurrentReplicas() {
		i := slices.IndexFunc(s.Replicas, func(r ReplicaState) bool { return r.Member.Member == k.Member.Member })
		if k.Member.Member == candidate || k.Member.Member == s.FormerPrimary.Member ||
			(i >= 0 && s.Replicas[i].Member.Incarnation >= k.Member.Incarnation) {
			continue
		}

		// A member that has not announced itself may have been succeeded by the one that has been read at the address.
		if k.Member.Incarnation == 0 && s.hasAddress(k.Member.Address) {
			continue
		}

		found = true

		s.closeConnection(k.Member.Member)

		s.Replicas = slices.DeleteFunc(s.Replicas, func(r ReplicaState) bool {
			return r.Member.Member == k.Member.Member ||
				(r.Member.Address != "" && r.Member.Address == k.Member.Address && !r.SteppedDown)
		})
		k.Readable = true // so that it is paused next
		s.Replicas = append(s.Replicas, k)
	}

	return found
}

func (s *Replacement) hasAddress(address string) bool {
	return slices.ContainsFunc(s.Replicas, func(r ReplicaState) bool { return r.Member.Address == address })
}

// forgetRestarted forgets that replicas are paused, and that the former primary has stepped down, if the connection is
// lost: the member may have started again.
func (s *Replacement) forgetRestarted() bool {
	found := false

	for i := range s.Replicas {
		if r := &s.Replicas[i]; s.connectionLost(*r) {
			found = true
			r.Paused = false

			s.closeConnection(r.Member.Member)
		}
	}

	s.Replicas = slices.DeleteFunc(s.Replicas, func(r ReplicaState) bool { return r.SteppedDown && s.connectionLost(r) })

	return found
}

func (s *Replacement) connectionLost(r ReplicaState) bool {
	l, ok := s.connectionTo(r.Member.Member)

	return r.Readable && (r.Paused || r.SteppedDown) && (!ok || !l.Alive())
}

func (s *Replacement) removeReplica(member string) {
	s.Replicas = slices.DeleteFunc(s.Replicas, func(r ReplicaState) bool { return r.Member.Member == member })
}

// missing returns the names of the replicas that can't be read.
func missing(replicas []ReplicaState) string {
	var out []string

	for _, r := range replicas {
		if !r.Readable {
			out = append(out, r.Member.Member)
		}
	}

	return strings.Join(out, ", ")
}

// resumeCandidate lets the candidate receive again if it is paused. What the former primary still acknowledges is then in
// the candidate's log.
func (s *Replacement) resumeCandidate(c lab.Announcement) {
	l, ok := s.connectionTo(c.Member)
	if !ok || !s.paused[c.Member] || c.Member == s.FormerPrimary.Member || !s.Leading() {
		return
	}

	if err := s.resume(l); err != nil {
		s.Log.Info().Err(err).Str("service", s.Service).Str("member", c.Member).Msg("candidate_left_paused")

		return
	}

	delete(s.paused, c.Member)
}

// end ends the attempt: it resumes the replicas, unless an order may still be executed, and closes the connections.
func (s *Replacement) end(ctx context.Context) {
	defer s.closeConnections()

	if s.OrderPending || !s.Leading() {
		s.Log.Info().Str("service", s.Service).Bool("order_pending", s.OrderPending).Msg("replicas_left_paused")

		return
	}

	for _, m := range slices.Sorted(maps.Keys(s.connections)) { // in a fixed order, so that a model sees the same each time
		l := s.connections[m]
		if m == s.FormerPrimary.Member && !s.paused[m] {
			continue
		}

		err := s.resume(l)
		if err == nil {
			delete(s.paused, m)
		}

		s.Log.Info().Err(err).Str("service", s.Service).Str("member", m).Msg("replica_resumed")
	}

	// An attempt without success stays open until there is no more reason for one, and one after that until every replica
	// has been read.
	if !s.finished || len(s.paused) > 0 || (s.unfinished && missing(s.Replicas) != "") {
		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()

	if err := s.Orders.End(ctx, s.Service); err != nil {
		s.Log.Info().Err(err).Str("service", s.Service).Msg("attempt_left_open")
	}
}

// resume lets a replica receive again. A member that is too busy is asked again.
func (s *Replacement) resume(l lab.MemberConnection) error {
	for end := time.Now().Add(probeTimeout); ; time.Sleep(busyDelay) {
		r, err := l.Run(end, lab.Operation{Kind: lab.OperationResumeReplication})

		switch {
		case err != nil:
			return errors.Newf("resume replica: %w", err)
		case r[0].Fault == lab.FaultNone:
			return nil
		case r[0].Fault != lab.FaultBusy || time.Now().After(end.Add(-busyDelay)):
			return errors.Newf("resume replica: %s %s", r[0].Fault, r[0].Detail)
		}
	}
}
