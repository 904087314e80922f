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

// traffic writes to the cluster by the gateways' rule: a write counts as acknowledged once one replica received it.
type traffic struct {
	*world
	random *rand.Rand
	holder string        // member whose gateway may write; it changes only when the writes of the old one have ended
	view   *lab.Database // state of the database in force at the gateway that writes
	seen   uint64        // its log index
	names  []string
	gone   int // members that were replaced
	acked  uint64
	terms  int
}

func (f *traffic) any() (string, *node) {
	n := f.names[f.random.IntN(len(f.names))]

	return n, f.cluster.nodes[n]
}

// writer returns the member that accepts writes now, also the old primary until its lease ends.
func (f *traffic) writer() *node {
	n := f.cluster.nodes[f.holder]
	if n == nil || !n.up || n.recovery || (f.writesEnded && f.holder != f.database().Primary) {
		return nil
	}

	return n
}

func (f *traffic) write() {
	if w := f.writer(); w != nil {
		w.at.Offset += 1 + uint64(f.random.IntN(9))
		for m, n := range f.cluster.nodes {
			if _, counts := f.view.Member(m); counts && n.up && n.recovery && n.at.Term == w.at.Term && n.at.Offset >= w.at.Offset {
				f.acked = w.at.Offset
			}
		}
	}
}

// replicate lets one replica receive some of the writer's log and acknowledges what it has.
func (f *traffic) replicate() {
	name, r := f.any()
	w := f.writer()
	if w == nil || !r.up || !r.recovery || !f.database().History.Contains(r.at) || r.at.Term > w.at.Term {
		return
	}
	r.at = lab.WALPosition{Term: w.at.Term, Offset: min(w.at.Offset, r.at.Offset+uint64(f.random.IntN(12)*(1+20*f.random.IntN(2))))}
	if _, counts := f.view.Member(name); counts && r.at.Offset > f.acked {
		f.acked = r.at.Offset
	}
}

// replace ends a member for good and announces a new, empty one.
func (f *traffic) replace() {
	dead, n := f.any()
	if len(f.database().Members)+len(f.catalog.Departing(database)) > 3 || f.database().Primary == dead || f.database().Primary == "" {
		return
	}
	n.up = false
	f.lost(dead, 0)
	f.names = slices.DeleteFunc(f.names, func(m string) bool { return m == dead })
	name := fmt.Sprintf("m%d", len(f.cluster.nodes)+1)
	f.names = append(f.names, name)
	f.cluster.nodes[name] = &node{up: true, recovery: true, at: lab.WALPosition{Term: 1}}
	f.announce(lab.Announcement{Database: database, Member: name, Address: name, Region: "gulf-coast", Incarnation: 1})
}

// confirm brings the catalog in force at the gateway that writes.
func (f *traffic) confirm() {
	f.view, f.seen = f.database(), f.index
}

// revive starts a member again, as it was or rewound to a replica of the term in force.
func (f *traffic) revive() {
	name, n := f.any()
	n.up = true
	if p, running := f.catalog.Promotion(database); !n.recovery && name != f.database().Primary &&
		(!running || (name != p.OldPrimary && name != p.Chosen)) {
		n.recovery = true
		n.at = f.database().History.Clamp(lab.WALPosition{Term: min(n.at.Term, f.database().CurrentTerm()), Offset: n.at.Offset})
	}
}

// take begins a new leadership, to which gateways report again.
func (f *traffic) take() {
	f.lead()
	f.promoter.Confirmed = func(string) uint64 {
		if f.holder != f.database().Primary {
			return 0
		}

		return f.seen
	}
	for m, n := range f.cluster.nodes {
		if !n.up {
			f.lost(m, 0)
		}
	}
}

func (f *traffic) act() {
	switch f.random.IntN(18) {
	case 14:
		f.confirm()
	case 15:
		if f.random.IntN(8) == 0 {
			f.replace()
		}
	case 0:
		name, n := f.any()
		n.up = false
		f.lost(name, time.Second)
	case 1, 2, 3:
		f.revive()
	case 4, 5, 16, 17:
		f.write()
	case 6, 7, 8, 9:
		f.replicate()
	case 10:
		f.writesEnded = f.writesEnded || f.holder != f.database().Primary
	case 11:
		f.take()
	default:
		f.now += 2 * time.Second
		before, members := f.database().CurrentTerm(), len(f.catalog.Departing(database))
		_ = f.step() // steps fail while too few members are up
		if f.database().CurrentTerm() > before {
			f.terms++
		}
		if len(f.catalog.Departing(database)) < members {
			f.gone++
		}
		if p := f.database().Primary; p != "" && (f.writesEnded || f.holder == p) {
			if f.holder != p {
				f.confirm()
			}
			f.holder, f.writesEnded = p, false
		}
	}
}

// Guards against acknowledged writes that the primary of a new term lacks, under losses of any members, members that
// return rewound or as they were, and changes of the leader.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	terms, gone, acked := 0, 0, uint64(0)
	rapid.Check(t, func(r *rapid.T) {
		f := &traffic{world: started(t), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))}
		f.holder, f.writesEnded, f.names = "m1", false, []string{"m1", "m2", "m3"}
		f.confirm()
		f.take()
		for range 2000 {
			f.act()
			d := f.database()
			if p := f.cluster.nodes[d.Primary]; p != nil && p.at.Offset < f.acked {
				r.Fatalf("primary %s is at %v, but writes up to %d were acknowledged; %v", d.Primary, p.at, f.acked, d.History)
			}
		}
		terms, gone, acked = terms+f.terms, gone+f.gone, acked+f.acked
	})
	if terms == 0 || gone == 0 {
		t.Fatal("no new term was ever started, or no member was ever replaced")
	}
	t.Logf("terms started: %d, members replaced: %d, bytes acknowledged: %d", terms, gone, acked)
}
