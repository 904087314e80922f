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

// writeWorkload writes to the cluster by the gateways' rule: a write counts as acknowledged once one replica received it.
type writeWorkload struct {
	*harness
	random         *rand.Rand
	writingPrimary string        // member whose gateway may write; it changes only when the writes of the old one have ended
	view           *lab.Database // state of the database in force at the gateway that writes
	viewIndex      uint64        // its log index
	memberNames    []string
	replaced       int // members that were replaced
	acked          uint64
	terms          int
}

func (f *writeWorkload) randomMember() (string, *fakeMember) {
	n := f.memberNames[f.random.IntN(len(f.memberNames))]

	return n, f.prober.members[n]
}

// writer returns the member that accepts writes now, also the old primary until its lease ends.
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

// replicate lets one replica receive some of the writer's log and acknowledges what it has.
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

// replace ends a member for good and announces a new, empty one.
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

// updateGateway brings the catalog in force at the gateway that writes.
func (f *writeWorkload) updateGateway() {
	f.view, f.viewIndex = f.database(), f.index
}

// restartMember starts a member again, as it was or rewound to a replica of the term in force.
func (f *writeWorkload) restartMember() {
	name, n := f.randomMember()
	n.up = true
	if p, running := f.catalog.Promotion(database); !n.recovery && name != f.database().Primary &&
		(!running || (name != p.OldPrimary && name != p.Chosen)) {
		n.recovery = true
		n.position = f.database().History.Clamp(lab.WALPosition{Term: min(n.position.Term, f.database().CurrentTerm()), Offset: n.position.Offset})
	}
}

// changeLeader begins a new leadership, to which gateways report again.
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

// Guards against acknowledged writes that the primary of a new term lacks, under losses of any members, members that
// return rewound or as they were, and changes of the leader.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	terms, gone, acked := 0, 0, uint64(0)
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
		terms, gone, acked = terms+f.terms, gone+f.replaced, acked+f.acked
	})
	if terms == 0 || gone == 0 {
		t.Fatal("no new term was ever started, or no member was ever replaced")
	}
	t.Logf("terms started: %d, members replaced: %d, bytes acknowledged: %d", terms, gone, acked)
}
