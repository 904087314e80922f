package labconsensus_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labjournal"
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
	appends  atomic.Int64
}

func (j *memoryJournal) Load() (lab.HardState, lab.LogSnapshot, []lab.LogEntry, error) {
	return j.state, j.snapshot, j.entries, nil
}

func (j *memoryJournal) SaveState(s lab.HardState) error {
	j.state = s

	return nil
}

func (j *memoryJournal) Append(e []lab.LogEntry) error {
	j.appends.Add(1)
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
	t        *testing.T
	mutex    sync.Mutex
	groups   map[lab.InstanceID]*labconsensus.Group
	cut      map[lab.InstanceID]bool
	stop     map[lab.InstanceID]func()
	journals map[lab.InstanceID]lab.Journal
}

func newCluster(t *testing.T, ids ...lab.InstanceID) *cluster {
	t.Helper()

	c := &cluster{
		t: t, groups: map[lab.InstanceID]*labconsensus.Group{}, cut: map[lab.InstanceID]bool{},
		stop: map[lab.InstanceID]func(){}, journals: map[lab.InstanceID]lab.Journal{},
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

	c.journals[id] = journal
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

// caughtUp waits until a group has applied what the leader has.
func (c *cluster) caughtUp(g *labconsensus.Group) {
	c.t.Helper()

	for range 1000 {
		if g.Applied() >= c.leader().Applied() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}

	c.t.Fatalf("%s did not catch up within 10 s", g.ID)
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

// Guards against a group that does not elect, commit or apply, also across snapshots.
func TestGroup(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	g := c.leader()

	for i := range uint64(120) {
		propose(t, g, i+1)
	}

	assert.NilError(t, g.Barrier(context.Background()))
	assert.Equal(t, g.Applied(), uint64(121))
}

// Guards against an old leader that serves reads or proposals after a partition.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	propose(t, old, 1)
	c.isolate(old.ID, true)

	assert.ErrorIs(t, old.Barrier(context.Background()), lab.ErrNotLeader)
	assert.Equal(t, old.Leadership().Self, false)

	_, err := old.Propose(context.Background(), one())
	assert.ErrorIs(t, err, lab.ErrNotLeader)

	propose(t, c.leader(), 2)
	c.isolate(old.ID, false)
	c.caughtUp(old)
}

// Guards against proposals that are lost, doubled or synced one by one.
func TestConcurrentProposals(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	g := c.leader()

	var wait sync.WaitGroup

	for range 64 {
		wait.Go(func() {
			for range 20 {
				_, err := g.Propose(context.Background(), one())
				assert.Check(t, err)
			}
		})
	}

	wait.Wait()
	propose(t, g, 64*20+1)

	n := c.journals[g.ID].(*memoryJournal).appends.Load()
	t.Logf("%d proposals in %d appends", 64*20+1, n)
	assert.Assert(t, n < 64*20/2)
}

// Guards against a call that reports a wrong outcome or never returns.
func TestOutcomes(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	g := c.leader()
	c.isolate(g.ID, true)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()

	_, err := g.Propose(ctx, one())
	assert.ErrorIs(t, err, lab.ErrOutcomeUnknown)
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	_, err = g.Propose(context.Background(), one())
	assert.ErrorIs(t, err, lab.ErrOutcomeUnknown, "leadership ended while the proposal was under way")

	c.stop[g.ID]()
	assert.ErrorIs(t, g.Barrier(context.Background()), lab.ErrNotLeader)
	assert.Equal(t, g.Leadership().Self, false)

	_, err = g.Propose(context.Background(), one())
	assert.Assert(t, err != nil)
}

// failingJournal fails to store entries.
type failingJournal struct{ memoryJournal }

func (*failingJournal) Append([]lab.LogEntry) error { return errors.New("no space") }

// Guards against an instance that goes on after its journal failed.
func TestJournalFailure(t *testing.T) {
	g := &labconsensus.Group{
		ID: "a", Voters: []lab.InstanceID{"a"}, Journal: &failingJournal{}, Clock: realClock{time.Now()},
		Random: rand.NewPCG(1, 1), Machine: &adder{},
	}
	assert.ErrorContains(t, g.Run(context.Background()), "store entries: no space")
	assert.ErrorIs(t, g.Barrier(context.Background()), lab.ErrNotLeader)
}

// Guards against state that is lost or applied twice when all instances restart at once, and against a lost disk that
// cannot be replaced by a new identity.
func TestRestartAndReplace(t *testing.T) {
	c := newCluster(t)
	folder := t.TempDir()
	voters := []lab.InstanceID{"a", "b", "c"}
	startAll := func() {
		for _, id := range voters {
			c.start(id, &labjournal.Journal{Folder: filepath.Join(folder, string(id))}, voters...)
		}
	}

	startAll()

	sum := uint64(0)
	for range 3 {
		g := c.leader()
		for range 40 {
			sum++
			propose(t, g, sum)
		}

		for _, id := range voters {
			c.stop[id]()
			assert.NilError(t, c.journals[id].Close())
		}

		startAll()
	}

	g := c.leader()
	lost := voters[(slices.Index(voters, g.ID)+1)%3]
	c.stop[lost]()
	c.isolate(lost, true)

	joined := c.start("d", &labjournal.Journal{Folder: filepath.Join(folder, "d")})
	assert.NilError(t, g.AddLearner(context.Background(), "d"))
	assert.NilError(t, g.Promote(context.Background(), "d"))
	assert.NilError(t, g.Remove(context.Background(), lost))
	propose(t, g, sum+1)
	c.caughtUp(joined)
	assert.Equal(t, joined.Members().Voter("d"), true)
	assert.Equal(t, len(joined.Members().Voters), 3)
}

// BenchmarkRestart measures loading the journal and applying it in a group of one, without the election timeout.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []uint64{700, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			folder := b.TempDir()
			fill(b, folder, n)

			for b.Loop() {
				restart(b, folder, n)
			}
		})
	}
}

// fill stores entries with commands of 200 bytes.
func fill(b *testing.B, folder string, n uint64) {
	b.Helper()

	j := &labjournal.Journal{Folder: folder}
	_, _, _, err := j.Load()
	assert.NilError(b, err)
	assert.NilError(b, j.SaveSnapshot(lab.LogSnapshot{Peers: []lab.InstanceID{"a"}}))
	assert.NilError(b, j.SaveState(lab.HardState{Term: 1, Voted: "a"}))

	d := append([]byte{1}, one()...)
	d = append(d, make([]byte, 192)...)

	for i := range n {
		assert.NilError(b, j.Append([]lab.LogEntry{{Index: i + 1, Term: 1, Data: d}}))
	}

	assert.NilError(b, j.Close())
}

func restart(b *testing.B, folder string, n uint64) {
	b.Helper()

	j := &labjournal.Journal{Folder: folder}
	g := &labconsensus.Group{
		ID: "a", Journal: j, Clock: realClock{time.Now()}, Random: rand.NewPCG(1, 1), Machine: &adder{},
		ElectionMin: time.Millisecond, ElectionMax: time.Millisecond, TickInterval: time.Millisecond,
		SnapshotEvery: 1 << 40,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)
		assert.Check(b, g.Run(ctx))
	}()

	for g.Applied() <= n {
		time.Sleep(100 * time.Microsecond)
	}

	cancel()
	<-done
	assert.NilError(b, j.Close())
}
