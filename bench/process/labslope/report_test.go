package labslope_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/bench/process/labslope"
)

// Guards against output from which a capacity planning sheet can't parse the points and lines.
func TestPrint(t *testing.T) {
	r := labslope.Report{
		Name: "routes", Unit: "databases", Columns: []string{"heap B"},
		Points: []labslope.Point{{Size: 10, Values: []float64{20}}}, Lines: []labslope.Line{{Intercept: 1, Slope: 2}},
		Notes: []string{"a note"}, LoadBefore: "1 2 3", LoadAfter: "4 5 6",
	}

	var b bytes.Buffer
	assert.NilError(t, r.Print(&b))

	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), 8)
	assert.DeepEqual(t, strings.Fields(lines[0]), []string{"databases", "heap", "B"})
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{"10", "20"})
	assert.DeepEqual(t, strings.Fields(lines[3]), []string{"slope", "2"})

	var back labslope.Report
	assert.NilError(t, json.Unmarshal([]byte(lines[7]), &back))
	assert.DeepEqual(t, back, r)
}
