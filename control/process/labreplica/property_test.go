package labreplica_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumlock.dev/lab/control/process/labreplica"
)

// Guards against two leaders in a term, lost or changed committed entries, stale barriers and a group that does not
// recover, under loss, duplication, reordering, partitions, crashes and membership changes. The disturbances are drawn
// from the seed, since rapid's own draws prefer small values and then hardly ever force an election.
func TestSafety(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, rapid.Uint64().Draw(t, "seed"), size, 2)
				w.stray = 5

				for range rapid.IntRange(1, 150).Draw(t, "disturbances") {
					w.disturb()
					w.run(time.Duration(w.random.IntN(200)) * time.Millisecond)
				}

				w.converge()
			})
		})
	}
}

func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]

	switch w.random.IntN(20) {
	case 0, 1:
		w.heal()
	case 2, 3, 4:
		for _, l := range w.leading() {
			w.isolate(l, w.random.IntN(2) == 0)
		}
	case 5:
		w.isolate(n, w.random.IntN(2) == 0)
	case 6:
		w.cut[link{n.id, w.nodes[w.random.IntN(len(w.nodes))].id}] = true
	case 7:
		w.loss, w.duplicate = w.random.IntN(40), w.random.IntN(40)
	case 8, 9:
		n.crashIn = 1 + w.random.IntN(8)
	case 10, 11:
		for _, n := range w.nodes {
			w.restart(n)
		}
	case 12:
		n.paused = !n.paused
	case 13:
		w.restartAll()
	case 14, 15:
		w.randomChange(n)
	default:
		w.use()
	}
}

func (w *world) restartAll() {
	for _, n := range w.nodes {
		w.crash(n)
		w.restart(n)
	}
}

// use proposes and reads at every node that considers itself leader.
func (w *world) use() {
	for _, l := range w.leading() {
		w.propose(l, 1+w.random.IntN(20))

		if l.replica != nil {
			w.barrier(l)
		}
	}
}

func (w *world) randomChange(n *node) {
	kind := labreplica.ChangeKind(1 + w.random.IntN(3))

	for _, l := range w.leading() {
		if kind == labreplica.ChangeRemove && len(l.replica.Members().Voters) <= 2 {
			continue
		}

		_, _, _ = l.replica.Change(w.now, labreplica.Change{Kind: kind, Instance: n.id})
		w.flush(l)
	}
}
