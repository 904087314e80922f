package labreplica_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const step = 5 * time.Millisecond

var crcTable = crc64.MakeTable(crc64.ECMA)

// simulatedNode is one instance: a replica, its persisted data, and a state machine that hashes the applied entries.
type simulatedNode struct {
	id                lab.InstanceID
	replica           *labreplica.Replica // nil while crashed
	state             lab.HardState
	snapshot          lab.LogSnapshot
	entries           []lab.LogEntry
	crashIn           int               // number of crash points until the node crashes; 0 for no crash
	paused            bool              // the node processes nothing but keeps its state
	diskLost          bool              // the persisted data is lost, so the node can't restart
	applied           uint64            // index of the last applied entry
	hash              uint64            // state of the state machine: the hash of all applied entries
	snapshotIndex     uint64            // index of the last snapshot
	barrierIndexes    map[uint64]uint64 // index that must be applied when a barrier is confirmed, by barrier identifier
	confirmedBarriers int               // number of confirmed barriers
}

type link struct{ from, to lab.InstanceID }

type scheduledMessage struct {
	deliverAt time.Duration
	message   labreplica.Message
}

// simulatedCluster runs nodes in a simulated network with a simulated clock. It checks the safety properties at every
// step.
type simulatedCluster struct {
	t               assert.TestingT
	random          *rand.Rand
	now             time.Duration
	nodes           []*simulatedNode
	queue           []scheduledMessage
	blocked         map[link]bool             // links that drop all messages
	loss            int                       // percent of messages that are lost
	duplicate       int                       // percent of messages that are duplicated
	delay           time.Duration             // maximum delay of a message that is not late
	late            int                       // percent of messages that are late, that is, delayed by up to a second
	leaders         map[uint64]lab.InstanceID // leader of each term
	hashes          map[uint64]uint64         // hash of the state machine after each committed entry, by index
	committed       uint64                    // highest index that any node has applied
	snapshotEntries uint64                    // applied entries between snapshots
	commands        uint64                    // number of proposed commands
}

func newSimulatedCluster(t assert.TestingT, seed uint64, size, joiners int) *simulatedCluster {
	c := &simulatedCluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), blocked: map[link]bool{}, delay: 20 * time.Millisecond,
		leaders: map[uint64]lab.InstanceID{}, hashes: map[uint64]uint64{0: 0}, snapshotEntries: 20,
	}

	voters := make([]lab.InstanceID, size)
	for i := range size + joiners {
		n := &simulatedNode{id: lab.InstanceID(fmt.Sprint("j", i-size))}
		if i < size {
			n.id = lab.InstanceID(fmt.Sprint("v", i))
			n.snapshot.Voters = voters
			voters[i] = n.id
		}

		c.nodes = append(c.nodes, n)
	}

	for _, n := range c.nodes {
		c.restart(n)
	}

	return c
}

func (c *simulatedCluster) node(id lab.InstanceID) *simulatedNode {
	return c.nodes[slices.IndexFunc(c.nodes, func(n *simulatedNode) bool { return n.id == id })]
}

func (c *simulatedCluster) restart(n *simulatedNode) {
	if n.replica != nil || n.diskLost {
		return
	}

	n.replica = &labreplica.Replica{
		ID: n.id, Random: c.random, BatchBytes: 64, ChunkBytes: 5, Window: 4, TrailingEntries: 5, MaxPromotionLag: 5,
	}
	n.crashIn, n.paused, n.barrierIndexes = 0, false, map[uint64]uint64{}
	c.restore(n, n.snapshot)
	assert.NilError(c.t, n.replica.Start(c.now, n.state, n.snapshot, slices.Clone(n.entries)))
}

func (c *simulatedCluster) crash(n *simulatedNode) { n.replica = nil }

func (c *simulatedCluster) restore(n *simulatedNode, s lab.LogSnapshot) {
	n.applied, n.snapshotIndex, n.hash = s.Index, s.Index, 0
	if s.Index > 0 {
		n.hash = binary.BigEndian.Uint64(s.Data)
		assert.Equal(c.t, n.hash, c.hashes[s.Index], "%s: snapshot %d differs from what was committed", n.id, s.Index)
	}
}

// crashPoint crashes the node if this is the crash point that crashIn selects, and reports whether the node still runs.
func (c *simulatedCluster) crashPoint(n *simulatedNode) bool {
	if n.crashIn > 0 {
		if n.crashIn--; n.crashIn == 0 {
			c.crash(n)
		}
	}

	return n.replica != nil
}

// flush persists, sends and applies the node's output until there is none left or the node crashes.
func (c *simulatedCluster) flush(n *simulatedNode) {
	for n.replica != nil {
		o := n.replica.Output()
		if o.Empty() {
			c.observe(n)

			return
		}

		if !c.send(n, o.ImmediateMessages) || !c.persist(n, o) {
			return
		}

		n.replica.Persisted()

		if c.send(n, o.Messages) {
			c.apply(n, o)
		}
	}
}

func (c *simulatedCluster) send(n *simulatedNode, messages []labreplica.Message) bool {
	for _, m := range messages {
		if c.blocked[link{m.From, m.To}] || c.random.IntN(100) < c.loss {
			continue
		}

		for range 1 + c.random.IntN(100)/(100-c.duplicate) {
			d := c.delay
			if c.random.IntN(100) < c.late {
				d = time.Second
			}
			c.queue = append(c.queue, scheduledMessage{c.now + time.Duration(c.random.Int64N(int64(d))), m})
		}
	}

	return len(messages) == 0 || c.crashPoint(n)
}

// persist writes an output to the node's disk, with a crash point before and after each write. It reports whether the
// node still runs.
func (c *simulatedCluster) persist(n *simulatedNode, o labreplica.Output) bool {
	if o.State != nil && c.crashPoint(n) {
		n.state = *o.State
	}

	if o.Snapshot != nil && c.crashPoint(n) {
		c.saveSnapshot(n, *o.Snapshot)
	}

	if len(o.Entries) > 0 && c.crashPoint(n) {
		k := o.Entries[0].Index - n.snapshot.Index - 1
		n.entries = append(n.entries[:k:k], o.Entries...)
	}

	return c.crashPoint(n)
}

func (c *simulatedCluster) saveSnapshot(n *simulatedNode, s lab.LogSnapshot) {
	var kept []lab.LogEntry

	for i, e := range n.entries {
		if e.Index == s.Index && e.Term == s.Term {
			kept = slices.Clone(n.entries[i+1:])
		}
	}

	n.snapshot, n.entries = s, kept
}

func (c *simulatedCluster) apply(n *simulatedNode, o labreplica.Output) {
	if o.Snapshot != nil {
		c.restore(n, *o.Snapshot)
	}

	for _, e := range o.Committed {
		c.applyEntry(n, e)
	}

	for _, b := range o.Barriers {
		n.confirmedBarriers++
		assert.Assert(c.t, n.applied >= n.barrierIndexes[b],
			"%s: barrier confirmed at %d below %d", n.id, n.applied, n.barrierIndexes[b])
	}

	if n.applied-n.snapshotIndex >= c.snapshotEntries {
		s := n.replica.Snapshot(binary.BigEndian.AppendUint64(nil, n.hash))
		if c.crashPoint(n) {
			c.saveSnapshot(n, s)
			n.replica.Compact(s)
			n.snapshotIndex = n.applied
		}
	}
}

func (c *simulatedCluster) applyEntry(n *simulatedNode, e lab.LogEntry) {
	assert.Equal(c.t, e.Index, n.applied+1)
	n.applied = e.Index
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, n.hash), e.Term)
	n.hash = crc64.Checksum(append(b, e.Data...), crcTable)

	h, ok := c.hashes[e.Index]
	assert.Assert(c.t, !ok || h == n.hash, "%s: committed entry %d was changed", n.id, e.Index)

	c.hashes[e.Index] = n.hash
	c.committed = max(c.committed, e.Index)
}

// observe checks that each term has only one leader.
func (c *simulatedCluster) observe(n *simulatedNode) {
	if !n.replica.Leading() {
		return
	}

	if l, ok := c.leaders[n.replica.Term()]; ok {
		assert.Equal(c.t, l, n.id, "two leaders in term %d", n.replica.Term())
	}

	c.leaders[n.replica.Term()] = n.id
}

func (c *simulatedCluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += step
		c.deliver()

		for _, n := range c.nodes {
			if n.replica != nil && !n.paused {
				n.replica.Tick(c.now)
				c.flush(n)
			}
		}
	}
}

func (c *simulatedCluster) deliver() {
	var due []labreplica.Message

	c.queue = slices.DeleteFunc(c.queue, func(e scheduledMessage) bool {
		if e.deliverAt > c.now || c.node(e.message.To).paused {
			return false
		}
		due = append(due, e.message)

		return true
	})

	for _, m := range due {
		if n := c.node(m.To); n.replica != nil && !c.blocked[link{m.From, m.To}] {
			assert.NilError(c.t, n.replica.Step(c.now, m))
			c.flush(n)
		}
	}
}

// leading returns all nodes that consider themselves the leader, in descending order of their terms.
func (c *simulatedCluster) leading() []*simulatedNode {
	var l []*simulatedNode

	for _, n := range c.nodes {
		if n.replica != nil && n.replica.Leading() {
			l = append(l, n)
		}
	}

	slices.SortFunc(l, func(a, b *simulatedNode) int { return int(b.replica.Term()) - int(a.replica.Term()) })

	return l
}

func (c *simulatedCluster) propose(n *simulatedNode, count int) {
	for range count {
		c.commands++
		_, _, _ = n.replica.Propose(c.now, binary.BigEndian.AppendUint64(nil, c.commands))
	}

	c.flush(n)
}

func (c *simulatedCluster) barrier(n *simulatedNode) {
	if id, err := n.replica.Barrier(c.now); err == nil {
		n.barrierIndexes[id] = c.committed
	}

	c.flush(n)
}

// isolate blocks the messages from a node and, with bothWays, also the messages to it.
func (c *simulatedCluster) isolate(n *simulatedNode, bothWays bool) {
	for _, o := range c.nodes {
		c.blocked[link{n.id, o.id}] = true
		c.blocked[link{o.id, n.id}] = bothWays || c.blocked[link{o.id, n.id}]
	}
}

// heal ends all faults but late messages, and restarts the crashed nodes.
func (c *simulatedCluster) heal() {
	c.blocked = map[link]bool{}
	c.loss, c.duplicate = 0, 0

	for _, n := range c.nodes {
		n.paused, n.crashIn = false, 0
		c.restart(n)
	}
}

// waitLeader runs the cluster until a node leads and returns the leader of the highest term.
func (c *simulatedCluster) waitLeader() *simulatedNode {
	for range 20 {
		c.run(500 * time.Millisecond)

		if l := c.leading(); len(l) > 0 {
			return l[0]
		}
	}

	assert.Assert(c.t, false, "no leader within 10 s")

	return nil
}

// converge ends all faults, proposes one more command, and checks that all instances of the membership reach the same
// state.
func (c *simulatedCluster) converge() {
	c.heal()
	c.late = 0 // a late heartbeat could otherwise cause an election just before the comparison
	l := c.waitLeader()
	c.propose(l, 1)
	c.run(5 * time.Second)

	l = c.waitLeader()
	assert.Equal(c.t, l.applied, c.committed)

	for _, id := range l.replica.Membership().Instances() {
		if n := c.node(id); !n.diskLost {
			assert.Equal(c.t, n.applied, c.committed, "%s is behind", id)
			assert.Equal(c.t, n.hash, l.hash)
		}
	}
}

// change submits a membership change to the leader until the change is committed.
func (c *simulatedCluster) change(kind labreplica.ChangeKind, id lab.InstanceID) {
	for range 100 {
		l := c.waitLeader()
		i, _, err := l.replica.Change(c.now, labreplica.Change{Kind: kind, Instance: id})
		c.flush(l)

		if err == nil && i == 0 {
			return
		}
	}

	assert.Assert(c.t, false, "membership change of %s was not made", id)
}
