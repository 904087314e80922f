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

	r.barrierID++
	r.barriers = append(r.barriers, barrier{r.barrierID, r.round + 1, max(r.commit, r.termStart)})

	return r.barrierID, nil
}

// startRound starts a round for waiting barriers unless one is under way; barriers that arrive meanwhile share the next.
func (r *Replica) startRound() {
	waiting := slices.ContainsFunc(r.barriers, func(b barrier) bool { return b.round > r.round })
	if !waiting || r.confirmedRound() < r.asked {
		return
	}

	r.startBeat()
	r.asked = r.round
}

func (r *Replica) confirmedRound() uint64 {
	return uint64(max(0, r.quorumOf(int64(r.round), func(p *progress) int64 { return int64(p.round) })))
}

func (r *Replica) confirmBarriers() {
	done := r.confirmedRound()

	r.barriers = slices.DeleteFunc(r.barriers, func(b barrier) bool {
		ok := b.round <= done && b.index <= r.commit
		if ok {
			r.confirmed = append(r.confirmed, b.id)
		}

		return ok
	})
}
