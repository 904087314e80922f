package labhistory_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

func op(session int, kind labhistory.Kind, sequence int64, result labhistory.Result) labhistory.Operation {
	return labhistory.Operation{Session: session, Kind: kind, Database: "d", Key: "k", Sequence: sequence, Result: result}
}

// Guards against a check that never reports a violation: each kind of violation is found in a history that has no
// other violation.
func TestCheck(t *testing.T) {
	const (
		done, notRun, unknown = labhistory.ResultDone, labhistory.ResultNotRun, labhistory.ResultUnknown
		write, read           = labhistory.KindWrite, labhistory.KindRead
	)

	row := func(sequence int64, runs int) []labhistory.FinalRow {
		return []labhistory.FinalRow{{Database: "d", Key: "k", Sequence: sequence, Runs: runs}}
	}
	foreign := op(1, read, 1, done)
	foreign.WrongResponse = true

	cases := []struct {
		name       string
		operations []labhistory.Operation
		final      []labhistory.FinalRow
		want       labhistory.Violations
	}{
		{"clean", []labhistory.Operation{op(1, write, 1, done), op(1, read, 1, done), op(2, read, -1, done)}, row(1, 1), labhistory.Violations{}},
		{"lost", []labhistory.Operation{op(1, write, 2, done)}, row(1, 1), labhistory.Violations{Lost: 1}},
		{"unknown outcome may be missing", []labhistory.Operation{op(1, write, 2, unknown)}, row(1, 1), labhistory.Violations{}},
		{"doubled", nil, row(1, 2), labhistory.Violations{Doubled: 1}},
		{"not run but ran", []labhistory.Operation{op(1, write, 2, notRun)}, row(2, 1), labhistory.Violations{NotRunButRan: 1}},
		{"retried after not run", []labhistory.Operation{op(1, write, 2, notRun), op(1, write, 2, done)}, row(2, 1), labhistory.Violations{}},
		{"stale", []labhistory.Operation{op(1, write, 2, done), op(1, read, 1, done)}, row(2, 1), labhistory.Violations{Stale: 1}},
		{"backwards", []labhistory.Operation{op(2, read, 2, done), op(2, read, 1, done)}, row(2, 1), labhistory.Violations{Stale: 1}},
		{"wrong", []labhistory.Operation{foreign}, row(1, 1), labhistory.Violations{Wrong: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, labhistory.Check(c.operations, c.final), c.want)
		})
	}
}

// Guards against a trace that differs after it is saved and loaded.
func TestTrace(t *testing.T) {
	in := &labhistory.Trace{Operations: []labhistory.Operation{op(1, labhistory.KindWrite, 1, labhistory.ResultDone)}}

	var b bytes.Buffer
	assert.NilError(t, in.Save(&b))
	out, err := labhistory.LoadTrace(&b)
	assert.NilError(t, err)
	assert.DeepEqual(t, in, out)
}

func TestGap(t *testing.T) {
	o := op(1, labhistory.KindWrite, 1, labhistory.ResultDone)
	o.SentAt, o.CompletedAt = 3*time.Second, 4*time.Second
	assert.Equal(t, labhistory.FailoverGap([]labhistory.Operation{o}, "d", 2*time.Second), 2*time.Second)
	assert.Equal(t, labhistory.FailoverGap([]labhistory.Operation{o}, "d", 5*time.Second), time.Duration(-1))
}
