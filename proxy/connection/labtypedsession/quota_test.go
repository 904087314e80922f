package labtypedsession

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

// fakeQuota has a number of tokens.
type fakeQuota struct {
	tokens, taken, spent, returned int
}

func (q *fakeQuota) Take(_ context.Context, o lab.OrganisationPolicy) (lab.QuotaToken, error) {
	if q.tokens == 0 {
		return lab.QuotaToken{}, errors.New("none")
	}

	q.tokens--
	q.taken++

	return lab.QuotaToken{Organisation: o.Name}, nil
}

func (q *fakeQuota) End(_ lab.QuotaToken, used bool) {
	if used {
		q.spent++
	} else {
		q.returned++
	}
}

func (q *fakeQuota) assertEnded(t *testing.T, spent, returned int) {
	t.Helper()
	assert.Equal(t, q.spent, spent, "spent")
	assert.Equal(t, q.returned, returned, "returned")
	assert.Equal(t, q.taken, spent+returned)
}

// TestQuota guards against operations that take more or fewer tokens than one, and tokens that are lost.
func TestQuota(t *testing.T) {
	start := func(t *testing.T, rate float64, tokens int) (*fixture, *fakeQuota) {
		t.Helper()

		f, q := newFixture(t, lab.ConsistencyPrimary), &fakeQuota{tokens: tokens}
		f.installRate(2, map[string]string{"k": "o"}, false, rate)
		f.session.Key, f.session.Quota = "k", q

		return f, q
	}
	transaction := func(f *fixture, kinds ...lab.OperationKind) lab.OperationResult {
		var r lab.OperationResult
		for _, k := range append([]lab.OperationKind{lab.OperationBegin}, kinds...) {
			r = f.do(k)
		}

		return r
	}

	t.Run("no limit", func(t *testing.T) {
		f, q := start(t, 0, 0)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		q.assertEnded(t, 0, 0)
	})

	t.Run("statements", func(t *testing.T) {
		f, q := start(t, 1, 2)
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		assert.Equal(t, f.do(lab.OperationRead).Fault, lab.FaultNone)
		q.assertEnded(t, 2, 0)

		r := f.do(lab.OperationRead)
		assert.Equal(t, r.Fault, lab.FaultBusy)
		assert.Equal(t, r.Detail, "quota")
		assert.Equal(t, len(f.service.statements()), 2)
	})

	t.Run("transaction", func(t *testing.T) {
		f, q := start(t, 1, 1)
		r := transaction(f, lab.OperationWrite, lab.OperationRead, lab.OperationWrite, lab.OperationCommit)
		assert.Equal(t, r.Fault, lab.FaultNone)
		q.assertEnded(t, 1, 0)
		assert.Equal(t, transaction(f, lab.OperationWrite).Detail, "quota")
		assert.Equal(t, f.do(lab.OperationCommit).Fault, lab.FaultAborted)
		assert.Equal(t, transaction(f, lab.OperationCommit).Detail, "quota")
		assert.Equal(t, transaction(f, lab.OperationRollback).Fault, lab.FaultNone)
		q.assertEnded(t, 1, 0)
	})

	t.Run("refused by a member and tried again", func(t *testing.T) {
		f, q := start(t, 1, 1)
		refused := false
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind != lab.OperationWrite || refused {
				return lab.OperationResult{}, nil
			}

			refused = true

			return lab.OperationResult{Fault: lab.FaultBusy}, nil
		}

		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultNone)
		q.assertEnded(t, 1, 0)
	})

	t.Run("nothing sent", func(t *testing.T) {
		f, q := start(t, 1, 2)
		f.grant() // no permission to commit
		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultBusy)
		q.assertEnded(t, 0, 1)

		f.directory.UpdateMembers(nil, nil, true)
		assert.Equal(t, transaction(f, lab.OperationWrite).Fault, lab.FaultBusy)
		q.assertEnded(t, 0, 2)
	})

	t.Run("sent without a response", func(t *testing.T) {
		f, q := start(t, 1, 1)
		f.service.script = func(_ string, o lab.Operation) (lab.OperationResult, error) {
			if o.Kind == lab.OperationWrite {
				return lab.OperationResult{}, errConnectionLost
			}

			return lab.OperationResult{}, nil
		}

		assert.Equal(t, f.do(lab.OperationWrite).Fault, lab.FaultUnknown)
		q.assertEnded(t, 1, 0)
	})
}
