package labsample

import (
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab"
)

var errReset = errors.New("connection reset")

// TestNew guards against samples that blame a member for something else: its role or position, a gateway, a statement that
// was sent shortly before its deadline, or the fast answer of a refusal.
func TestNew(t *testing.T) {
	read := []lab.Operation{{Kind: lab.OperationRead}, {Kind: lab.OperationRollback}}
	write := []lab.Operation{{Kind: lab.OperationPrepare}, {Kind: lab.OperationExecute, Writes: true}}
	begin := []lab.Operation{{Kind: lab.OperationBegin}}
	d := 200 * time.Millisecond
	results := func(f lab.Fault) []lab.OperationResult { return []lab.OperationResult{{Fault: f}, {}} }

	for _, c := range []struct {
		name    string
		sent    []lab.Operation
		results []lab.OperationResult
		err     error
		elapsed time.Duration
		want    Sample
	}{
		{"read", read, results(lab.FaultNone), nil, d, Sample{Latency: d, Read: true, Served: true}},
		{"write", write, results(lab.FaultNone), nil, d, Sample{Latency: d, Served: true}},
		{"begin", begin, results(lab.FaultNone), nil, d, Sample{}},
		{"refused", read, results(lab.FaultBusy), nil, d, Sample{Read: true, Refused: true}},
		{"lagging", read, results(lab.FaultLagging), nil, d, Sample{}},
		{"not the primary", read, results(lab.FaultReadOnly), nil, d, Sample{}},
		{"fault of the statement", read, results(lab.FaultFailed), nil, d, Sample{Read: true, Served: true}},
		{"no response", read, nil, errors.Newf("read: %w", os.ErrDeadlineExceeded), d, Sample{Latency: d, Read: true, Timeout: true}},
		{"sent too late", read, nil, os.ErrDeadlineExceeded, 10 * time.Millisecond, Sample{}},
		{"reset", read, nil, errReset, d, Sample{Read: true, Lost: true}},
		{"gateway is busy", read, nil, lab.NotRunError(lab.ReasonOverload, errReset), d, Sample{}},
		{"gateway is lost", read, nil, lab.UnknownOutcomeError(lab.ReasonMisrouted, errReset), d, Sample{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, New(c.sent, c.results, c.err, c.elapsed), c.want)
		})
	}
}
