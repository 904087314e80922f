package labreplica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// Guards against lost or doubled effects of a crash at each sync and send point of a leader and of a follower.
func TestCrashAtEachPoint(t *testing.T) {
	for point := 1; point <= 40; point++ {
		for victim := range 3 {
			w := newWorld(t, uint64(point), 3, 0)
			w.waitLeader()
			w.nodes[victim].crashIn = point

			for range 4 {
				for _, l := range w.leading() {
					w.propose(l, 8)
				}
				w.run(300 * time.Millisecond)
			}

			w.converge()
		}
	}
}

// Guards against a group that does not return, or returns changed, when all instances restart at once.
func TestRestartOfAll(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newWorld(t, uint64(size), size, 0)

			for range 5 {
				w.propose(w.waitLeader(), 15)
				w.run(100 * time.Millisecond)

				w.restartAll()
			}

			w.converge()
		})
	}
}

// Guards against a follower that cannot catch up once the entries it lacks are compacted, also when appends sent
// before the isolation still fill its window.
func TestLongIsolation(t *testing.T) {
	w := newWorld(t, 17, 3, 0)
	l := w.waitLeader()
	n := w.nodes[(slices.Index(w.nodes, l)+1)%3]
	w.isolate(n, true)

	for range 50 {
		w.propose(l, 30)
		w.run(100 * time.Millisecond)
	}

	assert.Assert(t, n.applied < 10)
	w.cut = map[link]bool{}
	w.run(time.Second)
	assert.Equal(t, n.applied, w.committed)
	w.converge()
}

// Guards against a follower that is never sent again what it lost after acknowledging it, because a damaged last record
// of its journal was cut.
func TestCutTail(t *testing.T) {
	w := newWorld(t, 37, 3, 0)
	l := w.waitLeader()
	n := w.nodes[(slices.Index(w.nodes, l)+1)%3]
	w.propose(l, 10)
	w.run(100 * time.Millisecond)
	w.crash(n)
	n.entries = n.entries[:len(n.entries)-3]
	w.restart(n)
	w.run(time.Second)
	assert.Equal(t, l.replica.Leading(), true)
	assert.Equal(t, n.applied, w.committed)
	w.converge()
}

// Guards against an instance that cannot be replaced after its disk is lost, and a second loss right after the repair.
func TestLostDisk(t *testing.T) {
	w := newWorld(t, 19, 3, 2)

	for i := range 2 {
		w.propose(w.waitLeader(), 50)

		lost, next := w.nodes[i], w.nodes[3+i]
		w.crash(lost)
		lost.gone = true

		w.change(labreplica.ChangeAddLearner, next.id)
		w.change(labreplica.ChangePromote, next.id)
		w.change(labreplica.ChangeRemove, lost.id)
	}

	m := w.waitLeader().replica.Members()
	assert.Equal(t, fmt.Sprint(m), "{[j0 j1 v2] []}")
	w.converge()
}

// Guards against the removal of a reachable voter while another one is lost, which would leave no quorum.
func TestUnsafeRemoval(t *testing.T) {
	w := newWorld(t, 23, 3, 0)
	l := w.waitLeader()
	others := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n == l })

	w.crash(others[0])
	w.run(time.Second)
	_, _, err := l.replica.Change(w.now, labreplica.Change{Kind: labreplica.ChangeRemove, Instance: others[1].id})
	assert.ErrorIs(t, err, labreplica.ErrUnsafeChange)

	w.change(labreplica.ChangeRemove, others[0].id)
	w.converge()
}

// Guards against a leader that keeps leading, or a group that stays leaderless, after the leader's own removal.
func TestRemovedLeader(t *testing.T) {
	w := newWorld(t, 29, 3, 0)
	l := w.waitLeader()
	w.change(labreplica.ChangeRemove, l.id)
	assert.Assert(t, w.waitLeader() != l)
	w.converge()
}

// Guards against a snapshot put together from chunks of two leaders, which may encode the same state differently.
func TestChunksOfTwoLeaders(t *testing.T) {
	r := single(t, lab.HardState{})
	chunk := func(from lab.InstanceID, term, offset uint64, data string) labreplica.Output {
		stepAll(t, r, 100*time.Millisecond, labreplica.Message{
			Kind: labreplica.KindSnapshot, From: from, Term: term, Index: 9, LogTerm: 1,
			Chunk: &labreplica.Chunk{Offset: offset, Total: 4, Data: []byte(data)},
		})

		o := r.Output()
		r.Persisted()

		return o
	}

	assert.Equal(t, chunk("b", 2, 0, "ab").Messages[0].Chunk.Offset, uint64(2))
	assert.Equal(t, chunk("c", 3, 2, "yz").Messages[0].Chunk.Offset, uint64(0))
	chunk("c", 3, 0, "wx")
	assert.Equal(t, string(chunk("c", 3, 2, "yz").Snapshot.Data), "wxyz")
}
