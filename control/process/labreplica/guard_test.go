package labreplica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
	"laburnumlock.dev/lab/control/process/labreplica"
)

const second = time.Second

func newReplica(t *testing.T, state lab.HardState, entries ...lab.LogEntry) *labreplica.Replica {
	t.Helper()

	r := &labreplica.Replica{ID: "a", Random: rand.NewPCG(1, 1)}
	s := lab.LogSnapshot{Voters: []lab.InstanceID{"a", "b", "c"}}
	assert.NilError(t, r.Start(0, state, s, entries))

	return r
}

func stepAll(t *testing.T, r *labreplica.Replica, now time.Duration, messages ...labreplica.Message) {
	t.Helper()

	for _, m := range messages {
		m.To = "a"
		assert.NilError(t, r.Step(now, m))
	}
}

// grantedVotes returns the number of responses that grant a vote.
func grantedVotes(messages []labreplica.Message) int {
	n := 0

	for _, m := range messages {
		if m.Kind == labreplica.KindVoteResponse && !m.Reject {
			n++
		}
	}

	return n
}

// Guards against voting twice in a term because a replica crashes after it sent the response but before it persisted
// the vote.
func TestVoteIsPersistedFirst(t *testing.T) {
	voteRequest := func(from lab.InstanceID) labreplica.Message {
		return labreplica.Message{Kind: labreplica.KindVote, From: from, Term: 5}
	}

	// The first replica crashes after sending the immediate messages, so nothing of its output is persisted.
	r := newReplica(t, lab.HardState{Term: 4})
	stepAll(t, r, second, voteRequest("b"))
	before := grantedVotes(r.Output().ImmediateMessages)

	r = newReplica(t, lab.HardState{Term: 4})
	stepAll(t, r, second, voteRequest("c"))
	o := r.Output()
	assert.Equal(t, before+grantedVotes(o.ImmediateMessages)+grantedVotes(o.Messages), 1)
	assert.DeepEqual(t, *o.State, lab.HardState{Term: 5, VotedFor: "c"})

	t.Run("second vote", func(t *testing.T) {
		r := newReplica(t, *o.State)
		stepAll(t, r, second, voteRequest("b"))
		assert.Equal(t, grantedVotes(r.Output().Messages), 0)
	})
}

// elect makes the replica the leader of the next term.
func elect(t *testing.T, r *labreplica.Replica) (now time.Duration, term uint64) {
	t.Helper()

	now, term = second, r.Term()+1
	r.Tick(now)
	r.Output()
	r.Persisted()
	stepAll(t, r, now, labreplica.Message{Kind: labreplica.KindPreVoteResponse, From: "b", Term: term})
	assert.Equal(t, r.Leading(), false)
	r.Output()
	r.Persisted()
	stepAll(t, r, now, labreplica.Message{Kind: labreplica.KindVoteResponse, From: "b", Term: term})
	assert.Equal(t, r.Leading(), true)
	r.Output()
	r.Persisted()

	return now, term
}

// Guards against committing an entry of an earlier term because a quorum holds it. A later leader could still replace
// such an entry.
func TestCommitsOnlyOwnTerm(t *testing.T) {
	r := newReplica(t, lab.HardState{Term: 3}, lab.LogEntry{Index: 1, Term: 1}, lab.LogEntry{Index: 2, Term: 2})
	now, term := elect(t, r)

	appendResponse := func(index uint64) labreplica.Message {
		return labreplica.Message{Kind: labreplica.KindAppendResponse, From: "b", Term: term, Index: index, SentAt: now}
	}

	stepAll(t, r, now, appendResponse(2))
	assert.Equal(t, len(r.Output().Committed), 0)

	stepAll(t, r, now, appendResponse(3))
	assert.Equal(t, len(r.Output().Committed), 3)
}

// Guards against a leader that counts its own entries towards the quorum before they are persisted.
func TestOwnEntryCountsOnceSynced(t *testing.T) {
	r := newReplica(t, lab.HardState{Term: 3})
	now, term := elect(t, r)
	_, _, err := r.Propose(now, []byte("x"))
	assert.NilError(t, err)
	stepAll(t, r, now, labreplica.Message{
		Kind: labreplica.KindAppendResponse, From: "b", Term: term, Index: 2, SentAt: now,
	})
	assert.Equal(t, len(r.Output().Committed), 1)
	r.Persisted()
	assert.Equal(t, len(r.Output().Committed), 1)
}

// Guards against a follower that raises its term while it is isolated and then deposes the leader when it returns.
func TestReturningFollower(t *testing.T) {
	c := newSimulatedCluster(t, 7, 3, 0)
	l := c.waitLeader()
	term := l.replica.Term()

	for _, n := range c.nodes {
		if n != l {
			c.isolate(n, true)
			c.run(3 * second)
			c.blocked = map[link]bool{}
			c.run(2 * second)
			assert.Equal(t, l.replica.Leading() && l.replica.Term() == term, true, "leader was deposed by %s", n.id)
		}
	}
}

// Guards against an isolated leader that confirms barriers or keeps leading.
func TestIsolatedLeader(t *testing.T) {
	for name, bothWays := range map[string]bool{"both ways": true, "outgoing only": false} {
		t.Run(name, func(t *testing.T) {
			c := newSimulatedCluster(t, 11, 5, 0)
			l := c.waitLeader()
			c.isolate(l, bothWays)
			c.run(25 * time.Millisecond) // the responses that are already in transit arrive
			c.barrier(l)
			// A leader steps down when the last quorum contact is ElectionMin ago. When the isolation began, this contact may
			// already have been a heartbeat interval and a round trip ago.
			c.run(150 * time.Millisecond)
			assert.Equal(t, l.replica.Leading(), true, "stepped down before the election timeout")
			c.barrier(l)
			c.run(150 * time.Millisecond)
			assert.Equal(t, l.replica.Leading(), false, "leads without a quorum")
			assert.Equal(t, l.confirmedBarriers, 0, "confirmed a barrier without a quorum")
			c.run(2 * second)
			assert.Assert(t, c.leading()[0] != l)
			c.converge()
		})
	}
}

// Guards against a leader that still considers itself the leader when its process resumes after a long pause.
func TestPausedLeader(t *testing.T) {
	c := newSimulatedCluster(t, 13, 3, 0)
	l := c.waitLeader()
	l.paused = true
	c.run(2 * second)

	_, err := l.replica.Barrier(c.now)
	assert.ErrorIs(t, err, lab.ErrNotLeader)
	c.converge()
}

// Guards against a vote right after a restart. The replica may have had contact with a leader just before the restart,
// so it must not help to depose that leader.
func TestRestartedFollowerKeepsLease(t *testing.T) {
	r := newReplica(t, lab.HardState{Term: 4})
	stepAll(t, r, 100*time.Millisecond, labreplica.Message{Kind: labreplica.KindVote, From: "b", Term: 5})
	assert.Equal(t, grantedVotes(r.Output().Messages), 0)
	assert.Equal(t, r.Term(), uint64(4))
}

// Guards against followers that acknowledge entries before these are persisted. Both followers crash while they persist
// an entry, so the entry must not be committed.
func TestAnswerFollowsSync(t *testing.T) {
	c := newSimulatedCluster(t, 41, 3, 0)
	l := c.waitLeader()
	before := c.committed
	c.propose(l, 1)

	for _, n := range c.nodes {
		if n != l {
			n.crashIn = 2 // a message that is sent too early, before the entry is persisted, precedes the crash
		}
	}

	c.run(100 * time.Millisecond)
	assert.Equal(t, c.committed, before)
	c.converge()
}
