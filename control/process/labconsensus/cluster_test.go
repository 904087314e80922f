package labconsensus_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labjournal"
	"laburnumlock.dev/lab/control/process/labreplica"
	"laburnumlock.dev/lab/process/labclock"
)

// adder is a state machine that sums its commands.
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

func incrementCommand() []byte { return binary.BigEndian.AppendUint64(nil, 1) }

func newGroup(id lab.InstanceID, journal lab.Journal, voters ...lab.InstanceID) *labconsensus.Group {
	return &labconsensus.Group{
		ID: id, InitialVoters: voters, Journal: journal, Clock: labclock.New(),
		Random: rand.NewPCG(uint64(id[0]), 1), StateMachine: &adder{}, SnapshotEntries: 50, TrailingEntries: 10,
		Send: func(lab.InstanceID, labreplica.Message) {},
	}
}

// stallingJournal is a journal whose appends wait while stall is locked, like syncs of a stalled disk.
type stallingJournal struct {
	labjournal.Journal
	stall sync.Mutex
	log   logBuffer // log of the group
}

func (j *stallingJournal) Append(e []lab.LogEntry) error {
	j.stall.Lock()
	defer j.stall.Unlock()

	return j.Journal.Append(e)
}

// logBuffer holds log lines. Its methods may be called concurrently.
type logBuffer struct {
	mutex sync.Mutex
	lines strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.lines.Write(p)
}

func (b *logBuffer) contains(text string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return strings.Contains(b.lines.String(), text)
}

// cluster runs several groups that exchange messages in memory.
type cluster struct {
	t        *testing.T
	folder   string
	mutex    sync.Mutex
	groups   map[lab.InstanceID]*labconsensus.Group
	isolated map[lab.InstanceID]bool
	stop     map[lab.InstanceID]func()
}

var instanceIDs = []lab.InstanceID{"a", "b", "c"}

func newCluster(t *testing.T) *cluster {
	t.Helper()

	c := &cluster{
		t: t, folder: t.TempDir(), groups: map[lab.InstanceID]*labconsensus.Group{},
		isolated: map[lab.InstanceID]bool{}, stop: map[lab.InstanceID]func(){},
	}

	t.Cleanup(c.stopAll)
	c.startAll()

	return c
}

func (c *cluster) startAll() {
	for _, id := range instanceIDs {
		c.start(id, instanceIDs...)
	}
}

func (c *cluster) stopAll() {
	for _, s := range c.stop {
		s()
	}
}

// start runs a group with the journal of the instance's previous run, if there is one.
func (c *cluster) start(id lab.InstanceID, voters ...lab.InstanceID) *labconsensus.Group {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	j := &stallingJournal{Journal: labjournal.Journal{Folder: filepath.Join(c.folder, string(id))}}
	g := newGroup(id, j, voters...)
	g.Log = zerolog.New(&j.log)
	g.Send = func(to lab.InstanceID, m labreplica.Message) { c.send(id, to, m) }

	c.mutex.Lock()
	c.groups[id] = g
	c.mutex.Unlock()

	go func() {
		defer close(done)
		assert.Check(c.t, g.Run(ctx))
		assert.Check(c.t, g.Journal.Close())
	}()

	c.stop[id] = func() { cancel(); <-done }

	return g
}

// send encodes and decodes a message like the transport does. It delivers the message unless the sender or the receiver
// is isolated.
func (c *cluster) send(from, to lab.InstanceID, m labreplica.Message) {
	b, err := msgpack.Marshal(&m)
	assert.Check(c.t, err)

	var d labreplica.Message

	assert.Check(c.t, msgpack.Unmarshal(b, &d))

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if g := c.groups[to]; g != nil && !c.isolated[from] && !c.isolated[to] {
		g.Deliver(d)
	}
}

func (c *cluster) isolate(id lab.InstanceID, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[id] = isolated
}

func (c *cluster) waitFor(condition string, done func() bool) {
	c.t.Helper()

	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}

	c.t.Fatalf("%s: condition not met within 10 s", condition)
}

// waitLeader waits until a group that is not isolated leads, and returns it.
func (c *cluster) waitLeader() (leader *labconsensus.Group) {
	c.t.Helper()
	c.waitFor("leader", func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()

		for id, g := range c.groups {
			if !c.isolated[id] && g.Leadership().IsLeader {
				leader = g
			}
		}

		return leader != nil
	})

	return leader
}

// waitCaughtUp waits until a group has applied as many entries as the leader.
func (c *cluster) waitCaughtUp(g *labconsensus.Group) {
	c.t.Helper()
	c.waitFor("catching up", func() bool { return g.AppliedIndex() >= c.waitLeader().AppliedIndex() })
}

func propose(t *testing.T, g *labconsensus.Group, want uint64) {
	t.Helper()

	v, err := g.Propose(context.Background(), incrementCommand())
	assert.NilError(t, err)
	assert.Equal(t, v, want)
}
