package labpromoter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labpromoter"
	"laburnumlock.dev/lab/control/version/labcatalog"
)

// newBootstrapped returns a harness in the first primary term, with m1 as the primary.
func newBootstrapped(t *testing.T) *harness {
	w := newHarness(t)
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m1", 1)
	w.commits = 0

	return w
}

// Guards against starting the first primary term with only one readable member or with the wrong primary.
func TestBootstrap(t *testing.T) {
	refuses := func(change func(*harness)) func(*testing.T) {
		return func(t *testing.T) {
			w := newHarness(t)
			change(w)
			assert.Assert(t, w.runSteps() != nil)
			w.assertPrimary("", 0)
		}
	}
	t.Run("one readable member", refuses(func(w *harness) {
		w.prober.members["m2"].up, w.prober.members["m3"].up = false, false
	}))
	t.Run("two primaries", refuses(func(w *harness) { w.prober.members["m2"].recovery = false }))
	t.Run("no primary", refuses(func(w *harness) { w.prober.members["m1"].recovery = true }))
	t.Run("outdated primary", refuses(func(w *harness) { w.prober.members["m2"].position.Term = 2 }))
	t.Run("two readable members", func(t *testing.T) {
		w := newHarness(t)
		w.prober.members["m3"].up = false
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m1", 1)
	})
}

// Guards against promotions that start too early, that start on the report of a gateway that doesn't write, or that
// never start.
func TestStart(t *testing.T) {
	t.Run("reachable from control", func(t *testing.T) {
		w := newBootstrapped(t)
		w.reportLoss("m1", time.Second)
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m1", 1)
		w.now += labpromoter.ReachableLossDelay - time.Second
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m3", 2)
	})
	t.Run("unreachable from control", func(t *testing.T) {
		w := newBootstrapped(t)
		w.stopMember("m1")
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m3", 2)
		assert.DeepEqual(t, w.database().History, lab.TermHistory{{Term: 1}, {Term: 2, Offset: 100}})
	})
	t.Run("reported by a gateway that doesn't write", func(t *testing.T) {
		w := newBootstrapped(t)
		w.promoter.Observe(w.now, "other", lab.MemberStatus{Database: database, Member: "m1", UnreachableFor: time.Minute})
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m1", 1)
	})
	t.Run("gateway is silent as well", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m1"].up = false
		w.promoter.Suspect(database, labpromoter.SuspectProbeDuration)
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m1", 1)
		w.now += labpromoter.SuspectProbeDuration
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m3", 2)
	})
	t.Run("address taken over", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m4"] = &fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 100}}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m1", Region: "gulf-coast", Incarnation: 1})
		assert.NilError(t, w.runSteps())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
}

// Guards against choosing a member while the old primary can still acknowledge writes.
func TestWritesEnd(t *testing.T) {
	w := newBootstrapped(t)
	w.writesEnded = false
	w.stopMember("m1")
	assert.NilError(t, w.runSteps())
	w.assertPrimary("", 1)
	w.prober.members["m2"].position.Offset = 120
	w.writesEnded = true
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m2", 2)
}

// Guards against losing acknowledged writes by promoting a member although too few members are readable.
func TestTooFewMembers(t *testing.T) {
	t.Run("second member lost", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m2"].up = false
		w.stopMember("m1")
		assert.Assert(t, w.runSteps() != nil)
		assert.Equal(t, len(w.prober.promoted), 0)
		w.prober.members["m2"].up = true
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m3", 2)
	})
	t.Run("second loss right after a repair", func(t *testing.T) {
		w := newBootstrapped(t)
		w.stopMember("m1")
		assert.NilError(t, w.runSteps())
		w.prober.members["m3"].position.Offset = 150
		w.stopMember("m3")
		assert.Assert(t, w.runSteps() != nil)
		assert.DeepEqual(t, w.prober.promoted, []string{"m3"})
	})
	t.Run("divergent old primary doesn't count", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m1"].position.Offset = 500
		w.stopMember("m1")
		assert.NilError(t, w.runSteps())
		*w.prober.members["m1"] = fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 500}}
		w.stopMember("m3")
		assert.Assert(t, w.runSteps() != nil)
		assert.DeepEqual(t, w.prober.promoted, []string{"m3"})
	})
	t.Run("member that promoted itself doesn't count", func(t *testing.T) {
		w := newBootstrapped(t)
		*w.prober.members["m2"] = fakeMember{up: true, position: lab.WALPosition{Term: 1, Offset: 900}}
		w.stopMember("m1")
		assert.Assert(t, w.runSteps() != nil)
		p, _ := w.catalog.Promotion(database)
		assert.Equal(t, p.Chosen, "")
	})
	t.Run("member of an unknown later term doesn't count", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m2"].position = lab.WALPosition{Term: 2, Offset: 900}
		w.stopMember("m1")
		assert.Assert(t, w.runSteps() != nil)
	})
	t.Run("four members need three", func(t *testing.T) {
		w := newBootstrapped(t)
		w.prober.members["m4"] = &fakeMember{recovery: true}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		w.stopMember("m1")
		assert.Assert(t, w.runSteps() != nil)
		assert.Equal(t, len(w.prober.promoted), 0)
	})
}

// Guards against promoting a replica that lacks an acknowledged write which only the old primary and an unreadable
// member have.
func TestReinstate(t *testing.T) {
	w := newBootstrapped(t)
	w.writesEnded = false
	w.stopMember("m1")
	assert.NilError(t, w.runSteps())
	w.prober.members["m1"].up, w.prober.members["m3"].up, w.writesEnded = true, false, true
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m1", 1)
	assert.Equal(t, len(w.prober.promoted), 0)
	w.now += labpromoter.ReachableLossDelay
	assert.NilError(t, w.runSteps(), "repeated loss reports don't end the primary's writes at once")
	w.assertPrimary("m1", 1)
}

// Guards against waiting for a lost member although the old primary, which has every acknowledged write, is reachable
// again. Also guards against reinstating an old primary that a replica is ahead of.
func TestReinstateOneOfFour(t *testing.T) {
	lost := func(t *testing.T, replica uint64) *harness {
		w := newBootstrapped(t)
		w.prober.members["m4"] = &fakeMember{recovery: true}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		w.prober.members["m3"].up = false
		w.stopMember("m1")
		assert.Assert(t, w.runSteps() != nil)
		w.prober.members["m1"].up, w.prober.members["m2"].position.Offset = true, replica

		return w
	}
	t.Run("most advanced", func(t *testing.T) {
		w := lost(t, 100)
		assert.NilError(t, w.runSteps())
		w.assertPrimary("m1", 1)
	})
	t.Run("only readable member", func(t *testing.T) {
		w := lost(t, 100)
		w.prober.members["m2"].up = false
		assert.Assert(t, w.runSteps() != nil)
		w.assertPrimary("", 1)
	})
	t.Run("behind a replica", func(t *testing.T) {
		w := lost(t, 101)
		assert.Assert(t, w.runSteps() != nil)
		w.assertPrimary("", 1)
	})
}

// Guards against comparing positions by primary term first. A replica that streams term 2 but hasn't reached its switch
// point has less WAL than a replica that received term 1 up to that point. TestAcknowledgedWritesSurvive found this
// fault with seed 14.
func TestReplicaBeforeSwitchPoint(t *testing.T) {
	w := newBootstrapped(t)
	w.prober.members["m2"].position.Offset = 70
	w.stopMember("m1")
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m3", 2)
	*w.prober.members["m1"] = fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 100}}
	w.prober.members["m2"].position.Term = 2
	w.stopMember("m3")
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m1", 3)
}

// Guards against never promoting a replica that isn't streaming and therefore reports no timeline.
func TestReplicaWithoutStream(t *testing.T) {
	w := newBootstrapped(t)
	for _, m := range []string{"m2", "m3"} {
		w.promoter.Observe(w.now, "gateway", lab.MemberStatus{
			Database: database, Member: m, Reachable: true, InRecovery: true, Received: w.prober.members[m].position,
		})
		w.prober.members[m].position.Term = 0
	}
	w.stopMember("m1")
	progress, err := w.promoter.Step(context.Background(), w.now, database)
	assert.Assert(t, progress && err == nil)
	progress, err = w.promoter.Step(context.Background(), w.now, database)
	assert.Assert(t, progress && err == nil)
	p, _ := w.catalog.Promotion(database)
	assert.Equal(t, p.Chosen, "m3")
	assert.Equal(t, p.Position, lab.WALPosition{Term: 1, Offset: 100})
}

// Guards against a promotion that stops or runs twice when the leader fails between two steps.
func TestResume(t *testing.T) {
	resumes := func(prepare func(*harness)) func(*testing.T) {
		return func(t *testing.T) {
			w := newBootstrapped(t)
			prepare(w)
			w.stopMember("m1")
			for range 5 {
				if err := w.runSteps(); err != nil {
					t.Log(err)
				}
			}
			w.assertPrimary("m3", 2)
			assert.DeepEqual(t, w.prober.promoted, []string{"m3"})
			assert.DeepEqual(t, w.database().History, lab.TermHistory{{Term: 1}, {Term: 2, Offset: 100}})
		}
	}
	for i, step := range []string{"promotion_started", "promotion_chosen", "term_started"} {
		t.Run("before "+step, resumes(func(w *harness) { w.failBeforeCommit = i + 1 }))
		t.Run("after "+step, resumes(func(w *harness) { w.failAfterCommit = i + 1 }))
	}
}

// Guards against a control instance that promotes a member after another instance became the leader.
func TestLeadershipLost(t *testing.T) {
	w := newBootstrapped(t)
	w.barrierErr = lab.ErrOutcomeUnknown
	w.stopMember("m1")
	assert.ErrorIs(t, w.runSteps(), errTooManySteps)
	assert.Equal(t, len(w.prober.promoted), 0)
}

// Guards against waiting forever for a chosen member that was lost, and against promoting a chosen member whose data
// was replaced.
func TestChooseAgain(t *testing.T) {
	chosen := func(t *testing.T) *harness {
		w := newBootstrapped(t)
		w.prober.members["m2"].position.Offset = 100
		w.stopMember("m1")
		w.failAfterCommit = 2
		w.promoter.Propose = func(f func(context.Context, *labcatalog.Command) (labcatalog.Result, error)) func(context.Context, *labcatalog.Command) (labcatalog.Result, error) {
			return func(ctx context.Context, c *labcatalog.Command) (labcatalog.Result, error) {
				r, err := f(ctx, c)
				if c.Chosen != nil && w.commits == 2 {
					w.prober.members[c.Chosen.Member].up = false
					w.prober.members["m1"].up = true
					w.prober.members["m1"].recovery = true
				}

				return r, err
			}
		}(w.promoter.Propose)

		return w
	}
	t.Run("lost", func(t *testing.T) {
		w := chosen(t)
		assert.Assert(t, w.runSteps() != nil)
		w.assertPrimary("", 1)
		w.now += labpromoter.RechooseAfter
		assert.NilError(t, w.runSteps())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
		assert.Equal(t, len(w.prober.promoted), 1)
	})
	t.Run("data replaced", func(t *testing.T) {
		w := chosen(t)
		assert.Assert(t, w.runSteps() != nil)
		p, _ := w.catalog.Promotion(database)
		*w.prober.members[p.Chosen] = fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 5}}
		assert.NilError(t, w.runSteps())
		assert.Assert(t, w.database().Primary != p.Chosen)
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
}

// Guards against a dead member that counts forever among those that may have acknowledged writes. The loss of another
// member right after the replacement of the dead one would then prevent a promotion. Also guards against forgetting the
// dead member while only that member may have an acknowledged write.
func TestReplacedMember(t *testing.T) {
	replaced := func(t *testing.T, confirmed uint64, caughtUp bool) *harness {
		w := newBootstrapped(t)
		w.promoter.WriterAppliedIndex = func(string) uint64 { return confirmed }
		w.stopMember("m2")
		w.prober.members["m4"] = &fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1, Offset: 50}}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		assert.NilError(t, w.runSteps())
		assert.Equal(t, len(w.database().Members), 4)
		if caughtUp {
			w.prober.members["m4"].position.Offset = 100
		}
		w.now += labpromoter.ReplaceUnreachableAfter
		if err := w.runSteps(); err != nil {
			t.Log(err)
		}
		assert.Equal(t, len(w.database().Members), 3)

		return w
	}
	waits := func(confirmed uint64, caughtUp bool) func(*testing.T) {
		return func(t *testing.T) {
			w := replaced(t, confirmed, caughtUp)
			assert.Equal(t, len(w.catalog.Departing(database)), 1)
			w.stopMember("m1")
			assert.Assert(t, w.runSteps() != nil)
			assert.Equal(t, len(w.prober.promoted), 0)
		}
	}
	t.Run("gateway may still count its acknowledgements", waits(1, true))
	t.Run("others lack its writes", waits(1000, false))
	t.Run("second loss right after the repair", func(t *testing.T) {
		w := replaced(t, 1000, true)
		assert.Equal(t, len(w.catalog.Departing(database)), 0)
		w.stopMember("m1")
		assert.NilError(t, w.runSteps())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
	t.Run("replaced member returns", func(t *testing.T) {
		w := replaced(t, 1, true)
		old := lab.Announcement{Database: database, Member: "m2", Address: "m2", Region: "gulf-coast"}
		w.announce(old)
		assert.Equal(t, len(w.database().Members), 3)
		old.Incarnation = 1
		w.announce(old)
		assert.Equal(t, len(w.database().Members), 4)
		assert.Equal(t, len(w.catalog.Departing(database)), 0)
	})
}

// Guards against promoting a successor of a leaving primary before the successor has caught up.
func TestLeaving(t *testing.T) {
	w := newBootstrapped(t)
	w.prober.members["m3"].position.Offset = 95
	w.announce(lab.Announcement{
		Database: database, Member: "m1", Address: "m1", Region: "gulf-coast", Incarnation: 1, Draining: true,
	})
	assert.NilError(t, w.runSteps())
	w.assertPrimary("", 1)
	w.prober.members["m3"].position.Offset = 100
	assert.NilError(t, w.runSteps())
	w.assertPrimary("m3", 2)
}

// Guards against slow databases delaying the others, even if more databases are slow than steps can run at once.
func TestConcurrentPromotions(t *testing.T) {
	w := newHarness(t)
	const count, stuck = 200, 800
	slow := &slowProber{fakeProber: w.prober}
	w.promoter.Prober = slow
	for i := range count {
		for _, m := range []string{"m1", "m2", "m3"} {
			n := fmt.Sprintf("db-%d", i)
			w.announce(lab.Announcement{Database: n, Member: m, Address: n + m, Region: "gulf-coast", Incarnation: 1})
		}
	}
	for i := range stuck {
		for _, m := range []string{"m1", "m2"} {
			n := fmt.Sprintf("a-%d", i)
			w.announce(lab.Announcement{Database: n, Member: m, Address: n + m, Region: "gulf-coast", Incarnation: 1})
		}
	}
	lock := make(chan struct{}, 1)
	propose := w.promoter.Propose
	w.promoter.Propose = func(ctx context.Context, c *labcatalog.Command) (labcatalog.Result, error) {
		lock <- struct{}{}
		defer func() { <-lock }()

		return propose(ctx, c)
	}
	begin := time.Now()
	w.promoter.Clock = realTimeClock{harness: w, begin: begin}
	for done := 0; done < count && time.Since(begin) < 10*time.Second; {
		w.promoter.Tick(context.Background(), w.promoter.Clock.Now())
		time.Sleep(time.Millisecond)
		done = 0
		for i := range count {
			if d, _ := w.catalog.Database(fmt.Sprintf("db-%d", i)); d.CurrentTerm() == 1 {
				done++
			}
		}
	}
	took := time.Since(begin)
	t.Logf("%d first terms with 20 ms per probe, %d databases stuck for 100 ms per step: %v", count, stuck, took)
	assert.Assert(t, took < 3*time.Second)
}

// realTimeClock is a clock that follows real time.
type realTimeClock struct {
	*harness
	begin time.Time
}

func (r realTimeClock) Now() time.Duration { return time.Since(r.begin) }

// slowProber takes 20 ms to respond to a probe. For databases whose name begins with "a-", it fails after 100 ms.
type slowProber struct{ *fakeProber }

func (c *slowProber) Status(ctx context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	if strings.HasPrefix(m.Database, "a-") {
		time.Sleep(100 * time.Millisecond)

		return lab.MemberStatus{}, errDown
	}
	time.Sleep(20 * time.Millisecond)

	return c.fakeProber.Status(ctx, m)
}
