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

// started returns a world in its first term with m1 as the primary.
func started(t *testing.T) *world {
	w := newWorld(t)
	assert.NilError(t, w.step())
	w.primary("m1", 1)
	w.commits = 0

	return w
}

// Guards against a first term that starts on one member's word or with the wrong member.
func TestBootstrap(t *testing.T) {
	refuses := func(change func(*world)) func(*testing.T) {
		return func(t *testing.T) {
			w := newWorld(t)
			change(w)
			assert.Assert(t, w.step() != nil)
			w.primary("", 0)
		}
	}
	t.Run("one readable member", refuses(func(w *world) {
		w.cluster.nodes["m2"].up, w.cluster.nodes["m3"].up = false, false
	}))
	t.Run("two primaries", refuses(func(w *world) { w.cluster.nodes["m2"].recovery = false }))
	t.Run("no primary", refuses(func(w *world) { w.cluster.nodes["m1"].recovery = true }))
	t.Run("outdated primary", refuses(func(w *world) { w.cluster.nodes["m2"].at.Term = 2 }))
	t.Run("two readable members", func(t *testing.T) {
		w := newWorld(t)
		w.cluster.nodes["m3"].up = false
		assert.NilError(t, w.step())
		w.primary("m1", 1)
	})
}

// Guards against promotions that start too early, on the wrong word, or never.
func TestStart(t *testing.T) {
	t.Run("reachable from control", func(t *testing.T) {
		w := started(t)
		w.lost("m1", time.Second)
		assert.NilError(t, w.step())
		w.primary("m1", 1)
		w.now += labpromoter.ReachableWait - time.Second
		assert.NilError(t, w.step())
		w.primary("m3", 2)
	})
	t.Run("unreachable from control", func(t *testing.T) {
		w := started(t)
		w.fail("m1")
		assert.NilError(t, w.step())
		w.primary("m3", 2)
		assert.DeepEqual(t, w.database().History, lab.TermHistory{{Term: 1}, {Term: 2, Offset: 100}})
	})
	t.Run("reported by a gateway that doesn't write", func(t *testing.T) {
		w := started(t)
		w.promoter.Observe(w.now, "other", lab.MemberStatus{Database: database, Member: "m1", UnreachableFor: time.Minute})
		assert.NilError(t, w.step())
		w.primary("m1", 1)
	})
	t.Run("gateway is silent as well", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m1"].up = false
		w.promoter.Suspect(database, labpromoter.SuspectWait)
		assert.NilError(t, w.step())
		w.primary("m1", 1)
		w.now += labpromoter.SuspectWait
		assert.NilError(t, w.step())
		w.primary("m3", 2)
	})
	t.Run("address taken over", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m4"] = &node{up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 100}}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m1", Region: "gulf-coast", Incarnation: 1})
		assert.NilError(t, w.step())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
}

// Guards against a choice while the old primary can still acknowledge writes.
func TestWritesEnd(t *testing.T) {
	w := started(t)
	w.writesEnded = false
	w.fail("m1")
	assert.NilError(t, w.step())
	w.primary("", 1)
	w.cluster.nodes["m2"].at.Offset = 120
	w.writesEnded = true
	assert.NilError(t, w.step())
	w.primary("m2", 2)
}

// Guards against losing acknowledged writes by promoting from too few positions.
func TestTooFewMembers(t *testing.T) {
	t.Run("second member lost", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m2"].up = false
		w.fail("m1")
		assert.Assert(t, w.step() != nil)
		assert.Equal(t, len(w.cluster.promoted), 0)
		w.cluster.nodes["m2"].up = true
		assert.NilError(t, w.step())
		w.primary("m3", 2)
	})
	t.Run("second loss right after a repair", func(t *testing.T) {
		w := started(t)
		w.fail("m1")
		assert.NilError(t, w.step())
		w.cluster.nodes["m3"].at.Offset = 150
		w.fail("m3")
		assert.Assert(t, w.step() != nil)
		assert.DeepEqual(t, w.cluster.promoted, []string{"m3"})
	})
	t.Run("divergent old primary doesn't count", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m1"].at.Offset = 500
		w.fail("m1")
		assert.NilError(t, w.step())
		*w.cluster.nodes["m1"] = node{up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 500}}
		w.fail("m3")
		assert.Assert(t, w.step() != nil)
		assert.DeepEqual(t, w.cluster.promoted, []string{"m3"})
	})
	t.Run("member that promoted itself doesn't count", func(t *testing.T) {
		w := started(t)
		*w.cluster.nodes["m2"] = node{up: true, at: lab.WALPosition{Term: 1, Offset: 900}}
		w.fail("m1")
		assert.Assert(t, w.step() != nil)
		p, _ := w.catalog.Promotion(database)
		assert.Equal(t, p.Chosen, "")
	})
	t.Run("member of an unknown later term doesn't count", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m2"].at = lab.WALPosition{Term: 2, Offset: 900}
		w.fail("m1")
		assert.Assert(t, w.step() != nil)
	})
	t.Run("four members need three", func(t *testing.T) {
		w := started(t)
		w.cluster.nodes["m4"] = &node{recovery: true}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		w.fail("m1")
		assert.Assert(t, w.step() != nil)
		assert.Equal(t, len(w.cluster.promoted), 0)
	})
}

// Guards against promoting a replica that lacks a write which only the old primary and the unreadable member have.
func TestReinstate(t *testing.T) {
	w := started(t)
	w.writesEnded = false
	w.fail("m1")
	assert.NilError(t, w.step())
	w.cluster.nodes["m1"].up, w.cluster.nodes["m3"].up, w.writesEnded = true, false, true
	assert.NilError(t, w.step())
	w.primary("m1", 1)
	assert.Equal(t, len(w.cluster.promoted), 0)
	w.now += labpromoter.ReachableWait
	assert.NilError(t, w.step(), "the same reports don't end its writes at once")
	w.primary("m1", 1)
}

// Guards against a group that waits for a lost member although the old primary, which has every write, is back, and
// against reinstating one that a replica went past.
func TestReinstateOneOfFour(t *testing.T) {
	lost := func(t *testing.T, replica uint64) *world {
		w := started(t)
		w.cluster.nodes["m4"] = &node{recovery: true}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		w.cluster.nodes["m3"].up = false
		w.fail("m1")
		assert.Assert(t, w.step() != nil)
		w.cluster.nodes["m1"].up, w.cluster.nodes["m2"].at.Offset = true, replica

		return w
	}
	t.Run("most advanced", func(t *testing.T) {
		w := lost(t, 100)
		assert.NilError(t, w.step())
		w.primary("m1", 1)
	})
	t.Run("alone", func(t *testing.T) {
		w := lost(t, 100)
		w.cluster.nodes["m2"].up = false
		assert.Assert(t, w.step() != nil)
		w.primary("", 1)
	})
	t.Run("behind a replica", func(t *testing.T) {
		w := lost(t, 101)
		assert.Assert(t, w.step() != nil)
		w.primary("", 1)
	})
}

// Guards against comparing positions by term first: a replica that streams term 2 but hasn't reached its switch point
// has less than one that received term 1 up to it. Found by TestAcknowledgedWritesSurvive with seed 14.
func TestReplicaBeforeSwitchPoint(t *testing.T) {
	w := started(t)
	w.cluster.nodes["m2"].at.Offset = 70
	w.fail("m1")
	assert.NilError(t, w.step())
	w.primary("m3", 2)
	*w.cluster.nodes["m1"] = node{up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 100}}
	w.cluster.nodes["m2"].at.Term = 2
	w.fail("m3")
	assert.NilError(t, w.step())
	w.primary("m1", 3)
}

// Guards against a replica without a stream, which reports no timeline, never becoming the primary.
func TestReplicaWithoutStream(t *testing.T) {
	w := started(t)
	for _, m := range []string{"m2", "m3"} {
		w.promoter.Observe(w.now, "gateway", lab.MemberStatus{
			Database: database, Member: m, Reachable: true, InRecovery: true, Received: w.cluster.nodes[m].at,
		})
		w.cluster.nodes[m].at.Term = 0
	}
	w.fail("m1")
	progress, err := w.promoter.Step(context.Background(), w.now, database)
	assert.Assert(t, progress && err == nil)
	progress, err = w.promoter.Step(context.Background(), w.now, database)
	assert.Assert(t, progress && err == nil)
	p, _ := w.catalog.Promotion(database)
	assert.Equal(t, p.Chosen, "m3")
	assert.Equal(t, p.Position, lab.WALPosition{Term: 1, Offset: 100})
}

// Guards against a promotion that stops or runs twice when the leader dies between two steps.
func TestResume(t *testing.T) {
	resumes := func(prepare func(*world)) func(*testing.T) {
		return func(t *testing.T) {
			w := started(t)
			prepare(w)
			w.fail("m1")
			for range 5 {
				if err := w.step(); err != nil {
					t.Log(err)
				}
			}
			w.primary("m3", 2)
			assert.DeepEqual(t, w.cluster.promoted, []string{"m3"})
			assert.DeepEqual(t, w.database().History, lab.TermHistory{{Term: 1}, {Term: 2, Offset: 100}})
		}
	}
	for i, step := range []string{"promotion_started", "promotion_chosen", "term_started"} {
		t.Run("before "+step, resumes(func(w *world) { w.dieBefore = i + 1 }))
		t.Run("after "+step, resumes(func(w *world) { w.dieAfter = i + 1 }))
	}
}

// Guards against an instance that promotes a member after another instance took over.
func TestDeposed(t *testing.T) {
	w := started(t)
	w.deposed = lab.ErrOutcomeUnknown
	w.fail("m1")
	assert.ErrorIs(t, w.step(), errEndless)
	assert.Equal(t, len(w.cluster.promoted), 0)
}

// Guards against waiting for ever for a chosen member that was lost, and against trusting one whose data was replaced.
func TestChooseAgain(t *testing.T) {
	chosen := func(t *testing.T) *world {
		w := started(t)
		w.cluster.nodes["m2"].at.Offset = 100
		w.fail("m1")
		w.dieAfter = 2
		w.promoter.Propose = func(f func(context.Context, *labcatalog.Command) (labcatalog.Result, error)) func(context.Context, *labcatalog.Command) (labcatalog.Result, error) {
			return func(ctx context.Context, c *labcatalog.Command) (labcatalog.Result, error) {
				r, err := f(ctx, c)
				if c.Chosen != nil && w.commits == 2 {
					w.cluster.nodes[c.Chosen.Member].up = false
					w.cluster.nodes["m1"].up = true
					w.cluster.nodes["m1"].recovery = true
				}

				return r, err
			}
		}(w.promoter.Propose)

		return w
	}
	t.Run("lost", func(t *testing.T) {
		w := chosen(t)
		assert.Assert(t, w.step() != nil)
		w.primary("", 1)
		w.now += labpromoter.RechooseAfter
		assert.NilError(t, w.step())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
		assert.Equal(t, len(w.cluster.promoted), 1)
	})
	t.Run("data replaced", func(t *testing.T) {
		w := chosen(t)
		assert.Assert(t, w.step() != nil)
		p, _ := w.catalog.Promotion(database)
		*w.cluster.nodes[p.Chosen] = node{up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 5}}
		assert.NilError(t, w.step())
		assert.Assert(t, w.database().Primary != p.Chosen)
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
}

// Guards against a dead member that counts for ever, so that the next loss right after its replacement stops
// promotion, and against forgetting it while only it may have an acknowledged write.
func TestReplacedMember(t *testing.T) {
	replaced := func(t *testing.T, confirmed uint64, caughtUp bool) *world {
		w := started(t)
		w.promoter.Confirmed = func(string) uint64 { return confirmed }
		w.fail("m2")
		w.cluster.nodes["m4"] = &node{up: true, recovery: true, at: lab.WALPosition{Term: 1, Offset: 50}}
		w.announce(lab.Announcement{Database: database, Member: "m4", Address: "m4", Region: "gulf-coast", Incarnation: 1})
		assert.NilError(t, w.step())
		assert.Equal(t, len(w.database().Members), 4)
		if caughtUp {
			w.cluster.nodes["m4"].at.Offset = 100
		}
		w.now += labpromoter.DepartAfter
		if err := w.step(); err != nil {
			t.Log(err)
		}
		assert.Equal(t, len(w.database().Members), 3)

		return w
	}
	waits := func(confirmed uint64, caughtUp bool) func(*testing.T) {
		return func(t *testing.T) {
			w := replaced(t, confirmed, caughtUp)
			assert.Equal(t, len(w.catalog.Departing(database)), 1)
			w.fail("m1")
			assert.Assert(t, w.step() != nil)
			assert.Equal(t, len(w.cluster.promoted), 0)
		}
	}
	t.Run("gateway may still count on it", waits(1, true))
	t.Run("others lack its writes", waits(1000, false))
	t.Run("second loss right after the repair", func(t *testing.T) {
		w := replaced(t, 1000, true)
		assert.Equal(t, len(w.catalog.Departing(database)), 0)
		w.fail("m1")
		assert.NilError(t, w.step())
		assert.Equal(t, w.database().CurrentTerm(), lab.PrimaryTerm(2))
	})
	t.Run("returns", func(t *testing.T) {
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

// Guards against a leaving primary's successor that hasn't caught up.
func TestLeaving(t *testing.T) {
	w := started(t)
	w.cluster.nodes["m3"].at.Offset = 95
	w.announce(lab.Announcement{
		Database: database, Member: "m1", Address: "m1", Region: "gulf-coast", Incarnation: 1, Draining: true,
	})
	assert.NilError(t, w.step())
	w.primary("", 1)
	w.cluster.nodes["m3"].at.Offset = 100
	assert.NilError(t, w.step())
	w.primary("m3", 2)
}

// Guards against slow databases holding up the others, even if more of them are stuck than steps can run at once.
func TestConcurrentPromotions(t *testing.T) {
	w := newWorld(t)
	const count, stuck = 200, 800
	slow := &slowCluster{cluster: w.cluster}
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
	w.promoter.Clock = running{world: w, begin: begin}
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

// running is a clock that advances by itself.
type running struct {
	*world
	begin time.Time
}

func (r running) Now() time.Duration { return time.Since(r.begin) }

// slowCluster takes 20 ms to answer a probe, and fails after 100 ms for some databases.
type slowCluster struct{ *cluster }

func (c *slowCluster) Status(ctx context.Context, m lab.Announcement) (lab.MemberStatus, error) {
	if strings.HasPrefix(m.Database, "a-") {
		time.Sleep(100 * time.Millisecond)

		return lab.MemberStatus{}, errDown
	}
	time.Sleep(20 * time.Millisecond)

	return c.cluster.Status(ctx, m)
}
