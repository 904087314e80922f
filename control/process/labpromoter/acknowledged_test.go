package labpromoter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// writeWorkload writes to the simulated members. Like a gateway, it acknowledges a write once one replica has received
// it.
type writeWorkload struct {
	*harness
	random *rand.Rand
	// writingPrimary is the primary to which the gateway may write. It changes only after the writes to the previous
	// primary have ended.
	writingPrimary string
	view           *lab.Database // database state that the gateway has applied
	viewIndex      uint64        // log index of view
	memberNames    []string
	replaced       int    // number of members that were replaced
	acked          uint64 // highest acknowledged WAL offset
	terms          int    // number of primary terms that were started
}

func (f *writeWorkload) randomMember() (string, *fakeMember) {
	n := f.memberNames[f.random.IntN(len(f.memberNames))]

	return n, f.prober.members[n]
}

// writer returns the member that accepts writes now. The old primary accepts writes until the lease of its gateway
// expires.
func (f *writeWorkload) writer() *fakeMember {
	n := f.prober.members[f.writingPrimary]
	if n == nil || !n.up || n.recovery || (f.writesEnded && f.writingPrimary != f.database().Primary) {
		return nil
	}

	return n
}

func (f *writeWorkload) write() {
	if w := f.writer(); w != nil {
		w.position.Offset += 1 + uint64(f.random.IntN(9))
		for m, n := range f.prober.members {
			if _, counts := f.view.Member(m); counts && n.up && n.recovery && n.position.Term == w.position.Term && n.position.Offset >= w.position.Offset {
				f.acked = w.position.Offset
			}
		}
	}
}

// replicate lets a random replica receive some of the writer's WAL and acknowledges the writes that it has received.
func (f *writeWorkload) replicate() {
	name, r := f.randomMember()
	w := f.writer()
	if w == nil || !r.up || !r.recovery || !f.database().History.Contains(r.position) || r.position.Term > w.position.Term {
		return
	}
	r.position = lab.WALPosition{Term: w.position.Term, Offset: min(w.position.Offset, r.position.Offset+uint64(f.random.IntN(12)*(1+20*f.random.IntN(2))))}
	if _, counts := f.view.Member(name); counts && r.position.Offset > f.acked {
		f.acked = r.position.Offset
	}
}

// replace stops a random member permanently and announces a new, empty one.
func (f *writeWorkload) replace() {
	dead, n := f.randomMember()
	if len(f.database().Members)+len(f.catalog.Departing(database)) > 3 || f.database().Primary == dead || f.database().Primary == "" {
		return
	}
	n.up = false
	f.reportLoss(dead, 0)
	f.memberNames = slices.DeleteFunc(f.memberNames, func(m string) bool { return m == dead })
	name := fmt.Sprintf("m%d", len(f.prober.members)+1)
	f.memberNames = append(f.memberNames, name)
	f.prober.members[name] = &fakeMember{up: true, recovery: true, position: lab.WALPosition{Term: 1}}
	f.announce(lab.Announcement{Database: database, Member: name, Address: name, Region: "gulf-coast", Incarnation: 1})
}

// updateGateway lets the gateway apply the current catalog.
func (f *writeWorkload) updateGateway() {
	f.view, f.viewIndex = f.database(), f.index
}

// restartMember starts a random member again, either unchanged or rewound as a replica of the current primary term.
func (f *writeWorkload) restartMember() {
	name, n := f.randomMember()
	n.up = true
	if p, running := f.catalog.Promotion(database); !n.recovery && name != f.database().Primary &&
		(!running || (name != p.OldPrimary && name != p.Chosen)) {
		n.recovery = true
		n.position = f.database().History.Clamp(lab.WALPosition{Term: min(n.position.Term, f.database().CurrentTerm()), Offset: n.position.Offset})
	}
}

// changeLeader starts a new leader, to which the gateways repeat their reports.
func (f *writeWorkload) changeLeader() {
	f.startLeader()
	f.promoter.WriterAppliedIndex = func(string) uint64 {
		if f.writingPrimary != f.database().Primary {
			return 0
		}

		return f.viewIndex
	}
	for m, n := range f.prober.members {
		if !n.up {
			f.reportLoss(m, 0)
		}
	}
}

func (f *writeWorkload) runEvent() {
	switch f.random.IntN(18) {
	case 14:
		f.updateGateway()
	case 15:
		if f.random.IntN(8) == 0 {
			f.replace()
		}
	case 0:
		name, n := f.randomMember()
		n.up = false
		f.reportLoss(name, time.Second)
	case 1, 2, 3:
		f.restartMember()
	case 4, 5, 16, 17:
		f.write()
	case 6, 7, 8, 9:
		f.replicate()
	case 10:
		f.writesEnded = f.writesEnded || f.writingPrimary != f.database().Primary
	case 11:
		f.changeLeader()
	default:
		f.now += 2 * time.Second
		before, members := f.database().CurrentTerm(), len(f.catalog.Departing(database))
		_ = f.runSteps() // steps fail while too few members are up
		if f.database().CurrentTerm() > before {
			f.terms++
		}
		if len(f.catalog.Departing(database)) < members {
			f.replaced++
		}
		if p := f.database().Primary; p != "" && (f.writesEnded || f.writingPrimary == p) {
			if f.writingPrimary != p {
				f.updateGateway()
			}
			f.writingPrimary, f.writesEnded = p, false
		}
	}
}

// Guards against a primary of a new term that lacks acknowledged writes. The simulation stops members, restarts them
// unchanged or rewound, replaces them and changes the leader.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	terms, replaced, acked := 0, 0, uint64(0)
	rapid.Check(t, func(r *rapid.T) {
		f := &writeWorkload{harness: newBootstrapped(t), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))}
		f.writingPrimary, f.writesEnded, f.memberNames = "m1", false, []string{"m1", "m2", "m3"}
		f.updateGateway()
		f.changeLeader()
		for range 2000 {
			f.runEvent()
			d := f.database()
			if p := f.prober.members[d.Primary]; p != nil && p.position.Offset < f.acked {
				r.Fatalf("primary %s is at %v, but writes up to %d were acknowledged; %v", d.Primary, p.position, f.acked, d.History)
			}
		}
		terms, replaced, acked = terms+f.terms, replaced+f.replaced, acked+f.acked
	})
	if terms == 0 || replaced == 0 {
		t.Fatal("no new term was ever started, or no member was ever replaced")
	}
	t.Logf("terms started: %d, members replaced: %d, bytes acknowledged: %d", terms, replaced, acked)
}
