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

// node is one instance: a replica, the disk with what was synced, and a state machine that hashes its commands.
type node struct {
	id       lab.InstanceID
	replica  *labreplica.Replica // nil while crashed
	state    lab.HardState
	snapshot lab.LogSnapshot
	entries  []lab.LogEntry
	crashIn  int // sync and send points until a crash, 0 for none
	paused   bool
	gone     bool // the disk is lost
	applied  uint64
	hash     uint64
	compact  uint64
	floors   map[uint64]uint64 // index that must be applied when a barrier is confirmed
	barriers int               // confirmed barriers
}

type link struct{ from, to lab.InstanceID }

type envelope struct {
	at      time.Duration
	message labreplica.Message
}

// world is a fake network of nodes with simulated time; it checks the safety properties at every step.
type world struct {
	t         assert.TestingT
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	queue     []envelope
	cut       map[link]bool
	loss      int // percent
	duplicate int // percent
	delay     time.Duration
	stray     int // percent of messages that arrive up to a second later
	leaders   map[uint64]lab.InstanceID
	hashes    map[uint64]uint64 // hash of the state machine after each committed entry
	committed uint64
	every     uint64 // entries between snapshots
	commands  uint64
}

func newWorld(t assert.TestingT, seed uint64, size, joiners int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), cut: map[link]bool{}, delay: 20 * time.Millisecond,
		leaders: map[uint64]lab.InstanceID{}, hashes: map[uint64]uint64{0: 0}, every: 20,
	}

	voters := make([]lab.InstanceID, size)
	for i := range size + joiners {
		n := &node{id: lab.InstanceID(fmt.Sprint("j", i-size))}
		if i < size {
			n.id = lab.InstanceID(fmt.Sprint("v", i))
			n.snapshot.Voters = voters
			voters[i] = n.id
		}

		w.nodes = append(w.nodes, n)
	}

	for _, n := range w.nodes {
		w.restart(n)
	}

	return w
}

func (w *world) node(id lab.InstanceID) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *world) restart(n *node) {
	if n.replica != nil || n.gone {
		return
	}

	n.replica = &labreplica.Replica{
		ID: n.id, Random: w.random, BatchBytes: 64, ChunkBytes: 5, Window: 4, Trailing: 5, PromoteLag: 5,
	}
	n.crashIn, n.paused, n.floors = 0, false, map[uint64]uint64{}
	w.restore(n, n.snapshot)
	assert.NilError(w.t, n.replica.Start(w.now, n.state, n.snapshot, slices.Clone(n.entries)))
}

func (w *world) crash(n *node) { n.replica = nil }

func (w *world) restore(n *node, s lab.LogSnapshot) {
	n.applied, n.compact, n.hash = s.Index, s.Index, 0
	if s.Index > 0 {
		n.hash = binary.BigEndian.Uint64(s.Data)
		assert.Equal(w.t, n.hash, w.hashes[s.Index], "%s: snapshot %d differs from what was committed", n.id, s.Index)
	}
}

// point is a place where an armed crash happens.
func (w *world) point(n *node) bool {
	if n.crashIn > 0 {
		if n.crashIn--; n.crashIn == 0 {
			w.crash(n)
		}
	}

	return n.replica != nil
}

func (w *world) flush(n *node) {
	for n.replica != nil {
		o := n.replica.Output()
		if o.Empty() {
			w.observe(n)

			return
		}

		if !w.send(n, o.Early) || !w.persist(n, o) {
			return
		}

		n.replica.Persisted()

		if w.send(n, o.Messages) {
			w.apply(n, o)
		}
	}
}

func (w *world) send(n *node, messages []labreplica.Message) bool {
	for _, m := range messages {
		if w.cut[link{m.From, m.To}] || w.random.IntN(100) < w.loss {
			continue
		}

		for range 1 + w.random.IntN(100)/(100-w.duplicate) {
			d := w.delay
			if w.random.IntN(100) < w.stray {
				d = time.Second
			}
			w.queue = append(w.queue, envelope{w.now + time.Duration(w.random.Int64N(int64(d))), m})
		}
	}

	return len(messages) == 0 || w.point(n)
}

// persist can crash before and after each write.
func (w *world) persist(n *node, o labreplica.Output) bool {
	if o.State != nil && w.point(n) {
		n.state = *o.State
	}

	if o.Snapshot != nil && w.point(n) {
		w.saveSnapshot(n, *o.Snapshot)
	}

	if len(o.Entries) > 0 && w.point(n) {
		k := o.Entries[0].Index - n.snapshot.Index - 1
		n.entries = append(n.entries[:k:k], o.Entries...)
	}

	return w.point(n)
}

func (w *world) saveSnapshot(n *node, s lab.LogSnapshot) {
	var kept []lab.LogEntry

	for i, e := range n.entries {
		if e.Index == s.Index && e.Term == s.Term {
			kept = slices.Clone(n.entries[i+1:])
		}
	}

	n.snapshot, n.entries = s, kept
}

func (w *world) apply(n *node, o labreplica.Output) {
	if o.Snapshot != nil {
		w.restore(n, *o.Snapshot)
	}

	for _, e := range o.Committed {
		w.applyEntry(n, e)
	}

	for _, b := range o.Barriers {
		n.barriers++
		assert.Assert(w.t, n.applied >= n.floors[b], "%s: barrier confirmed at %d below %d", n.id, n.applied, n.floors[b])
	}

	if n.applied-n.compact >= w.every {
		s := n.replica.Snapshot(binary.BigEndian.AppendUint64(nil, n.hash))
		if w.point(n) {
			w.saveSnapshot(n, s)
			n.replica.Compact(s)
			n.compact = n.applied
		}
	}
}

func (w *world) applyEntry(n *node, e lab.LogEntry) {
	assert.Equal(w.t, e.Index, n.applied+1)
	n.applied = e.Index
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, n.hash), e.Term)
	n.hash = crc64.Checksum(append(b, e.Data...), crcTable)

	h, ok := w.hashes[e.Index]
	assert.Assert(w.t, !ok || h == n.hash, "%s: committed entry %d was changed", n.id, e.Index)

	w.hashes[e.Index] = n.hash
	w.committed = max(w.committed, e.Index)
}

// observe checks that each term has one leader.
func (w *world) observe(n *node) {
	if !n.replica.Leading() {
		return
	}

	if l, ok := w.leaders[n.replica.Term()]; ok {
		assert.Equal(w.t, l, n.id, "two leaders in term %d", n.replica.Term())
	}

	w.leaders[n.replica.Term()] = n.id
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		w.deliver()

		for _, n := range w.nodes {
			if n.replica != nil && !n.paused {
				n.replica.Tick(w.now)
				w.flush(n)
			}
		}
	}
}

func (w *world) deliver() {
	var due []labreplica.Message

	w.queue = slices.DeleteFunc(w.queue, func(e envelope) bool {
		if e.at > w.now || w.node(e.message.To).paused {
			return false
		}
		due = append(due, e.message)

		return true
	})

	for _, m := range due {
		if n := w.node(m.To); n.replica != nil && !w.cut[link{m.From, m.To}] {
			assert.NilError(w.t, n.replica.Step(w.now, m))
			w.flush(n)
		}
	}
}

// leading returns all nodes that consider themselves leader, those of the highest term first.
func (w *world) leading() []*node {
	var l []*node

	for _, n := range w.nodes {
		if n.replica != nil && n.replica.Leading() {
			l = append(l, n)
		}
	}

	slices.SortFunc(l, func(a, b *node) int { return int(b.replica.Term()) - int(a.replica.Term()) })

	return l
}

func (w *world) propose(n *node, count int) {
	for range count {
		w.commands++
		_, _, _ = n.replica.Propose(w.now, binary.BigEndian.AppendUint64(nil, w.commands))
	}

	w.flush(n)
}

func (w *world) barrier(n *node) {
	if id, err := n.replica.Barrier(w.now); err == nil {
		n.floors[id] = w.committed
	}

	w.flush(n)
}

func (w *world) isolate(n *node, both bool) {
	for _, o := range w.nodes {
		w.cut[link{n.id, o.id}] = true
		w.cut[link{o.id, n.id}] = both || w.cut[link{o.id, n.id}]
	}
}

func (w *world) heal() {
	w.cut = map[link]bool{}
	w.loss, w.duplicate = 0, 0

	for _, n := range w.nodes {
		n.paused, n.crashIn = false, 0
		w.restart(n)
	}
}

// waitLeader returns the leader after a while without disturbances.
func (w *world) waitLeader() *node {
	for range 20 {
		w.run(500 * time.Millisecond)

		if l := w.leading(); len(l) > 0 {
			return l[0]
		}
	}

	assert.Assert(w.t, false, "no leader within 10 s")

	return nil
}

// converge heals everything and checks that all members end with the same state, including a last proposal.
func (w *world) converge() {
	w.heal()
	w.stray = 0 // a delayed heartbeat could otherwise cause an election just before the comparison
	l := w.waitLeader()
	w.propose(l, 1)
	w.run(5 * time.Second)

	l = w.waitLeader()
	assert.Equal(w.t, l.applied, w.committed)

	for _, id := range l.replica.Members().All() {
		if n := w.node(id); !n.gone {
			assert.Equal(w.t, n.applied, w.committed, "%s is behind", id)
			assert.Equal(w.t, n.hash, l.hash)
		}
	}
}

// change submits a membership change to the leader until it is in force and committed.
func (w *world) change(kind labreplica.ChangeKind, id lab.InstanceID) {
	for range 100 {
		l := w.waitLeader()
		i, _, err := l.replica.Change(w.now, labreplica.Change{Kind: kind, Instance: id})
		w.flush(l)

		if err == nil && i == 0 {
			return
		}
	}

	assert.Assert(w.t, false, "membership change of %s was not made", id)
}
