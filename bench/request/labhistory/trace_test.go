package labhistory_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/request/labhistory"
)

// Guards against a change of Check after which it reports other violations for a recorded run than the run's trace
// lists. The files named edited_* are recorded runs into which one violation was edited by hand.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 4)

	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			r, err := os.Open(f)
			assert.NilError(t, err)

			defer func() { _ = r.Close() }()

			trace, err := labhistory.LoadTrace(r)
			assert.NilError(t, err)
			assert.Equal(t, labhistory.Check(trace.Operations, trace.Final), trace.Violations)
		})
	}
}
