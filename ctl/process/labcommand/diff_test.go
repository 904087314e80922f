package labcommand_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"laburnumlock.dev/lab/ctl/process/labcommand"
)

// Guards against operators approving a change because the printed differences don't show it.
func TestDiff(t *testing.T) {
	got, err := labcommand.Diff([]byte(`{"a":1,"b":[1,2],"c":{"d":"x"}}`), []byte(`{"a":1,"b":[1,3],"c":{"e":"x"}}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []string{"/b/1 - 2", "/b/1 + 3", "/c/d - x", "/c/e + x"})

	_, err = labcommand.Diff([]byte(`{`), []byte(`{}`))
	assert.ErrorContains(t, err, "stored document")
}
