package labconsensus_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// realClock is monotonic time since the test began.
type realClock struct{ start time.Time }

func (c realClock) Now() time.Duration { return time.Since(c.start) }
func (c realClock) Wall() time.Time    { return time.Now() }

func (c realClock) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// adder sums the commands it applies.
type adder struct{ sum uint64 }

func (a *adder) Apply(_ uint64, c []byte) any {
	a.sum += binary.BigEndian.Uint64(c)

	return a.sum
}

func (a *adder) Snapshot() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, a.sum), nil }

func (a *adder) Restore(b []byte) error {
	a.sum = binary.BigEndian.Uint64(b)

	return nil
}

// memoryJournal keeps what was stored across restarts of a group.
type memoryJournal struct {
	state    lab.HardState
	snapshot lab.LogSnapshot
	entries  []lab.LogEntry
}

func (j *memoryJournal) Load() (lab.HardState, lab.LogSnapshot, []lab.LogEntry, error) {
	return j.state, j.snapshot, j.entries, nil
}

func (j *memoryJournal) SaveState(s lab.HardState) error {
	j.state = s

	return nil
}

func (j *memoryJournal) Append(e []lab.LogEntry) error {
	j.entries = append(j.entries[:e[0].Index-j.snapshot.Index-1:e[0].Index-j.snapshot.Index-1], e...)

	return nil
}

func (j *memoryJournal) SaveSnapshot(s lab.LogSnapshot) error {
	var kept []lab.LogEntry

	for i, e := range j.entries {
		if e.Index == s.Index && e.Term == s.Term {
			kept = j.entries[i+1:]
		}
	}

	j.snapshot, j.entries = s, kept

	return nil
}

func (j *memoryJournal) Close() error { return nil }

// cluster connects groups in memory.
type cluster struct {
	t      *testing.T
	mutex  sync.Mutex
	groups map[lab.InstanceID]*labconsensus.Group
	cut    map[lab.InstanceID]bool
	stop   map[lab.InstanceID]func()
}

func newCluster(t *testing.T, ids ...lab.InstanceID) *cluster {
	t.Helper()

	c := &cluster{
		t: t, groups: map[lab.InstanceID]*labconsensus.Group{}, cut: map[lab.InstanceID]bool{},
		stop: map[lab.InstanceID]func(){},
	}

	t.Cleanup(func() {
		for _, s := range c.stop {
			s()
		}
	})

	for _, id := range ids {
		c.start(id, &memoryJournal{}, ids...)
	}

	return c
}

func (c *cluster) start(id lab.InstanceID, journal lab.Journal, voters ...lab.InstanceID) *labconsensus.Group {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g := &labconsensus.Group{
		ID: id, Voters: voters, Journal: journal, Clock: realClock{time.Now()},
		Random: rand.NewPCG(uint64(id[0]), 1), Machine: &adder{}, SnapshotEvery: 50, Trailing: 10,
	}
	g.Send = func(to lab.InstanceID, m labreplica.Message) { c.send(id, to, m) }

	c.mutex.Lock()
	c.groups[id] = g
	c.mutex.Unlock()

	go func() {
		defer close(done)
		assert.Check(c.t, g.Run(ctx))
	}()

	c.stop[id] = func() { cancel(); <-done }

	return g
}

// send encodes the message like the transport does.
func (c *cluster) send(from, to lab.InstanceID, m labreplica.Message) {
	b, err := msgpack.Marshal(&m)
	assert.Check(c.t, err)

	var d labreplica.Message

	assert.Check(c.t, msgpack.Unmarshal(b, &d))

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if g := c.groups[to]; g != nil && !c.cut[from] && !c.cut[to] {
		g.Deliver(d)
	}
}

func (c *cluster) isolate(id lab.InstanceID, cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[id] = cut
}

// leader waits for a group that leads and is not isolated.
func (c *cluster) leader() *labconsensus.Group {
	c.t.Helper()

	for range 1000 {
		c.mutex.Lock()
		for id, g := range c.groups {
			if !c.cut[id] && g.Leadership().Self {
				c.mutex.Unlock()

				return g
			}
		}
		c.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}

	c.t.Fatal("no leader within 10 s")

	return nil
}

func one() []byte { return binary.BigEndian.AppendUint64(nil, 1) }

func propose(t *testing.T, g *labconsensus.Group, want uint64) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	v, err := g.Propose(ctx, one())
	assert.NilError(t, err)
	assert.Equal(t, v, want)
}

// Guards against a group that does not elect, commit or apply.
func TestGroup(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	g := c.leader()

	for i := range uint64(120) {
		propose(t, g, i+1)
	}

	assert.NilError(t, g.Barrier(context.Background()))
}

// Guards against an old leader that serves reads or proposals after a partition.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	propose(t, old, 1)
	c.isolate(old.ID, true)

	assert.ErrorIs(t, old.Barrier(context.Background()), lab.ErrNotLeader)
	assert.Equal(t, old.Leadership().Self, false)

	next := c.leader()
	propose(t, next, 2)
	c.isolate(old.ID, false)
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, next.Leadership().Self, true)
}
