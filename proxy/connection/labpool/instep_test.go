package labpool

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// repeatingMember answers with the given results. It counts the calls of InStep, which return err.
type repeatingMember struct {
	memberScript

	err   error
	calls atomic.Int32
}

func (l *repeatingMember) InStep(time.Time) error {
	l.calls.Add(1)

	return l.err
}

// TestInStep guards against a refusal that the member has sent for an earlier statement: the promise that this one has
// not run would be false, and the next one would get its answer.
func TestInStep(t *testing.T) {
	const (
		idle = lab.StatusIdle
		open = lab.StatusInTransaction
	)

	refused := func(f lab.Fault, s lab.TransactionStatus) lab.OperationResult {
		return lab.OperationResult{Fault: f, Status: s}
	}
	prepared := lab.Operation{Kind: lab.OperationExecute, Writes: true, Name: "p", PreparedText: "x"}
	done := lab.OperationResult{Proof: noProof, Status: idle}

	for _, c := range []struct {
		name      string
		operation lab.Operation
		results   []lab.OperationResult
		atOnce    bool // before the result is returned
		released  bool // before the connection is used again
	}{
		{"write refused", lab.Operation{Kind: lab.OperationWrite}, []lab.OperationResult{refused(lab.FaultBusy, idle)}, true, true},
		{"write failed", lab.Operation{Kind: lab.OperationWrite}, []lab.OperationResult{refused(lab.FaultFailed, idle)}, false, true},
		{"prepared write refused", prepared, []lab.OperationResult{done, refused(lab.FaultBusy, idle)}, true, true},
		{"commit refused", lab.Operation{Kind: lab.OperationCommit}, []lab.OperationResult{refused(lab.FaultReadOnly, idle)}, true, true},
		{
			"commit of a failed transaction",
			lab.Operation{Kind: lab.OperationCommit},
			[]lab.OperationResult{refused(lab.FaultReadOnly, lab.StatusFailed)},
			true, true,
		},
		{"read refused", lab.Operation{Kind: lab.OperationRead}, []lab.OperationResult{refused(lab.FaultBusy, idle)}, false, true},
		{"begin refused", lab.Operation{Kind: lab.OperationBegin}, []lab.OperationResult{refused(lab.FaultReadOnly, idle)}, false, true},
		{"read in a transaction refused", lab.Operation{Kind: lab.OperationRead}, []lab.OperationResult{refused(lab.FaultBusy, open)}, true, true},
		{"read in a transaction failed", lab.Operation{Kind: lab.OperationRead}, []lab.OperationResult{refused(lab.FaultFailed, open)}, true, true},
		{
			"statement of a failed transaction",
			lab.Operation{Kind: lab.OperationWrite},
			[]lab.OperationResult{refused(lab.FaultReadOnly, lab.StatusFailed)},
			false, true,
		},
		{"success", lab.Operation{Kind: lab.OperationWrite}, []lab.OperationResult{{Proof: "proof", Status: idle}}, false, false},
	} {
		for _, err := range []error{nil, errDown, os.ErrDeadlineExceeded} {
			t.Run(c.name, func(t *testing.T) {
				n, _ := newConn(nil)
				l := &repeatingMember{memberScript: memberScript{idleConnection{closed: new(bool)}, c.results, errDown}, err: err}
				n.connection = l

				r, failure := n.Run(time.Now().Add(time.Second), nil, c.operation)
				assert.Equal(t, l.calls.Load() > 0, c.atOnce)

				if c.atOnce && err != nil {
					assert.ErrorIs(t, failure, err)

					outcome, _ := lab.OutcomeOf(failure)
					assert.Equal(t, outcome, lab.OutcomeUnknown)

					return
				}

				assert.NilError(t, failure)
				assert.Equal(t, len(r), 1)

				n.Release()
				time.Sleep(5 * time.Millisecond)
				n.pool.mutex.Lock()
				defer n.pool.mutex.Unlock()

				assert.Equal(t, l.calls.Load() > 0, c.released)
				assert.Equal(t, *l.closed, c.released && err != nil)
				assert.Equal(t, len(n.pool.idle) == 0, c.released && err != nil)
			})
		}
	}

	t.Run("drained results", func(t *testing.T) {
		n, _ := newConn(nil)
		l := &repeatingMember{memberScript: memberScript{idleConnection{closed: new(bool)}, nil, errDown}, err: errDown}
		n.connection = l

		n.ReleaseAfterDrain()
		time.Sleep(5 * time.Millisecond)
		n.pool.mutex.Lock()
		defer n.pool.mutex.Unlock()

		assert.Equal(t, l.calls.Load(), int32(1))
		assert.Assert(t, *l.closed)
	})
}
