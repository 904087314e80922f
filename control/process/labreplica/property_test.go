package labreplica_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumlock.dev/lab/control/process/labreplica"
)

// Guards against two leaders in a term, lost or changed committed entries, stale barriers and a group that does not
// recover. The test injects message loss, duplication and reordering, partitions, crashes and membership changes. It
// derives these faults from a seed, because rapid itself prefers small values, which hardly ever cause an election.
func TestSafety(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := newSimulatedCluster(t, rapid.Uint64().Draw(t, "seed"), size, 2)
				c.late = 5

				for range rapid.IntRange(1, 150).Draw(t, "faults") {
					c.injectFault()
					c.run(time.Duration(c.random.IntN(200)) * time.Millisecond)
				}

				c.converge()
			})
		})
	}
}

func (c *simulatedCluster) injectFault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]

	switch c.random.IntN(20) {
	case 0, 1:
		c.heal()
	case 2, 3, 4:
		for _, l := range c.leading() {
			c.isolate(l, c.random.IntN(2) == 0)
		}
	case 5:
		c.isolate(n, c.random.IntN(2) == 0)
	case 6:
		c.blocked[link{n.id, c.nodes[c.random.IntN(len(c.nodes))].id}] = true
	case 7:
		c.loss, c.duplicate = c.random.IntN(40), c.random.IntN(40)
	case 8, 9:
		n.crashIn = 1 + c.random.IntN(8)
	case 10, 11:
		for _, n := range c.nodes {
			c.restart(n)
		}
	case 12:
		n.paused = !n.paused
	case 13:
		c.restartAll()
	case 14, 15:
		c.randomChange(n)
	default:
		c.proposeAndConfirm()
	}
}

func (c *simulatedCluster) restartAll() {
	for _, n := range c.nodes {
		c.crash(n)
		c.restart(n)
	}
}

// proposeAndConfirm proposes commands and requests a barrier at every node that considers itself the leader.
func (c *simulatedCluster) proposeAndConfirm() {
	for _, l := range c.leading() {
		c.propose(l, 1+c.random.IntN(20))

		if l.replica != nil {
			c.barrier(l)
		}
	}
}

func (c *simulatedCluster) randomChange(n *simulatedNode) {
	kind := labreplica.ChangeKind(1 + c.random.IntN(4))
	removes := kind == labreplica.ChangeRemove || kind == labreplica.ChangeDemote

	for _, l := range c.leading() {
		if removes && len(l.replica.Membership().Voters) <= 2 {
			continue
		}

		_, _, _ = l.replica.Change(c.now, labreplica.Change{Kind: kind, Instance: n.id})
		c.flush(l)
	}
}
