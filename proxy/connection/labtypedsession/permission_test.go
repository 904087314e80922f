package labtypedsession

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// executed returns the number of operations of the kind that members have received.
func (f *fixture) executed(kind lab.OperationKind) int {
	f.service.mutex.Lock()
	defer f.service.mutex.Unlock()

	n := 0

	for _, e := range f.service.executed {
		if e.kind == kind {
			n++
		}
	}

	return n
}

// during calls the function while a member runs an operation of the kind.
func (f *fixture) during(kind lab.OperationKind, call func()) {
	f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
		if o.Kind == kind {
			call()
		}

		return lab.OperationResult{}, nil
	}
}

// withdraw withdraws the permission and waits until the list is confirmed without the commits under way.
func (f *fixture) withdraw() {
	f.grant()

	p := f.directory.Permissions()
	for w, ok := p.DrainsIn(); ok; w, ok = p.DrainsIn() {
		time.Sleep(w)
	}
}

func (f *fixture) assertNothingLearned() {
	f.t.Helper()

	assert.Assert(f.t, f.session.lastCommit.IsZero(), "a commit that may be lost is no promise")

	_, _, ok := f.directory.PrimaryHistory("s").Newest()
	assert.Assert(f.t, !ok, "a commit that may be lost is no position of the service")
}

// assertDrained checks that the newest list waits for no commit.
func (f *fixture) assertDrained() {
	f.t.Helper()

	r := f.directory.Permissions().Report()
	assert.Equal(f.t, r.Confirmed, r.Applied)
}

func prepareWrite(o *lab.Operation) { o.Name, o.Argument, o.Writes = "s1", "q", true }
func executeWrite(o *lab.Operation) { o.Name, o.Argument = "s1", "x" }

// TestWritePermission checks that control can depose a primary without losing a write that was acknowledged.
func TestWritePermission(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    lab.OperationKind
		change  func(*lab.Operation)
		members []string
	}{
		{"write without permission", lab.OperationWrite, func(*lab.Operation) {}, nil},
		{"execution of a write without permission", lab.OperationExecute, executeWrite, nil},
		// The member leads by its own word, and control has named another.
		{"write with a permission for another member", lab.OperationWrite, func(*lab.Operation) {}, []string{"b"}},
	} {
		t.Run(c.name+" is not sent", func(t *testing.T) {
			f := newFixture(t, lab.ConsistencyPrimary)
			f.do(lab.OperationPrepare, prepareWrite)
			f.grant(c.members...)

			r := f.do(c.kind, c.change)
			assert.Equal(t, r.Fault, lab.FaultBusy)
			assert.Equal(t, r.Detail, noPermission)
			f.assertExecuted()
			assert.Equal(t, f.service.dialed["a"], 0, "a write that waits holds no connection")
		})
	}

	t.Run("write goes on once it is permitted", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.grant()
		time.AfterFunc(testTimeout/4, func() { f.grant("a") })

		started := time.Now()
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Assert(t, time.Since(started) >= testTimeout/4)
		assert.Equal(t, f.executed(lab.OperationWrite), 1)
	})

	t.Run("withdrawn while the connection is tested", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		time.Sleep(idleTestThreshold)
		f.during(lab.OperationBegin, func() { f.grant() })
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultBusy)
		assert.Equal(t, f.executed(lab.OperationWrite), 0)

		p, ok := f.directory.LocalPrimaryPool("s")
		assert.Assert(t, ok)

		inProgress, _, _ := p.Load()
		assert.Equal(t, inProgress, 0, "a write that waits holds no connection")
	})

	t.Run("answer after the withdrawal is unknown", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)

		var b bytes.Buffer

		f.session.Log = zerolog.New(&b)
		f.during(lab.OperationWrite, f.withdraw)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnknown)
		assert.Assert(t, strings.Contains(b.String(),
			`"request":"q","database":"db","service":"s","member":"a","term":1,"number":2,"message":"commit_unconfirmed"`), b.String())
		assert.Equal(t, f.session.Counters.PermissionEnded.Value(), int64(1))
		f.assertNothingLearned()
	})

	t.Run("answer after a withdrawal and a renewal is unknown", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.during(lab.OperationWrite, func() { f.withdraw(); f.grant("a") })
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnknown)
		f.assertNothingLearned()
	})

	t.Run("answer before the withdrawal is confirmed", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.during(lab.OperationWrite, func() { f.grant() })
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		f.assertDrained()
	})

	t.Run("refusal after the withdrawal is passed on", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind == lab.OperationWrite {
				f.grant()

				return lab.OperationResult{Fault: lab.FaultFailed}, nil
			}

			return lab.OperationResult{}, nil
		}
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultFailed)
	})

	t.Run("write without an answer is not under way", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind == lab.OperationWrite {
				return lab.OperationResult{}, errConnectionLost
			}

			return lab.OperationResult{}, nil
		}
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnknown)
		f.grant()
		f.assertDrained()
	})
}

// TestCommitPermission checks the same for transactions.
func TestCommitPermission(t *testing.T) {
	beginAndWrite := func(t *testing.T) *fixture {
		t.Helper()

		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationBegin)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)

		return f
	}

	for _, members := range [][]string{nil, {"b"}} {
		t.Run("commit without permission is not sent and aborts", func(t *testing.T) {
			f := beginAndWrite(t)
			f.grant(members...)

			r := f.do(lab.OperationCommit)
			assert.Equal(t, r.Fault, lab.FaultAborted)
			assert.Equal(t, r.Detail, noPermission)
			assert.Equal(t, r.Status, lab.StatusIdle)
			assert.Equal(t, f.executed(lab.OperationCommit), 0)
			assert.Equal(t, f.session.Counters.NotPermitted.Value(), int64(1))

			// The connection of the transaction isn't used again.
			f.grant("a")
			assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
			assert.Equal(t, f.service.dialed["a"], 2)
		})
	}

	t.Run("answer after the withdrawal is unknown", func(t *testing.T) {
		f := beginAndWrite(t)
		f.during(lab.OperationCommit, f.withdraw)

		r := f.do(lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultUnknown)
		assert.Equal(t, r.Status, lab.StatusIdle)
		assert.Equal(t, f.session.Counters.PermissionEnded.Value(), int64(1))
		assert.Assert(t, f.session.lastCommit.IsZero())
	})

	t.Run("withdrawn before a commit that the member refused is sent again", func(t *testing.T) {
		f := beginAndWrite(t)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind == lab.OperationCommit {
				f.grant()

				return lab.OperationResult{Fault: lab.FaultBusy}, nil
			}

			return lab.OperationResult{}, nil
		}
		assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultAborted)
		assert.Equal(t, f.executed(lab.OperationCommit), 1)
	})

	t.Run("commit without an answer is not under way", func(t *testing.T) {
		f := beginAndWrite(t)
		f.service.script = func(string, lab.Operation) (lab.OperationResult, error) {
			return lab.OperationResult{}, errConnectionLost
		}
		assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultUnknown)
		f.grant()
		f.assertDrained()
	})

	t.Run("commit with permission", func(t *testing.T) {
		f := beginAndWrite(t)
		assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultNone)
		assert.Equal(t, f.session.lastCommit, lab.CommitPosition{Term: 1, Number: 7})
	})
}

// TestNoPermissionNeeded checks that reads go on while no member may commit.
func TestNoPermissionNeeded(t *testing.T) {
	for _, k := range []lab.Consistency{lab.ConsistencyPrimary, lab.ConsistencyBounded, lab.ConsistencySession} {
		t.Run("read", func(t *testing.T) {
			f := newFixture(t, k)
			f.grant()
			assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		})

		for _, readOnly := range []bool{false, true} {
			t.Run("transaction that only reads", func(t *testing.T) {
				f := newFixture(t, k)
				f.grant()
				f.do(lab.OperationBegin, func(o *lab.Operation) { o.ReadOnly = readOnly })
				assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
				assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultNone)
			})
		}
	}
}
