package labtypedsession

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

func TestReadTarget(t *testing.T) {
	position := lab.CommitPosition{Term: 1, Number: 5}

	t.Run("primary route reads inside a transaction of the primary", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		f.assertExecuted(executedOperation{member: "a", status: 'T'})
	})

	t.Run("superseded primary never runs the read", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.primary = "c"

		r := f.do(lab.OperationRead)
		assert.Equal(t, r.Fault, lab.FaultBusy)
		f.assertExecuted()
	})

	t.Run("replica with the primary's position", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyBounded)
		f.recordPosition(5)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		f.assertExecuted(executedOperation{member: "b", minPosition: position, status: 'I'})
	})

	t.Run("position too old", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyBounded)
		f.directory.PrimaryHistory("s").Record(f.directory.Clock.Now()-2*time.Second, position)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		f.assertExecuted(executedOperation{member: "a", status: 'T'})
	})

	t.Run("own write", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencySession)
		f.recordPosition(5)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		f.assertExecuted(
			executedOperation{member: "a", status: 'I'},
			executedOperation{member: "b", minPosition: lab.CommitPosition{Term: 1, Number: 7}, status: 'I'},
		)
	})

	t.Run("lagging replicas", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencySession)
		f.recordPosition(5)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if !o.MinPosition.IsZero() {
				return lab.OperationResult{Fault: lab.FaultLagging}, nil
			}

			return lab.OperationResult{}, nil
		}
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)

		s := f.service.statements()
		assert.Equal(t, s[len(s)-1].member, "a")
	})
}

// TestRefusing guards against a stopping proxy whose sessions begin work that it can't end in time, and against a commit that it
// refuses although its transaction is complete.
func TestRefusing(t *testing.T) {
	f := newFixture(t, lab.ConsistencyPrimary)
	f.session.Refusing = &atomic.Bool{}
	assert.Equal(t, f.do(lab.OperationBegin).Fault, lab.FaultNone)
	assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
	f.session.Refusing.Store(true)
	assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultNone)

	for _, k := range []lab.OperationKind{lab.OperationRead, lab.OperationWrite, lab.OperationBegin, lab.OperationExecute} {
		assert.Equal(t, f.do(k).Fault, lab.FaultBusy)
	}

	f.session.Refusing.Store(false)
	assert.Equal(t, f.do(lab.OperationBegin).Fault, lab.FaultNone)
	assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
	f.session.Refusing.Store(true)
	assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultAborted)
	assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultAborted)
	assert.Assert(t, f.session.Idle())
}

// TestReportedFaults checks the faults that clients receive. A fault may report "not run" only when nothing of the
// operation takes effect.
func TestReportedFaults(t *testing.T) {
	fail := func(kind lab.OperationKind, f lab.Fault, err error) func(string, lab.Operation) (lab.OperationResult, error) {
		return func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind != kind {
				return lab.OperationResult{}, nil
			}

			return lab.OperationResult{Fault: f}, err
		}
	}

	t.Run("write without a response runs once and is unknown", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = fail(lab.OperationWrite, lab.FaultNone, errConnectionLost)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnknown)
		assert.Equal(t, len(f.service.statements()), 1)
	})

	t.Run("refused write is retried until its deadline", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = fail(lab.OperationWrite, lab.FaultBusy, nil)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultBusy)
		assert.Assert(t, len(f.service.statements()) > 1)
	})

	// Each refused statement was retried a hundred times a second. This was observed in the scenario trouble-1 of the
	// deployment rantavahti-rota-grown.
	t.Run("refused write backs off", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = fail(lab.OperationWrite, lab.FaultBusy, nil)
		f.do(lab.OperationWrite)

		n := len(f.service.statements())
		assert.Assert(t, n <= 8, "%d tries in %s", n, testTimeout)
	})

	t.Run("failed write ran", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = fail(lab.OperationWrite, lab.FaultFailed, nil)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultFailed)
		assert.Equal(t, len(f.service.statements()), 1)
	})

	t.Run("connection lost inside a transaction aborts it", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationBegin)
		f.service.script = fail(lab.OperationWrite, lab.FaultNone, errConnectionLost)

		r := f.do(lab.OperationWrite)
		assert.Equal(t, r.Fault, lab.FaultAborted)
		assert.Equal(t, r.Status, lab.StatusFailed)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultMalformed)
		assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultAborted)
		assert.Equal(t, f.session.Idle(), true)
	})

	t.Run("commit without a response is unknown", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationBegin)
		f.do(lab.OperationWrite)
		f.service.script = fail(lab.OperationCommit, lab.FaultNone, errConnectionLost)

		r := f.do(lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultUnknown)
		assert.Equal(t, r.Status, lab.StatusIdle)
	})

	t.Run("member unknown", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.directory.UpdateMembers(nil, nil, true)

		started := time.Now()
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultBusy)
		assert.Assert(t, time.Since(started) < testTimeout)
	})

	t.Run("route dropped", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.directory.Install(&lab.Configuration{Version: 2})
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNoDatabase)
	})
}

// TestSharedConnections checks that sessions which share a connection don't see each other's values and statements.
func TestSharedConnections(t *testing.T) {
	set := func(o *lab.Operation) { o.Name, o.Argument = "v", "1" }
	prepare := func(o *lab.Operation) { o.Name, o.Argument = "s1", "q" }
	execute := func(o *lab.Operation) { o.Name, o.Argument = "s1", "x" }

	t.Run("values are set and cleared", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationSet, set)
		f.do(lab.OperationRead)

		f.session = f.newSession()
		f.do(lab.OperationRead)

		s := f.service.statements()
		assert.Equal(t, s[0].values, 1)
		assert.Equal(t, s[1].values, 0)
		assert.Equal(t, f.service.dialed["a"], 1, "both sessions must use one connection")
	})

	t.Run("refused values run nothing", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind == lab.OperationSet {
				return lab.OperationResult{Fault: lab.FaultFailed}, nil
			}

			return lab.OperationResult{}, nil
		}
		f.do(lab.OperationSet, set)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultBusy)
		f.assertExecuted()
	})

	t.Run("prepared statement is known after a reset", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationSet, set)
		f.do(lab.OperationPrepare, prepare)
		assert.Equal(t, f.do(lab.OperationExecute, execute).Fault, lab.FaultNone)

		f.session = f.newSession()
		f.do(lab.OperationPrepare, prepare)
		assert.Equal(t, f.do(lab.OperationExecute, execute).Fault, lab.FaultNone)
	})

	t.Run("unknown prepared statement", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		assert.Equal(t, f.do(lab.OperationExecute, execute).Fault, lab.FaultNotPrepared)
		assert.Equal(t, f.do(lab.OperationDeallocate, execute).Fault, lab.FaultNotPrepared)
	})
}

func TestTransactions(t *testing.T) {
	t.Run("all statements on one connection", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencySession)
		f.recordPosition(5)
		f.do(lab.OperationBegin)
		f.do(lab.OperationRead)
		f.do(lab.OperationWrite)
		f.do(lab.OperationCommit)
		f.assertExecuted(
			executedOperation{member: "a", status: 'T'}, executedOperation{member: "a", status: 'T'},
			executedOperation{member: "a", status: 'T'},
		)
	})

	t.Run("read-only at a replica", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyBounded)
		f.recordPosition(5)
		f.do(lab.OperationBegin, func(o *lab.Operation) { o.ReadOnly = true })
		f.do(lab.OperationRead)
		f.do(lab.OperationCommit)
		f.assertExecuted(executedOperation{member: "b", status: 'T'}, executedOperation{member: "b", status: 'T'})
	})

	t.Run("commit without statements needs a member", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationBegin)
		assert.Equal(t, f.do(lab.OperationCommit).Proof, "p")
	})

	t.Run("idle transaction frees its connection", func(t *testing.T) {
		f := newFixture(t, lab.ConsistencyPrimary)
		f.do(lab.OperationBegin)
		f.do(lab.OperationWrite)
		time.Sleep(1200 * time.Millisecond)

		r := f.do(lab.OperationRead)
		assert.Equal(t, r.Fault, lab.FaultMalformed)
		assert.Equal(t, r.Status, lab.StatusFailed)
	})
}
