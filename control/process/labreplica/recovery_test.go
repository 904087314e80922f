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

// Guards against entries that are lost or applied twice because a leader or a follower crashes before or after it
// persists data or sends messages.
func TestCrashAtEachPoint(t *testing.T) {
	for point := 1; point <= 40; point++ {
		for crashing := range 3 {
			c := newSimulatedCluster(t, uint64(point), 3, 0)
			c.waitLeader()
			c.nodes[crashing].crashIn = point

			for range 4 {
				for _, l := range c.leading() {
					c.propose(l, 8)
				}
				c.run(300 * time.Millisecond)
			}

			c.converge()
		}
	}
}

// Guards against a group that does not recover, or changes its state, when all instances restart at once.
func TestRestartOfAll(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newSimulatedCluster(t, uint64(size), size, 0)

			for range 5 {
				c.propose(c.waitLeader(), 15)
				c.run(100 * time.Millisecond)

				c.restartAll()
			}

			c.converge()
		})
	}
}

// Guards against a follower that cannot catch up once the leader has compacted the entries that it lacks. The window of
// the follower may still be filled by appends that were sent before it was isolated.
func TestLongIsolation(t *testing.T) {
	c := newSimulatedCluster(t, 17, 3, 0)
	l := c.waitLeader()
	n := c.nodes[(slices.Index(c.nodes, l)+1)%3]
	c.isolate(n, true)

	for range 50 {
		c.propose(l, 30)
		c.run(100 * time.Millisecond)
	}

	assert.Assert(t, n.applied < 10)
	c.blocked = map[link]bool{}
	c.run(time.Second)
	assert.Equal(t, n.applied, c.committed)
	c.converge()
}

// Guards against a leader that does not resend entries that a follower acknowledged and then lost, because the damaged
// last record of its journal was truncated.
func TestTruncatedJournal(t *testing.T) {
	c := newSimulatedCluster(t, 37, 3, 0)
	l := c.waitLeader()
	n := c.nodes[(slices.Index(c.nodes, l)+1)%3]
	c.propose(l, 10)
	c.run(100 * time.Millisecond)
	c.crash(n)
	n.entries = n.entries[:len(n.entries)-3]
	c.restart(n)
	c.run(time.Second)
	assert.Equal(t, l.replica.Leading(), true)
	assert.Equal(t, n.applied, c.committed)
	c.converge()
}

// Guards against an instance that cannot be replaced after it lost its disk. A second instance loses its disk right
// after the replacement.
func TestLostDisk(t *testing.T) {
	c := newSimulatedCluster(t, 19, 3, 2)

	for i := range 2 {
		c.propose(c.waitLeader(), 50)

		lost, next := c.nodes[i], c.nodes[3+i]
		c.crash(lost)
		lost.diskLost = true

		c.change(labreplica.ChangeAddLearner, next.id)
		c.change(labreplica.ChangePromote, next.id)
		c.change(labreplica.ChangeRemove, lost.id)
	}

	m := c.waitLeader().replica.Membership()
	assert.Equal(t, fmt.Sprint(m.Voters, m.Learners), "[j0 j1 v2] []")
	c.converge()
}

// Guards against the removal of a reachable voter while another voter is unreachable, which would leave no quorum.
func TestUnsafeRemoval(t *testing.T) {
	c := newSimulatedCluster(t, 23, 3, 0)
	l := c.waitLeader()
	others := slices.DeleteFunc(slices.Clone(c.nodes), func(n *simulatedNode) bool { return n == l })

	c.crash(others[0])
	c.run(time.Second)
	_, _, err := l.replica.Change(c.now, labreplica.Change{Kind: labreplica.ChangeRemove, Instance: others[1].id})
	assert.ErrorIs(t, err, labreplica.ErrUnsafeChange)

	c.change(labreplica.ChangeRemove, others[0].id)
	c.converge()
}

// Guards against a leader that does not step down after its own removal, or a group that then elects no leader.
func TestRemovedLeader(t *testing.T) {
	c := newSimulatedCluster(t, 29, 3, 0)
	l := c.waitLeader()
	c.change(labreplica.ChangeRemove, l.id)
	assert.Assert(t, c.waitLeader() != l)
	c.converge()
}

// Guards against a demoted leader that does not step down or can't be promoted again, and against a snapshot or a restart that
// loses when an instance joined.
func TestDemotedLeader(t *testing.T) {
	c := newSimulatedCluster(t, 37, 3, 1)
	l := c.waitLeader()
	c.change(labreplica.ChangeAddLearner, "j0")
	c.change(labreplica.ChangePromote, "j0")

	_, _, err := l.replica.Change(c.now, labreplica.Change{Kind: labreplica.ChangeDemote, Instance: l.id})
	assert.NilError(t, err)
	assert.Equal(t, len(l.replica.CaughtUpLearners()), 0)
	c.flush(l)
	c.run(time.Second)
	assert.Assert(t, c.waitLeader() != l)

	for range 5 {
		c.propose(c.waitLeader(), 60)
		c.run(time.Second)
	}

	c.restartAll()
	c.converge()

	for _, n := range c.nodes {
		m := n.replica.Membership()
		assert.Assert(t, m.Learner(l.id) && m.Voter("j0") && m.Joined["j0"] > 0, "%s: %v", n.id, m)
	}

	c.change(labreplica.ChangePromote, l.id)
	c.converge()
}

// Guards against a snapshot that is combined from chunks of two leaders, which may encode the same state differently.
func TestChunksOfTwoLeaders(t *testing.T) {
	r := newReplica(t, lab.HardState{})
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
