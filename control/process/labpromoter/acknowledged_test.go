package labpromoter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumlock.dev/lab"
)

// traffic writes to the cluster by the gateways' rule: a write counts as acknowledged once one replica received it.
type traffic struct {
	*world
	random *rand.Rand
	holder string // member whose gateway may write; it changes only when the writes of the old one have ended
	acked  uint64
	terms  int
}

var members = []string{"m1", "m2", "m3"}

func (f *traffic) any() (string, *node) {
	n := members[f.random.IntN(len(members))]

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
		for _, n := range f.cluster.nodes {
			if n.up && n.recovery && n.at.Term == w.at.Term && n.at.Offset >= w.at.Offset {
				f.acked = w.at.Offset
			}
		}
	}
}

// replicate lets one replica receive some of the writer's log and acknowledges what it has.
func (f *traffic) replicate() {
	_, r := f.any()
	w := f.writer()
	if w == nil || !r.up || !r.recovery || !f.database().History.Fits(r.at) || r.at.Term > w.at.Term {
		return
	}
	r.at = lab.Position{Term: w.at.Term, Offset: min(w.at.Offset, r.at.Offset+uint64(f.random.IntN(12)))}
	if r.at.Offset > f.acked {
		f.acked = r.at.Offset
	}
}

// revive starts a member again, as it was or rewound to a replica of the term in force.
func (f *traffic) revive() {
	name, n := f.any()
	n.up = true
	if p, running := f.catalog.Promotion(database); !n.recovery && name != f.database().Primary &&
		(!running || (name != p.OldPrimary && name != p.Chosen)) {
		n.recovery = true
		n.at = f.database().History.Clamp(lab.Position{Term: min(n.at.Term, f.database().Term()), Offset: n.at.Offset})
	}
}

func (f *traffic) act() {
	switch f.random.IntN(14) {
	case 0:
		name, n := f.any()
		n.up = false
		f.lost(name, time.Second)
	case 1, 2, 3:
		f.revive()
	case 4, 5, 6:
		f.write()
	case 7, 8, 9:
		f.replicate()
	case 10:
		f.writesEnded = f.writesEnded || f.holder != f.database().Primary
	case 11:
		f.lead()
		f.lost(f.database().Primary, 0)
	default:
		f.now += 500 * time.Millisecond
		before := f.database().Term()
		_ = f.step() // steps fail while too few members are up
		if f.database().Term() > before {
			f.terms++
		}
		if p := f.database().Primary; p != "" && (f.writesEnded || f.holder == p) {
			f.holder, f.writesEnded = p, false
		}
	}
}

// Guards against acknowledged writes that the primary of a new term lacks, under losses of any members, members that
// return rewound or as they were, and changes of the leader.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	terms, acked := 0, uint64(0)
	rapid.Check(t, func(r *rapid.T) {
		f := &traffic{world: started(t), random: rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))}
		f.holder, f.writesEnded = "m1", false
		for range 2000 {
			f.act()
			d := f.database()
			if p := f.cluster.nodes[d.Primary]; p != nil && p.at.Offset < f.acked {
				r.Fatalf("primary %s is at %v, but writes up to %d were acknowledged; %v", d.Primary, p.at, f.acked, d.History)
			}
		}
		terms, acked = terms+f.terms, acked+f.acked
	})
	if terms == 0 {
		t.Fatal("no new term was ever started")
	}
	t.Logf("terms started: %d, bytes acknowledged: %d", terms, acked)
}
