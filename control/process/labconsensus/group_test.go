package labconsensus_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labconsensus"
	"laburnumlock.dev/lab/control/process/labjournal"
)

// Guards against a leader that still accepts barriers or proposals while it is isolated from the other instances.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t)
	old := c.waitLeader()
	propose(t, old, 1)
	assert.NilError(t, old.Barrier(context.Background()))
	c.isolate(old.ID, true)

	assert.ErrorIs(t, old.Barrier(context.Background()), lab.ErrNotLeader)
	assert.Equal(t, old.Leadership().IsLeader, false)

	_, err := old.Propose(context.Background(), incrementCommand())
	assert.ErrorIs(t, err, lab.ErrNotLeader)

	propose(t, c.waitLeader(), 2)
	c.isolate(old.ID, false)
	c.waitCaughtUp(old)
}

// Guards against a group that stops to commit when the disk of its leader stalls, and against a stall that leaves no trace in
// the log while it lasts. The other instances must elect a leader, and the stalled one must follow it afterwards.
func TestStalledSync(t *testing.T) {
	c := newCluster(t)
	old := c.waitLeader()
	propose(t, old, 1)

	j := old.Journal.(*stallingJournal)
	j.stall.Lock()

	resume := sync.OnceFunc(j.stall.Unlock)
	defer resume()

	stalled := make(chan error, 1)

	go func() {
		_, err := old.Propose(context.Background(), incrementCommand())
		stalled <- err
	}()

	c.waitFor("stall logged", func() bool { return j.log.contains(`"step":"sync"`) && j.log.contains(`"ended":false`) })
	c.waitFor("end of the stalled leader's lease", func() bool { return !old.Leadership().IsLeader })

	next := c.waitLeader()
	assert.Assert(t, next != old)
	assert.NilError(t, next.Barrier(context.Background()))

	resume()

	// The next leader may have received the entry before the stall and committed it.
	if err := <-stalled; err != nil {
		assert.ErrorIs(t, err, lab.ErrOutcomeUnknown)
	}

	c.waitFor("end of stall logged", func() bool { return j.log.contains(`"ended":true`) })
	c.waitCaughtUp(old)
}

// countingJournal counts appends and returns appendErr from them.
type countingJournal struct {
	labjournal.Journal
	appends   int
	appendErr error
}

func (j *countingJournal) Append(e []lab.LogEntry) error {
	j.appends++

	return errors.Join(j.appendErr, j.Journal.Append(e))
}

// Guards against concurrent proposals that are lost, applied twice or synced one by one.
func TestConcurrentProposals(t *testing.T) {
	j := &countingJournal{Journal: labjournal.Journal{Folder: t.TempDir()}}
	g := newGroup("a", j, "a")
	ctx, cancel := context.WithCancel(context.Background())

	var run, wait sync.WaitGroup

	run.Go(func() { assert.Check(t, g.Run(ctx)) })

	for !g.Leadership().IsLeader {
		time.Sleep(time.Millisecond)
	}

	for range 64 {
		wait.Go(func() {
			for range 20 {
				_, err := g.Propose(ctx, incrementCommand())
				assert.Check(t, err)
			}
		})
	}

	wait.Wait()
	propose(t, g, 64*20+1)
	cancel()
	run.Wait()
	t.Logf("%d proposals in %d appends", 64*20+1, j.appends)
	assert.Assert(t, j.appends < 64*20/2)
}

// Guards against a proposal or barrier that returns a wrong outcome, or never returns, when the leader is isolated or
// stopped.
func TestOutcomes(t *testing.T) {
	c := newCluster(t)
	g := c.waitLeader()
	c.isolate(g.ID, true)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()

	_, err := g.Propose(ctx, incrementCommand())
	assert.ErrorIs(t, err, lab.ErrOutcomeUnknown)
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	_, err = g.Propose(context.Background(), incrementCommand())
	assert.ErrorIs(t, err, lab.ErrOutcomeUnknown, "leadership ended while the proposal was under way")

	c.stop[g.ID]()
	assert.ErrorIs(t, g.Barrier(context.Background()), lab.ErrNotLeader)
	assert.Equal(t, g.Leadership().IsLeader, false)

	_, err = g.Propose(context.Background(), incrementCommand())
	assert.Assert(t, err != nil)
}

// Guards against a command that rests on an earlier leadership of the same instance.
func TestProposeInTerm(t *testing.T) {
	c := newCluster(t)
	g := c.waitLeader()
	term := g.Leadership().Term

	_, err := g.ProposeInTerm(context.Background(), term+1, incrementCommand())
	assert.ErrorIs(t, err, lab.ErrNotLeader)

	v, err := g.ProposeInTerm(context.Background(), term, incrementCommand())
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(1), "the first proposal was not appended")
}

// Guards against an instance that continues to run after its journal failed.
func TestJournalFailure(t *testing.T) {
	j := &countingJournal{Journal: labjournal.Journal{Folder: t.TempDir()}, appendErr: errors.New("no space")}
	g := newGroup("a", j, "a")
	assert.ErrorContains(t, g.Run(context.Background()), "store entries: no space")
	assert.ErrorIs(t, g.Barrier(context.Background()), lab.ErrNotLeader)
}

// Guards against commands that are lost or applied twice when all instances restart at once, and against a group that
// cannot replace an instance with a lost disk by an instance with a new identity.
func TestRestartAndReplace(t *testing.T) {
	c := newCluster(t)
	sum := uint64(0)

	for range 3 {
		g := c.waitLeader()
		for range 60 {
			sum++
			propose(t, g, sum)
		}

		c.stopAll()
		c.startAll()
	}

	g := c.waitLeader()
	lost := instanceIDs[(slices.Index(instanceIDs, g.ID)+1)%3]
	c.stop[lost]()
	c.isolate(lost, true)

	joined := c.start("d")
	assert.NilError(t, g.AddLearner(context.Background(), "d"))
	assert.NilError(t, g.Promote(context.Background(), "d"))
	assert.NilError(t, g.Remove(context.Background(), lost))
	propose(t, g, sum+1)
	c.waitCaughtUp(joined)
	assert.Equal(t, joined.Membership().Voter("d"), true)
	assert.Equal(t, len(joined.Membership().Voters), 3)
}

// BenchmarkRestart measures the time to load and apply the journal in a group with one instance and an election timeout
// of 1 ms.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []uint64{700, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGroup("a", &labjournal.Journal{Folder: b.TempDir()}, "a")
			fillJournal(b, g.Journal, n)

			for b.Loop() {
				restart(b, newGroup("a", &labjournal.Journal{Folder: g.Journal.(*labjournal.Journal).Folder}), n)
			}
		})
	}
}

// fillJournal stores n entries, each with a command of 200 bytes.
func fillJournal(b *testing.B, j lab.Journal, n uint64) {
	b.Helper()

	_, _, _, err := j.Load()
	assert.NilError(b, err)
	assert.NilError(b, j.SaveSnapshot(lab.LogSnapshot{Voters: []lab.InstanceID{"a"}}))

	d := slices.Concat([]byte{1}, incrementCommand(), make([]byte, 192))
	for i := range n {
		assert.NilError(b, j.Append([]lab.LogEntry{{Index: i + 1, Term: 1, Data: d}}))
	}

	assert.NilError(b, j.Close())
}

func restart(b *testing.B, g *labconsensus.Group, n uint64) {
	b.Helper()

	g.ElectionMin, g.ElectionMax, g.TickInterval = time.Millisecond, time.Millisecond, time.Millisecond
	g.SnapshotEntries = 1 << 40
	ctx, cancel := context.WithCancel(context.Background())

	var run sync.WaitGroup

	run.Go(func() { assert.Check(b, g.Run(ctx)) })

	for g.AppliedIndex() <= n {
		time.Sleep(100 * time.Microsecond)
	}

	cancel()
	run.Wait()
	assert.NilError(b, g.Journal.Close())
}
