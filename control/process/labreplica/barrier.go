package labreplica

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// barrier is a pending request to confirm that this replica is still the leader.
type barrier struct {
	id    uint64
	round uint64 // heartbeat round that a quorum must respond to
	index uint64 // log index that must be committed before the confirmation
}

// Barrier requests a confirmation that this replica is still the leader and returns the barrier's identifier. Output
// reports the identifier once a quorum has responded to a message that was sent after this call. By then, Output has
// also returned every entry that was committed before this call.
func (r *Replica) Barrier(now time.Duration) (uint64, error) {
	r.Tick(now)

	if r.role != leader {
		return 0, lab.ErrNotLeader
	}

	r.lastBarrierID++
	r.barriers = append(r.barriers, barrier{r.lastBarrierID, r.round + 1, max(r.commitIndex, r.termStart)})

	return r.lastBarrierID, nil
}

// startBarrierRound starts a heartbeat round for the pending barriers unless an earlier barrier round is still
// unconfirmed. Barriers that are requested during a round share the next one.
func (r *Replica) startBarrierRound() {
	pending := slices.ContainsFunc(r.barriers, func(b barrier) bool { return b.round > r.round })
	if !pending || r.confirmedRound() < r.barrierRound {
		return
	}

	r.startHeartbeat()
	r.barrierRound = r.round
}

// confirmedRound returns the latest heartbeat round that a quorum has responded to.
func (r *Replica) confirmedRound() uint64 {
	return uint64(max(0, r.quorumValue(int64(r.round), func(p *progress) int64 { return int64(p.respondedRound) })))
}

func (r *Replica) confirmBarriers() {
	confirmedRound := r.confirmedRound()

	r.barriers = slices.DeleteFunc(r.barriers, func(b barrier) bool {
		confirmed := b.round <= confirmedRound && b.index <= r.commitIndex
		if confirmed {
			r.confirmedBarriers = append(r.confirmedBarriers, b.id)
		}

		return confirmed
	})
}
