package labreplica_test

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

// Guards against two membership changes that are uncommitted at the same time. Their quorums need not intersect.
func TestOneChangeAtATime(t *testing.T) {
	r := newReplica(t, lab.HardState{Term: 3})
	now, term := elect(t, r)
	commit := func(index uint64) {
		stepAll(t, r, now, labreplica.Message{
			Kind: labreplica.KindAppendResponse, From: "b", Term: term, Index: index, SentAt: now,
		})
		r.Output()
		r.Persisted()
	}
	add := func(id lab.InstanceID) error {
		_, _, err := r.Change(now, labreplica.Change{Kind: labreplica.ChangeAddLearner, Instance: id})

		return err
	}

	assert.ErrorIs(t, add("d"), labreplica.ErrChangePending, "before the first entry of the term is committed")
	commit(1)
	assert.NilError(t, add("d"))
	assert.ErrorIs(t, add("e"), labreplica.ErrChangePending)
	commit(2)
	assert.NilError(t, add("e"))
	assert.Equal(t, fmt.Sprint(r.Membership()), "{[a b c] [d e] map[d:2 e:3]}")
}

// Guards against a membership that remains in effect after its entry was replaced.
func TestReplacedChange(t *testing.T) {
	b, err := msgpack.Marshal(labreplica.Membership{Voters: []lab.InstanceID{"a", "b", "c", "d"}})
	assert.NilError(t, err)

	r := newReplica(t, lab.HardState{})
	add := func(term uint64, data []byte) {
		stepAll(t, r, second, labreplica.Message{
			Kind: labreplica.KindAppend, From: "b", Term: term, Entries: []lab.LogEntry{{Index: 1, Term: term, Data: data}},
		})
	}

	add(1, append([]byte{2}, b...))
	assert.Equal(t, fmt.Sprint(r.Membership()), "{[a b c d] [] map[]}")
	add(2, nil)
	assert.Equal(t, fmt.Sprint(r.Membership()), "{[a b c] [] map[]}")
}

// Guards against a learner that is promoted before it has caught up.
func TestPromotionWaits(t *testing.T) {
	c := newSimulatedCluster(t, 31, 3, 1)
	l := c.waitLeader()
	c.propose(l, 60)
	c.change(labreplica.ChangeAddLearner, "j0")
	c.isolate(c.node("j0"), true)
	c.run(second)
	c.propose(l, 60)
	c.run(second)

	promote := labreplica.Change{Kind: labreplica.ChangePromote, Instance: "j0"}
	_, _, err := l.replica.Change(c.now, promote)
	assert.ErrorIs(t, err, labreplica.ErrLearnerBehind)

	c.heal()
	c.change(promote.Kind, promote.Instance)
	c.converge()
}
