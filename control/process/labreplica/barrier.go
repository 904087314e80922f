package labreplica

import (
	"slices"
	"time"

	"laburnumlock.dev/lab"
)

// barrier waits until a quorum has answered a round and an index is committed.
type barrier struct {
	id    uint64
	round uint64
	index uint64
}

// Barrier requests a confirmation of leadership; Output returns the identifier once a quorum has answered a message sent
// after the request and everything committed before it was handed out.
func (r *Replica) Barrier(now time.Duration) (uint64, error) {
	r.Tick(now)

	if r.role != leader {
		return 0, lab.ErrNotLeader
	}

	r.lastBarrierID++
	r.barriers = append(r.barriers, barrier{r.lastBarrierID, r.round + 1, max(r.commitIndex, r.termStart)})

	return r.lastBarrierID, nil
}

// startBarrierRound starts a round for waiting barriers unless one is under way; barriers that arrive meanwhile share the next.
func (r *Replica) startBarrierRound() {
	waiting := slices.ContainsFunc(r.barriers, func(b barrier) bool { return b.round > r.round })
	if !waiting || r.confirmedRound() < r.barrierRound {
		return
	}

	r.startHeartbeat()
	r.barrierRound = r.round
}

func (r *Replica) confirmedRound() uint64 {
	return uint64(max(0, r.quorumValue(int64(r.round), func(p *progress) int64 { return int64(p.respondedRound) })))
}

func (r *Replica) confirmBarriers() {
	done := r.confirmedRound()

	r.barriers = slices.DeleteFunc(r.barriers, func(b barrier) bool {
		ok := b.round <= done && b.index <= r.commitIndex
		if ok {
			r.confirmedBarriers = append(r.confirmedBarriers, b.id)
		}

		return ok
	})
}
