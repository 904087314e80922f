package labmemberlist

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/process/labpack"
	"laburnumlock.dev/lab/process/labrandom"
)

// receiver follows a list as a proxy does.
type receiver struct {
	revision uint64
	members  map[string]lab.Announcement
	whole    int // number of whole lists received
}

func (r *receiver) follow(t *testing.T, l *List) {
	t.Helper()

	a, err := l.Since(r.revision, true)
	assert.NilError(t, err)

	switch {
	case len(a.Whole) > 0:
		var list lab.MemberList

		assert.NilError(t, labpack.Decode(a.Whole, &list))

		r.members, r.whole = map[string]lab.Announcement{}, r.whole+1
		for _, m := range list.Members {
			r.members[m.Member] = m
		}
	case len(a.Changes) > 0:
		var c lab.MemberChanges

		assert.NilError(t, labpack.Decode(a.Changes, &c))

		for _, n := range c.Removed {
			delete(r.members, n.Member)
		}

		for _, m := range c.Set {
			r.members[m.Member] = m
		}
	default:
		return
	}

	assert.Assert(t, a.Revision > r.revision, "an earlier revision replaces a later one")
	r.revision = a.Revision
}

func member(name string, incarnation uint64) lab.Announcement {
	return lab.Announcement{Database: "s", Member: name, Address: "127.0.0.1:1", Incarnation: incarnation}
}

// relay makes a list follow another one as a control instance follows the leader.
func relay(t *testing.T, from, to *List, accepts bool) {
	t.Helper()

	since := to.Revision()

	a, err := from.Since(since, accepts)
	assert.NilError(t, err)

	if len(a.Whole) > 0 {
		var list lab.MemberList

		assert.NilError(t, labpack.Decode(a.Whole, &list))
		to.Replace(list, a.Complete, a.Revision)
	}

	if len(a.Changes) > 0 {
		var c lab.MemberChanges

		assert.NilError(t, labpack.Decode(a.Changes, &c))
		to.Apply(since, c, a.Complete, a.Revision)
	}
}

// Guards against a removed member that comes back and a change that a proxy never gets, while proxies move between
// control instances that are behind, the leader changes, and a former leader goes on for a while.
func TestReceivers(t *testing.T) {
	for seed := range uint64(30) {
		random := labrandom.NewSeeded(seed)
		pick := func(n int) int { return int(random.Uint64() % uint64(n)) }

		lists := []*List{{}, {}, {}}
		proxies := make([]receiver, 4)
		contents := map[uint64]map[string]lab.Announcement{} // by revision
		leader, former, term := 0, -1, uint64(1)

		publish := func(i int, term uint64) {
			next, ok := lists[i].Next(term)
			if !ok {
				return
			}

			name := fmt.Sprint("m", pick(6))

			var c lab.MemberChanges

			if _, known := lists[i].Member(name); known && pick(2) == 0 {
				c.Removed = []lab.MemberName{{Service: "s", Member: name}}
			} else {
				c.Set = []lab.Announcement{member(name, uint64(pick(2)))}
			}

			lists[i].Apply(lists[i].Revision(), c, true, next)

			contents[next] = map[string]lab.Announcement{}
			for _, m := range lists[i].Members() {
				contents[next][m], _ = lists[i].Member(m)
			}
		}

		check := func(p *receiver) {
			assert.Assert(t, maps.Equal(p.members, contents[p.revision]), "seed %d: %v, want %v", seed, p.members, contents[p.revision])
		}

		for range 200 {
			switch pick(20) {
			case 0:
				former, leader, term = leader, pick(3), term+1
			case 1, 2, 3, 4:
				publish(leader, term)
			case 5:
				if former >= 0 && former != leader {
					publish(former, term-1)
				}
			case 6, 7, 8, 9, 10:
				relay(t, lists[leader], lists[pick(3)], pick(4) > 0)
			default:
				p := &proxies[pick(len(proxies))]
				p.follow(t, lists[pick(3)])

				if p.revision > 0 {
					check(p)
				}
			}
		}

		publish(leader, term)

		for i := range proxies {
			proxies[i].follow(t, lists[leader])
			check(&proxies[i])
			assert.Equal(t, proxies[i].revision, lists[leader].Revision(), "seed %d", seed)
		}
	}
}

// Guards against whole lists for receivers that need only changes.
func TestSince(t *testing.T) {
	start := func() (*List, *receiver) {
		l, r := &List{}, &receiver{}
		n, _ := l.Next(1)
		l.Apply(0, lab.MemberChanges{Set: []lab.Announcement{member("a", 1), member("b", 1)}}, false, n)
		r.follow(t, l)

		return l, r
	}

	t.Run("changes", func(t *testing.T) {
		l, r := start()
		n, _ := l.Next(1)
		l.Apply(l.Revision(), lab.MemberChanges{Set: []lab.Announcement{member("a", 2)}}, false, n)
		r.follow(t, l)
		assert.Assert(t, r.whole == 1 && r.members["a"].Incarnation == 2)
	})

	t.Run("a new leader with the list of the former one", func(t *testing.T) {
		l, r := start()
		n, _ := l.Next(2)
		l.Apply(l.Revision(), lab.MemberChanges{Removed: []lab.MemberName{{Service: "s", Member: "b"}}}, true, n)
		r.follow(t, l)
		assert.Assert(t, r.whole == 1 && len(r.members) == 1)
	})

	t.Run("a receiver that doesn't know changes", func(t *testing.T) {
		l, r := start()
		n, _ := l.Next(1)
		l.Apply(l.Revision(), lab.MemberChanges{}, true, n)

		a, err := l.Since(r.revision, false)
		assert.NilError(t, err)
		assert.Assert(t, len(a.Whole) > 0 && len(a.Changes) == 0 && a.Complete)
	})

	t.Run("too many removed members", func(t *testing.T) {
		l, r := start()

		var c lab.MemberChanges
		for i := range maxRemoved + 1 {
			c.Removed = append(c.Removed, lab.MemberName{Service: "s", Member: fmt.Sprint(i)})
		}

		n, _ := l.Next(1)
		l.Apply(l.Revision(), c, true, n)
		r.follow(t, l)
		assert.Equal(t, r.whole, 2)
	})

	t.Run("changes of another revision are ignored", func(t *testing.T) {
		l, _ := start()
		before := l.Revision()
		l.Apply(before-1, lab.MemberChanges{}, true, before+5)
		l.Replace(lab.MemberList{}, true, before)
		assert.Equal(t, l.Revision(), before)
	})
}
