package labbounds

import "laburnumlock.dev/lab"

// receiver is a run of a process that passes positions on to the leader of an epoch, or is this leader.
type receiver struct {
	process     uint64
	leaderEpoch uint64
}

// Sender remembers which positions the receiver of the latest requests has learned. It is not safe for concurrent use.
type Sender struct {
	receiver receiver
	learned  map[string]lab.CommitPosition // by service
}

// Changed returns those of the positions that the receiver has not learned. Positions that are not among all any more are
// forgotten.
func (s *Sender) Changed(all []lab.AcknowledgedPosition) []lab.AcknowledgedPosition {
	var out []lab.AcknowledgedPosition

	learned := map[string]lab.CommitPosition{}

	for _, a := range all {
		p := s.learned[a.Service]
		if p != a.Position {
			out = append(out, a)
		}

		learned[a.Service] = p
	}

	s.learned = learned

	return out
}

// RecordResponse records that a request with the positions was answered by the process in the leader epoch. Another
// process has not received what was sent before, and neither has the leader of another epoch.
func (s *Sender) RecordResponse(process, leaderEpoch uint64, sent []lab.AcknowledgedPosition) {
	r := receiver{process, leaderEpoch}
	if s.receiver != r {
		s.receiver, s.learned = r, map[string]lab.CommitPosition{}

		return
	}

	for _, a := range sent {
		s.learned[a.Service] = a.Position
	}
}

// Reset forgets what the receiver has learned, since the next request may go to another one.
func (s *Sender) Reset() {
	s.receiver, s.learned = receiver{}, map[string]lab.CommitPosition{}
}
